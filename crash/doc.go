// Package crash identifies requests that crash upstreams.
//
// Each request that was running on an upstream when it crashed is reported. After two
// reports a request is refused, however often its caller repeats it. A request that only
// happened to run during one crash is cleared by its next complete answer. Fingerprints
// depend on the workspace, so that one workspace can't cause the refusal of another's
// requests.
//
// Where requests state the parts of their prompts, Parts finds those on which upstreams
// crash though no two requests are alike. A crash counts against each shared part of the
// requests that had no answer yet, and an answer clears the parts of its prompt.
//
// # Usage
//
//	r := crash.NewRegistry(recorder)
//	r.RecordCrash(ws, fp, upstream)
//	err := r.Check(ws, fp)
package crash
