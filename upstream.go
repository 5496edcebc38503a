package vane

// UpstreamState is the state of an upstream on the platform's list.
type UpstreamState int

// The states of an upstream.
const (
	UpstreamLive    UpstreamState = iota // live
	UpstreamLeaving                      // leaving
)

// UpstreamRole is what an upstream does.
type UpstreamRole int

// The roles of an upstream.
const (
	RoleEngine  UpstreamRole = iota // engine
	RoleService                     // service
)

// Upstream is one model engine or plain service that requests are sent to. It
// is an immutable value: With methods return changed copies.
type Upstream struct {
	Name        string        `json:"name"`              // unique in the fleet
	Addr        string        `json:"addr"`              // IP address and port
	DataCentre  string        `json:"data_centre"`       // where it stands
	Role        UpstreamRole  `json:"role"`              // engine or plain service
	State       UpstreamState `json:"state"`             // live or leaving
	Service     string        `json:"service,omitempty"` // name of the plain service, for RoleService
	Model       string        `json:"model,omitempty"`   // model served, for RoleEngine
	Version     string        `json:"version,omitempty"` // version of the weights, for RoleEngine
	Incarnation uint64        `json:"incarnation"`       // changes whenever the process starts anew
	Slots       int           `json:"slots,omitempty"`   // requests that it batches at once
	Release     string        `json:"release,omitempty"` // version of the upstream's software
	Weights     uint64        `json:"weights,omitempty"` // number of the loaded weights, for engines that count them; zero if none
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

// Load is what an upstream reported about itself.
type Load struct {
	Running  int  // requests in the batch
	Waiting  int  // requests that wait for a slot
	Draining bool // the upstream takes no new work
}

// Level is one nested prefix of a prompt.
type Level struct {
	Hash   uint64 // hash of everything up to the end of the level
	Tokens int    // estimated tokens up to the end of the level
}

// Prompt is the cut form of a request's prompt.
type Prompt struct {
	Levels       []Level // nested prefixes in whole pieces, shortest first
	SharedLevels int     // leading levels that end before the last message
	Tokens       int     // estimated tokens of the whole prompt
}

// Shared returns the levels that other requests can have in common with this
// one. It leaves out those that reach into the last message, which holds the
// caller's own question.
func (p Prompt) Shared() []Level { return p.Levels[:p.SharedLevels] }

// SharedTokens returns the tokens up to the end of the deepest shared level.
func (p Prompt) SharedTokens() int {
	if p.SharedLevels == 0 {
		return 0
	}
	return p.Levels[p.SharedLevels-1].Tokens
}
