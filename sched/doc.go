// Package sched chooses the upstream of a routed request. It reads no clock and
// opens no socket: callers pass the current time to every method.
//
// # Usage
//
//	p := sched.New("dc-1", storeIndex)
//	p.Update(view)
//	pick, ok := p.Pick(now, q)
//	a := p.Begin(now, q, pick)
//	p.FirstByte(now, a)
//	p.End(now, a)
//
// Nodes tell each other which prompt parts they sent to which engines, with
// [Placer.TakeCacheUpdates] and [Placer.ApplyCacheUpdates].
//
// # Prompt caches
//
// Prompts share long parts. Computing such a part again costs as much as the request
// is worth, while fetching it from another cache takes milliseconds. A part that the
// cache store holds can therefore be used by any engine. A part that no cache holds is
// computed at one engine, which all nodes derive from the same hash, so that a burst of
// requests for a new part does not compute it many times.
//
// The prompts of thousands of subjects begin with one of a few common parts. An engine
// that holds only the first parts of a prompt can serve as the source of those parts.
// Prompts with the same parts arrive again within seconds, but all parts together are
// several times larger than the engines' memory. An idle engine that holds the parts is therefore preferred to a copy
// on another engine, which would evict other parts.
//
// # Long and short prompts
//
// Engines compute prompts between the tokens of their streams, which pause meanwhile, and
// a short prompt waits until the long ones before it are computed. At a service that gets
// both kinds, each kind prefers some of the engines, in proportion to what it needs. Nodes
// tell each other the outstanding prompt tokens of their requests, with [Placer.Prefill]
// and [Placer.SetPeerLoad].
//
// # Data centres
//
// Traffic between data centres is expensive. An upstream of another data centre is
// chosen only if its advantage exceeds the cost of the transferred bytes.
//
// # Weight versions
//
// After new weights are announced, some engines still serve the old ones. Answers from
// old weights are worth less, but the few engines with new weights must not be
// overloaded. The estimated time to the first token and the lower worth are therefore
// both expressed as costs, and the upstream with the lowest sum is chosen.
//
// # Failed upstreams
//
// A crashed upstream stays on the platform's list for seconds. An upstream that refuses
// a connection, or keeps requests waiting without sending anything, is therefore
// ejected: it gets no requests for a time that doubles with each failure.
package sched
