// Package memory bounds what a process holds for callers and upstreams: the bytes of request
// headers, request bodies and responses, and the number of connections.
//
// Bytes are reserved in a [Budget] before they are read, and a reservation grows with what has
// arrived, not with what was declared. If the budget is exhausted, the least deserving holder is
// refused. A request is refused only until it is pinned, which happens before it is sent to an
// upstream, so a refusal is a statement that the request has not run.
//
// # Usage
//
//	lim := memory.LimitsFor(hostBytes, descriptors)
//	b := memory.New(lim.Capacity, memory.WithLog(log.Warn), memory.WithMetrics(registry))
//	go b.Run(ctx) // refuses slow senders
//
//	h := b.Open(memory.Class{Kind: memory.KindBody, Priority: 1})
//	defer h.Close()
//	h.OnEvict(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
//	body, err := h.ReadAll(r.Body, r.ContentLength)
//	…
//	err = h.Pin() // from here on, the request may run
//
// All methods of a nil Budget and a nil Hold are valid. They set no limit.
package memory
