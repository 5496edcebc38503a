// Package claim makes calls that may not be repeated run at most once.
//
// Before such a call goes out, a claim is created in the platform's store under
// the workspace and the caller's Idempotency-Key. The store accepts one creator;
// everyone else finds the claim and gets the recorded outcome, or word that the
// outcome is not known. A claim whose call may have gone out is never taken back
// and never run again.
//
// # Usage
//
//	b := claim.NewRegistry(st)
//	c, err := b.Begin(ctx, claim.Request{Workspace: "w", Key: "k-7", Fingerprint: fp})
//	if c.Replay() { return c.Outcome() }
//	ans := send()
//	c.Finish(ans)        // the outcome is known
//	c.Release(ctx)       // no byte went out: the key may be used again
//
// # Errors
//
// Errors are of type [*vane.Refusal]; their execution is NotRun unless another
// call under the same key may have run.
package claim
