// Package ramp limits how many requests a node sends to a cold upstream, so that all nodes
// together stay within what a cold upstream tolerates. It reads no clock and opens no
// socket: callers pass the current time to every method.
//
// # Usage
//
//	r := ramp.New("node-1", ramp.Bounds{Over: 1.5, Slack: 5})
//	r.SetMembers(now, ramp.Members{Names: names, Version: version, AsOf: asOf, MaxAge: 5 * time.Second})
//	if r.Allows(now, "engine-7", 10) {
//		r.Spend(now, "engine-7")
//	}
//
// # Owners
//
// Each upstream has two owners among the nodes that are registered in the store, the first
// ones by rendezvous hashing. The other nodes send nothing to the upstream while it is cold.
// Whether a node answers does not matter, so that nodes that can't reach each other agree.
// The bound is divided into three shares: one for each owner, and one that is kept free for
// what the owners send around a change of owners.
//
// # Different views
//
// A node that does not know of a change of the registered nodes may take itself for an
// owner. Two rules keep it from spending beside the new owner. A node spends only while its
// view of the registered nodes is younger than [Members.MaxAge], so that a node that the
// store does not reach, or that stood still, stops by itself. A new owner spends only once
// the nodes that it may have displaced have said that they know of the change, or once it
// has been an owner for so long that they have stopped by the first rule.
package ramp
