// Package route sends requests to upstreams and brings whole answers back.
//
// It runs the attempts of one request: choose an upstream, send, check the
// answer, and on a failure decide with package retry whether and where to go on.
// It keeps track of whether a byte of the request can have reached an upstream,
// so that a refusal saying not_run is true.
//
// # Usage
//
//	rt := route.New(placer, dir, rec, route.WithSecret(secret))
//	err := rt.Stream(ctx, job, sink)
//	ans, err := rt.Plain(ctx, job)
//
// Errors are of type [*vane.Refusal].
package route
