// Package soak runs real nodes as separate processes under random faults and checks
// what callers and upstreams see.
//
// Faults come from outside the processes: proxies on the loopback interface delay,
// reset, cut or silence connections to the store and to upstreams; signals stop,
// pause, kill and restart nodes; the store refuses, is slow or loses answers;
// configurations change and weights are named. Series of faults overlap.
//
// # Usage
//
//	res, err := soak.Run(ctx, soak.Options{Binary: "bin/vaned", Seed: 7, Length: 10 * time.Second})
//	for _, v := range res.Violations { … }
//
// A seed fixes the schedule of faults; the interleaving of the processes differs
// between runs.
//
// # Checks
//
// A call that must not be repeated runs once at most, and not at all if its caller
// was told so; an answer is whole and belongs to its request; a stream has every
// event once and in order or is visibly broken; no upstream sees a key or a forged
// workspace; a planned stop ends with exit code 0 within its grace. That such a stop
// cuts no request is checked in package edge, where no other fault can be the cause.
package soak
