// Package budget holds every workspace to its rate and burst in tokens over the
// whole fleet.
//
// A [Bucket] is an exact token bucket: in every window from s to t, the tokens
// taken and not given back are at most burst + rate·(t − s), also where tokens
// are reserved first and partly given back later.
//
// # Usage
//
//	b := budget.NewBucket(now, 1000, 20000)
//	mark, ok := b.Take(now, 1500)
//	b.Refund(later, mark, 700)
//
// # Units
//
// Rates are tokens a second, bursts and levels tokens.
package budget
