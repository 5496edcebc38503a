// Package place chooses the upstream for a prompt.
//
// The base needs no state: a consistent-hash ring gives each prompt a window of
// upstreams by its first level, and within the window the sum of one hash score
// per shared level, weighted more for deeper levels, gives an order of
// preference. Prompts that share a long prefix share the head of that order, so
// that all routers agree without talking and a restarted router serves at once.
// When an upstream joins or leaves, only prompts whose window changes move.
//
// On top of the order, upstreams are compared by a price: the waiting time, plus
// the time to compute what is not cached, weighted because it delays others too,
// plus a fixed price for a further copy of a prefix. A hot prefix spreads when
// waiting at its first choice costs more than a copy, and shrinks again when it
// does not. What is cached where is learned from the cached-token count of each
// answer.
//
// # Usage
//
//	p := place.New()
//	p.Update(now, upstreams)
//	pick, ok := p.Pick(now, vane.Query{Model: "quill", Prompt: prompt})
//	p.Sent(now, q, pick)
//	p.First(now, q, pick, 80*time.Millisecond)
//	p.Done(now, q, pick, cachedTokens)
//
// # Baselines
//
// [RoundRobin], [LeastLoaded] and [PlainHash] implement the same interface for
// comparison.
package place
