// Package crash finds the requests that crash upstreams.
//
// A request that was running on an upstream when it crashed is reported. A
// request with two reports is refused from then on, however often its caller
// repeats it. A request that was only near a crash is cleared by its next whole
// answer. Fingerprints hold the workspace, so that
// one workspace can't get another's requests refused.
//
// # Usage
//
//	b := crash.NewRegistry()
//	b.Lost(ws, fp, upstream)
//	err := b.Check(ws, fp)
package crash
