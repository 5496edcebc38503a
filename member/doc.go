// Package member keeps a node's view of the other nodes.
//
// [State] is a state machine without sockets and clocks. Each period a node
// pings a few neighbours on a hashed ring and one other member; a member that
// does not answer is probed through others before it is suspected, and a
// suspected member can refute with a higher incarnation. News travels on the
// same messages. A node that notices that it was paused does not blame others
// for its silence. A view decides only where requests and questions are sent;
// authority comes from leases.
//
// # Usage
//
//	s := member.New(self, member.WithPeriod(time.Second))
//	packets := s.Tick(now)
//	packets = s.Handle(now, msg)
//	for _, m := range s.Members() { … }
//
// The choice of ring neighbours for heartbeats follows the notes on the
// implementation of Akka's clusters (J. Bonér); docs/design/0003-members.md
// gives the measurement.
package member
