// Package crash finds the requests that crash upstreams.
//
// A request that was running on an upstream when it crashed gets a strike. A
// request with two strikes is refused from then on, however often its caller
// repeats it. A request that was only near a crash is cleared by its next whole
// answer. Fingerprints hold the workspace, so that
// one workspace can't get another's requests refused.
//
// # Usage
//
//	b := crash.NewBook()
//	b.Lost(ws, fp, upstream)
//	err := b.Check(ws, fp)
package crash
