package vane

import "time"

// Event is one entry of the time line. If a decision compared two numbers, they
// are in Observed and Threshold; Kind implies their unit.
type Event struct {
	Wall      time.Time     `json:"wall"`                 // wall-clock time of the host
	Mono      time.Duration `json:"mono_ns"`              // time since the process started
	Clock     uint64        `json:"hlc"`                  // hybrid logical clock, comparable between nodes
	Host      string        `json:"host"`                 // name of the node that recorded the event
	Kind      EventKind     `json:"what"`                 // kind of event
	Reason    Reason        `json:"reason"`               // cause; ReasonNone if there is none to state
	Workspace string        `json:"workspace,omitempty"`  // workspace that the event concerns
	RequestID string        `json:"request_id,omitempty"` // ID of the request that the event concerns
	Subject   string        `json:"subject,omitempty"`    // upstream, shard, key or revision that the event concerns
	Observed  float64       `json:"have,omitempty"`       // observed number, such as a revision or an incarnation
	Threshold float64       `json:"want,omitempty"`       // number that Observed was compared with
	Remedy    string        `json:"remedy,omitempty"`     // what the operator can do; empty if nothing
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

// UnmarshalText implements encoding.TextUnmarshaler. It decodes an unknown name
// as EventNone, so that an older tool can read a newer node's time line.
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

// enum is an integer type whose values have names generated by stringer.
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
