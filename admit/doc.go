// Package admit decides whether a request is sent to an upstream now, waits at its node,
// or is refused. It reads no clock and opens no socket: callers pass the current time to
// every method and carry out the decisions.
//
// # Usage
//
//	c := admit.New()
//	d := c.Offer(now, r, room)         // send, wait for d.Ticket, or refuse
//	g := c.Next(now, service, room)    // send g.Started, refuse g.Refused
//	c.Begin(t)                         // a started request has been sent
//	c.Cancel(t)                        // its caller has left
//
// # Capacity
//
// Work is measured as the time for which a request occupies an upstream, so that n
// upstreams do n milliseconds of work per millisecond. Nodes tell each other how much work
// is outstanding and how much arrives. What others said is up to two seconds old, while
// the own outstanding work is exact. Each node therefore keeps its outstanding work within
// a window: its share, by the arriving work, of what all upstreams do in about half of
// the objective. The sum of the windows does not depend on the age of the messages. While
// the fleet is known to have room, windows do not apply, and nothing waits.
//
// # Order
//
// The lowest rank goes first. Within a rank, the flow with the least recent work does; a
// flow is a kind of request of one workspace. A flow that sends five times its usual rate
// thus delays its own requests.
//
// A request that can be answered within its objective goes before one that can't. Late
// ones still have some worth: they get a quarter of the capacity while requests are on
// time, and all that is left over. Only as many late ones wait as can be served like this
// before their limits. All others are refused on arrival, since a request that is held and
// then refused is the worst outcome for its caller.
package admit
