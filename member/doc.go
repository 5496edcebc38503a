// Package member maintains a node's view of the other nodes with a gossip protocol
// derived from SWIM.
//
// [State] is a state machine without sockets and clocks. In each period a node
// pings a few neighbours on a hash ring and one other member. A member that does
// not answer is probed through others before it is suspected, and a suspected
// member can refute the suspicion with a higher incarnation. Updates are
// piggybacked on the same messages. A node that detects that it was itself paused
// does not suspect others because of the messages that it missed during the pause. The view only
// decides where requests are sent; exclusive rights come from leases.
//
// # Usage
//
//	s := member.New(self, member.WithPeriod(time.Second))
//	packets := s.Tick(now)
//	packets = s.Handle(now, msg)
//	for _, m := range s.Members() { … }
//
// The choice of ring neighbours for heartbeats follows the notes on the
// implementation of Akka Cluster (J. Bonér); docs/design/0003-members.md gives the
// measurement.
package member
