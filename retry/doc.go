// Package retry decides whether a failed attempt may be retried.
//
// The decision depends on whether the request may have run at the upstream, whether its
// route is idempotent and how much time is left. A budget limits retries to a small
// fraction of the requests, so that retries can't amplify an overload.
//
// # Usage
//
//	b := retry.NewBudget(retry.WithShare(0.1))
//	b.CountRequest()
//	d := retry.Decide(retry.Attempt{Number: 1, Execution: vane.NotRun, Left: left}, b, now)
//	if d.Retry {
//		time.Sleep(d.Delay)
//	}
package retry
