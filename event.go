package vane

import "time"

// Event is one entry of the time line. Numbers that were compared to take the
// decision stand in Have and Want; their unit is part of What.
type Event struct {
	Wall      time.Time     `json:"wall"`                 // wall clock of the host
	Mono      time.Duration `json:"mono_ns"`              // since the process started
	Clock     uint64        `json:"hlc"`                  // hybrid logical clock
	Host      string        `json:"host"`                 // node that recorded it
	Kind      EventKind     `json:"what"`                 // kind of event
	Reason    Reason        `json:"reason"`               // stated cause
	Workspace string        `json:"workspace,omitempty"`  // workspace concerned
	RequestID string        `json:"request_id,omitempty"` // request concerned
	Subject   string        `json:"subject,omitempty"`    // upstream, shard, key or revision concerned
	Observed  float64       `json:"have,omitempty"`       // number observed
	Threshold float64       `json:"want,omitempty"`       // bound it was compared with
	Remedy    string        `json:"remedy,omitempty"`     // what the operator can do
}

// EventKind is the kind of an [Event].
type EventKind int

//go:generate stringer -type=EventKind -linecomment -output=event_string.go

// The kinds of events.
const (
	EventNone             EventKind = iota // none
	EventRefused                           // refused
	EventWaited                            // waited
	EventRerouted                          // rerouted
	EventResumed                           // resumed
	EventStreamBroken                      // stream_broken
	EventServed                            // served
	EventConfigInForce                     // config_in_force
	EventConfigStale                       // config_stale
	EventUpstreamJoined                    // upstream_joined
	EventUpstreamLeft                      // upstream_left
	EventUpstreamDraining                  // upstream_draining
	EventUpstreamCrashed                   // upstream_crashed
	EventMemberAlive                       // member_alive
	EventMemberSuspect                     // member_suspect
	EventMemberDead                        // member_dead
	EventMemberLeft                        // member_left
	EventLeaseTaken                        // lease_taken
	EventLeaseLost                         // lease_lost
	EventLeaseReleased                     // lease_released
	EventStoreDown                         // store_down
	EventStoreUp                           // store_up
	EventClaimed                           // claimed
	EventClaimResolved                     // claim_resolved
	EventRequestSuspect                    // request_suspect
	EventRequestCleared                    // request_cleared
	EventStarted                           // node_started
	EventDraining                          // node_draining
	EventStopped                           // node_stopped
	EventPaused                            // node_paused
	EventMoveStep                          // move_step
	EventMoveRolledBack                    // move_taken_back
)

// MarshalText implements encoding.TextMarshaler.
func (k EventKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name becomes
// EventNone, so that an older tool can read a newer node's time line.
func (k *EventKind) UnmarshalText(b []byte) error {
	*k = parseEnum(string(b), EventNone, EventMoveRolledBack)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Reason) UnmarshalText(b []byte) error {
	*r = parseEnum(string(b), ReasonNone, ReasonInternal)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (x Execution) MarshalText() ([]byte, error) { return []byte(x.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (x *Execution) UnmarshalText(b []byte) error {
	*x = parseEnum(string(b), NotRun, Ran)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s UpstreamState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *UpstreamState) UnmarshalText(b []byte) error {
	*s = parseEnum(string(b), UpstreamLive, UpstreamLeaving)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (r UpstreamRole) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *UpstreamRole) UnmarshalText(b []byte) error {
	*r = parseEnum(string(b), RoleEngine, RoleService)
	return nil
}

// enum is a generated-name enumeration.
type enum interface {
	~int
	String() string
}

// parseEnum returns the value between first and last whose name is s, or first.
func parseEnum[E enum](s string, first, last E) E {
	for e := first; e <= last; e++ {
		if e.String() == s {
			return e
		}
	}
	return first
}
