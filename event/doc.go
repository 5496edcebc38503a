// Package event records the events of a node, which together with those of the other
// nodes form the timeline of the cluster.
//
// A [Ring] holds the newest events of one process in bounded memory and gives each a
// reading of a hybrid logical clock, so that [Merge] can order the events of all nodes
// with causes before their effects even where the wall clocks of the nodes differ.
//
// # Usage
//
//	r := event.NewRing("vane-1", 4096)
//	r.Record(vane.Event{Kind: vane.EventRefused, Reason: vane.ReasonLimitRate, Workspace: "w"})
//	page := r.Since(0, event.Filter{Workspace: "w"})
//	all := event.Merge(page.Events, other.Events)
//
// # Units
//
// The hybrid logical clock counts microseconds of wall time in its upper 48
// bits and a logical counter in its lower 16 bits.
package event
