// Package route sends requests to upstreams and returns or relays their responses.
//
// It runs the attempts of a request: it chooses an upstream, sends the request, checks
// the response, and after a failure decides with package retry whether to retry on
// another upstream. It tracks whether any byte of the request may have reached an upstream, so
// that a refusal that states not_run is reliable.
//
// # Usage
//
//	rt := route.New(placer, dir, rec, route.WithSecret(secret))
//	out, err := rt.Stream(ctx, job, w, maxTokens)
//	resp, err := rt.Complete(ctx, job, maxTokens)
//
// Errors are of type [*vane.Refusal].
package route
