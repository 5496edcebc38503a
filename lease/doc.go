// Package lease holds shards of work under leases kept in the platform's object
// API.
//
// A [Machine] is the state machine of one shard on one node: it takes time and
// the platform's answers and returns what to do next. A lease is valid for a
// fixed time after the moment at which its last successful write was sent, on
// the holder's own monotonic clock; another node takes it over only after it
// has seen the same version for longer than that. The version of the lease
// object is the fencing number. [Keeper] drives the machines of all shards.
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
// At most one node holds a shard at any time if no clock runs more than
// Times.Drift faster than another. Pauses, lost answers and outages make a
// holder lose its lease, never share it.
package lease
