// Package sched chooses the upstream of a routed request. It reads no clock and
// opens no socket.
//
// # Usage
//
//	s := sched.New("dc-1")
//	s.Update(view)
//	pick, ok := s.Pick(now, q)
//	t := s.Begin(now, q, pick)
//	s.First(now, t); s.End(now, t)
//
// Nodes exchange what they sent to engines: [Placer.TakeCacheUpdates] and [Placer.ApplyCacheUpdates].
//
// # Load patterns
//
// Prompts share long parts whose recomputation costs as much as the request is
// worth, while fetching them from another cache costs milliseconds. A part that
// the cache store holds can therefore be used by any engine; a part that nobody
// holds yet is computed at one engine, the same from the view of every node, so
// that a burst of requests for a new part does not compute it many times.
//
// Thousands of subjects share a few first parts. Engines that hold only the first parts
// are a source of them. Subjects come again after seconds and fill the engines' memory
// several times over, so that an idle engine that holds a subject is preferred to having
// it copied.
//
// Engines compute prompts between the tokens of their streams, which pause meanwhile.
// Where short prompts keep several engines busy, these are set apart for them.
//
// Traffic between data centres is dear, so an upstream of the own data centre wins
// unless the others are ahead by more than what the bytes cost.
//
// After new weights were named, some engines serve the old ones. Requests on old
// weights are worth less, but the few engines with new weights must not be
// overrun: the estimated time to the first token and the loss of worth are
// compared as prices.
//
// Upstreams that crash silently keep their entry for seconds. An upstream that did
// not accept a connection, or has kept several requests waiting while others
// answer, is set aside for a time that doubles.
package sched
