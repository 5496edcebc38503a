package vane

import "time"

// RolloutState is the state of a roll-out as the store records it.
type RolloutState int

// The states of a roll-out. The text of a state is that of the recorded status.
const (
	RolloutRequested  RolloutState = iota // requested
	RolloutRunning                        // running
	RolloutCompleted                      // completed
	RolloutRolledBack                     // rolled_back
)

// Rollout is a request to move the traffic of a service to upstreams of another release,
// with its recorded state. It is an immutable value.
type Rollout struct {
	Key      string // key of its object
	Revision uint64 // version of its object
	Service  string
	Target   string        // release to move to
	Duration time.Duration // time within which the move must be completed or rolled back
	State    RolloutState
	Began    time.Time // time at which it was first seen, by the clock of the node that recorded it; zero if not recorded
}

// WithState returns a copy of r in the state s.
func (r Rollout) WithState(s RolloutState) Rollout {
	r.State = s
	return r
}

// WithBegan returns a copy of r that was first seen at t.
func (r Rollout) WithBegan(t time.Time) Rollout {
	r.Began = t
	return r
}

// Ended reports whether the roll-out is completed or rolled back.
func (r Rollout) Ended() bool { return r.State == RolloutCompleted || r.State == RolloutRolledBack }
