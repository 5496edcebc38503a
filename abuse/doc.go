// Package abuse sends the loads of misbehaving callers: bodies and headers that are
// large, never end or exceed the limits, and responses that are never read.
//
// # Usage
//
//	c := abuse.Crowd{Addr: addr, Clients: 100, Load: abuse.PartBodies, Head: head, BodyBytes: 1 << 20}
//	c.Start(ctx)
//	c.Settled() // each client has sent all it sends, or makes no more progress
//	defer c.Stop()
//
// The tests start nodes as processes under such loads, in both modes. They check that the
// process lives and stays within its memory and descriptors, and that an ordinary request is
// answered. They check neither times nor shares of requests, so that they pass on a slow
// machine. They run one at a time.
package abuse
