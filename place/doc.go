// Package place chooses the upstream for a prompt.
//
// A consistent-hash ring maps the first level of a prompt to a window of upstreams.
// Within the window, the upstreams are ordered by the sum of one hash score per shared
// level, in which deeper levels weigh more. Prompts that share a long prefix have the
// same first upstreams in this order. The order needs no state: all routers agree on it
// without communication, and a restarted router has it at once. When an upstream joins
// or leaves, the first choice changes only for prompts whose window changes.
//
// The upstreams of a window are then compared by cost: the waiting time, plus the time
// to compute what is not cached, weighted because it delays other requests too, plus a
// fixed cost for a further copy of a prefix. A popular prefix spreads to more upstreams
// when waiting at its first choice costs more than a copy, and is sent to its first
// choice alone again when the wait is short.
// Which upstream caches which prefix is learned from the number of cached tokens in each
// answer.
//
// # Usage
//
//	p := place.New()
//	p.Update(now, upstreams)
//	pick, ok := p.Pick(now, q)
//	p.RecordSent(now, q, pick)
//	p.RecordFirstToken(now, q, pick)
//	p.RecordDone(now, q, pick, vane.Outcome{TimeToFirstToken: 80 * time.Millisecond, CachedTokens: 4000})
//
// # Baselines
//
// [RoundRobin], [LeastLoaded] and [ConsistentHash] implement the same interface for
// comparison.
package place
