// Package retry decides whether a failed attempt may be repeated.
//
// The decision depends on whether the request can have reached the upstream,
// whether its route is idempotent, how much time is left, and on a budget that
// keeps repeats to a small share of fresh requests, so that repeats can't
// multiply an overload.
//
// # Usage
//
//	b := retry.NewBudget(retry.WithShare(0.1))
//	b.Fresh(now)
//	v := retry.Decide(retry.Attempt{Number: 1, Execution: vane.NotRun, Idempotent: false, Left: left}, b, now)
//	if v.Again { time.Sleep(v.After) }
package retry
