package canary

import (
	"encoding/json"
	"time"

	vane "mustardvane.org/vane"
)

//go:generate stringer -type=Stage -linecomment -output=stage_string.go

// Stage is how far a move has come.
type Stage int

// The stages of a move, in order.
const (
	StageSmall     Stage = iota // small_share
	StageTenth                  // tenth
	StageHalf                   // half
	StageWatch                  // watched
	StageDone                   // done
	StageTakenBack              // taken_back
)

// Prefix is where the platform keeps moves, one object a model. It is below the
// prefix of the configuration, so that one watch brings both.
const Prefix = "config/moves/"

// shares are the parts of the requests that the new version gets, by stage.
var shares = map[Stage]float64{
	StageSmall: 0.015, StageTenth: 0.1, StageHalf: 0.5, StageWatch: 1, StageDone: 1, StageTakenBack: 0,
}

// need are the good results that a stage takes at least.
var need = map[Stage]int{StageSmall: 40, StageTenth: 60, StageHalf: 80, StageWatch: 80}

// Dwell is how long a stage lasts at least.
const Dwell = 5 * time.Second

// Move is a move of a model's traffic. It is an immutable value.
type Move struct {
	Model  string      `json:"model"`
	From   string      `json:"from"`
	To     string      `json:"to"`
	Order  uint64      `json:"order"` // revision of the configuration that asked for it
	Stage  Stage       `json:"stage"`
	Reason vane.Reason `json:"reason,omitempty"` // why it was taken back
	Route  string      `json:"route,omitempty"`
	Have   float64     `json:"have,omitempty"`
	Want   float64     `json:"want,omitempty"`
	Nonce  string      `json:"nonce,omitempty"` // of the writer
}

// MarshalText implements encoding.TextMarshaler.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown stage gives the new
// version no traffic.
func (s *Stage) UnmarshalText(b []byte) error {
	for x := StageSmall; x <= StageTakenBack; x++ {
		if x.String() == string(b) {
			*s = x
			return nil
		}
	}
	*s = StageTakenBack
	return nil
}

// Decode reads a move as the platform keeps it.
func Decode(b []byte) (Move, error) {
	var m Move
	if err := json.Unmarshal(b, &m); err != nil {
		return m, vane.Errorf(vane.KindInvalid, "canary.decode", "delete the object; the move begins anew", "not a move").WithCause(err)
	}
	return m, nil
}

// Share returns the part of the requests that the new version gets.
func (m Move) Share() float64 { return shares[m.Stage] }

// Open says whether the move goes on.
func (m Move) Open() bool { return m.Stage < StageDone }

// Next returns the move one stage further if the present one has lasted long enough
// and brought enough good results.
func (m Move) Next(dwell time.Duration, good int) (Move, bool) {
	if !m.Open() || dwell < Dwell || good < need[m.Stage] {
		return m, false
	}
	m.Stage++
	return m, true
}

// TakeBack returns the move taken back for the reason of the verdict.
func (m Move) TakeBack(v Verdict) Move {
	m.Stage, m.Reason, m.Route, m.Have, m.Want = StageTakenBack, v.Reason, v.Route, v.Have, v.Want
	return m
}

// WithNonce returns the move with the writer's nonce.
func (m Move) WithNonce(nonce string) Move {
	m.Nonce = nonce
	return m
}

// Carrier returns the version that carries the traffic when no move is open.
func (m Move) Carrier() string {
	if m.Stage == StageTakenBack {
		return m.From
	}
	return m.To
}
