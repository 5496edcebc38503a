// Package lease assigns shards of work to nodes by leases that are kept as objects in
// the platform's store.
//
// A [Machine] is the state machine of one shard on one node: it takes the time and the
// platform's answers, and returns the next action. A lease is valid for a fixed duration
// from when its last successful write was requested, on the holder's own monotonic
// clock. Another node acquires it only after it has seen the same version for longer
// than that. The version of the lease object is the fencing number. [Manager] drives the
// machines of all shards.
//
// # Usage
//
//	m := lease.NewMachine("vane-1", lease.DefaultTimes())
//	act := m.Tick(now, wanted)
//	m.Done(now, act, result)
//	if fence, ok := m.Holds(now); ok { … }
//
// # Safety
//
// At most one node holds a shard at any time, provided that no clock runs faster than
// another by more than the fraction Times.Drift. Pauses, lost answers and outages can
// make a holder lose its lease, but never share it.
package lease
