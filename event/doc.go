// Package event keeps a node's part of the time line.
//
// A [Ring] holds the newest events of one process in bounded memory and stamps
// them with a hybrid logical clock, so that the events of all nodes can be put
// into one order that respects cause and effect even where wall clocks differ.
//
// # Usage
//
//	r := event.NewRing("vane-1", 4096)
//	r.Record(vane.Event{What: vane.EventRefused, Reason: vane.ReasonLimitRate, Workspace: "w"})
//	page := r.Since(0, event.Filter{Workspace: "w"})
//	all := event.Merge(page.Events, other.Events)
//
// # Units
//
// The hybrid logical clock counts microseconds of wall time in its upper 48
// bits and a logical counter in its lower 16 bits.
package event
