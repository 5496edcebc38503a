package vane

import "time"

// UpstreamState is the state of an upstream on the platform's list.
type UpstreamState int

// The states of an upstream.
const (
	UpstreamLive    UpstreamState = iota // live
	UpstreamLeaving                      // leaving
)

// UpstreamRole says what kind of server an upstream is.
type UpstreamRole int

// The roles of an upstream.
const (
	RoleEngine  UpstreamRole = iota // engine
	RoleService                     // service
)

// ProcessState is what a check found out about the process of an upstream.
type ProcessState int

// The states of a process.
const (
	ProcessUnknown  ProcessState = iota // unknown
	ProcessRuns                         // runs
	ProcessReplaced                     // replaced
	ProcessGone                         // gone
)

// Upstream is one model engine or plain service that requests are sent to. It
// is an immutable value: the methods WithState and WithIncarnation return changed
// copies.
type Upstream struct {
	Name        string        `json:"name"`              // unique in the fleet
	Addr        string        `json:"addr"`              // IP address and port
	DataCentre  string        `json:"data_centre"`       // data centre of the upstream's host
	Role        UpstreamRole  `json:"role"`              // engine or plain service
	State       UpstreamState `json:"state"`             // live or leaving
	Service     string        `json:"service,omitempty"` // name of the plain service, for RoleService
	Model       string        `json:"model,omitempty"`   // model served, for RoleEngine
	Version     string        `json:"version,omitempty"` // name of the weights' version, for RoleEngine
	Incarnation uint64        `json:"incarnation"`       // changes with every start of the process
	Slots       int           `json:"slots,omitempty"`   // requests that the upstream batches at once
	Release     string        `json:"release,omitempty"` // version of the upstream's software
	Weights     uint64        `json:"weights,omitempty"` // version number of the loaded weights, for engines that number them; zero if none

	// ColdLeft is how long the upstream stayed cold when its entry was written, as decoded.
	// Package mirror replaces it by ColdUntil.
	ColdLeft time.Duration `json:"-"`
	// ColdUntil is the end of the cold time on this node's clock, no earlier than the true end;
	// zero if the entry states none.
	ColdUntil time.Time `json:"-"`
	// StartSeen is when this node saw that the upstream had started; zero if it runs since
	// before this node first listed the upstreams, or if a later entry states that it is not cold.
	StartSeen time.Time `json:"-"`
}

// WithState returns a copy of u in the state s.
func (u Upstream) WithState(s UpstreamState) Upstream {
	u.State = s
	return u
}

// WithIncarnation returns a copy of u with the incarnation n.
func (u Upstream) WithIncarnation(n uint64) Upstream {
	u.Incarnation = n
	return u
}

// Load is the load that an upstream reports.
type Load struct {
	Running  int     // requests in the current batch
	Waiting  int     // requests that wait for a slot
	Draining bool    // the upstream accepts no new requests
	Slowdown float64 // how long work takes now, as a multiple of the usual time: 1 as usual, 2.5 two and a half times as long, 0 not stated
}

// Level is one of the nested prefixes that a prompt is split into.
type Level struct {
	Hash   uint64 // hash of the prompt up to the end of the level
	Tokens int    // estimated tokens up to the end of the level
}

// Prompt is a request's prompt split into nested prefixes.
type Prompt struct {
	Levels       []Level // nested prefixes, shortest first; each consists of whole pieces, the units in which engines cache prompts
	SharedLevels int     // number of leading levels that end before the last message
	Tokens       int     // estimated tokens of the whole prompt
}

// Shared returns the levels that other requests can have in common with this
// one. It leaves out those that reach into the last message, which holds the
// caller's own question.
func (p Prompt) Shared() []Level { return p.Levels[:p.SharedLevels] }

// SharedTokens returns the estimated tokens up to the end of the longest shared
// level.
func (p Prompt) SharedTokens() int {
	if p.SharedLevels == 0 {
		return 0
	}
	return p.Levels[p.SharedLevels-1].Tokens
}
