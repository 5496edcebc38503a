// Package place chooses the upstream for a prompt.
//
// The base needs no state: a consistent-hash ring gives each prompt a window of
// upstreams by its first level, and within the window the sum of one hash score
// per shared level, weighted less for deeper levels, gives an order of
// preference. Prompts that share a long prefix share the head of that order, so
// that all routers agree without talking and a restarted router serves at once.
// When an upstream joins or leaves, only prompts whose window changes move.
//
// On top of the order, upstreams are compared by the expected time to the first
// token: waiting time plus uncached tokens divided by the prefill rate. What is
// cached where is learned from the cached-token count of each answer.
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
