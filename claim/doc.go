// Package claim ensures that a call that must not be repeated runs at most once.
//
// Before such a call is sent, a claim is created in the platform's store under the
// workspace and the caller's Idempotency-Key. The store accepts one creator. Every
// other call with the key finds the claim and gets the recorded outcome, or a refusal
// that says that the outcome is unknown. A claim whose call may have been sent is
// never removed, and the call is never sent again.
//
// # Usage
//
//	reg := claim.NewRegistry(st, "vane-1", rec)
//	c, err := reg.Begin(ctx, claim.Request{Workspace: "w", Key: "k-7", Fingerprint: fp})
//	if c.Replayed() { return c.Outcome() }
//	ans := send()
//	c.Finish(ans)        // if the outcome is known
//	c.Release(ctx)       // if no byte was sent: the key can be used again
//
// # Errors
//
// Errors are of type [*vane.Refusal]. Their execution is NotRun unless another call
// with the same key may have run.
package claim
