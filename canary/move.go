package canary

import (
	"encoding/json"
	"time"

	vane "mustardvane.org/vane"
)

//go:generate stringer -type=Stage -linecomment -output=stage_string.go

// Stage is the progress of a move.
type Stage int

// The stages of a move, in order.
const (
	StageSmall      Stage = iota // small_share
	StageTenth                   // tenth
	StageHalf                    // half
	StageWatch                   // watched
	StageDone                    // done
	StageRolledBack              // taken_back
)

// KeyPrefix is the key prefix of moves on the platform, with one object per model. It is
// below the prefix of the configuration, so that one watch covers both.
const KeyPrefix = "config/moves/"

// trafficShares are the fractions of the requests that the new version gets, by stage.
var trafficShares = map[Stage]float64{
	StageSmall: 0.015, StageTenth: 0.1, StageHalf: 0.5, StageWatch: 1, StageDone: 1, StageRolledBack: 0,
}

// minGoodResults are the numbers of successful results that are needed to leave a stage.
var minGoodResults = map[Stage]int{StageSmall: 40, StageTenth: 60, StageHalf: 80, StageWatch: 80}

// MinStageTime is the shortest duration of a stage.
const MinStageTime = 5 * time.Second

// Move is the staged move of a model's traffic from one version to another. It is an
// immutable value; its methods return changed copies.
type Move struct {
	Model          string      `json:"model"`
	From           string      `json:"from"`
	To             string      `json:"to"`
	ConfigRevision uint64      `json:"order"` // revision of the configuration that requested the move
	Stage          Stage       `json:"stage"`
	Reason         vane.Reason `json:"reason,omitempty"` // why it was rolled back; ReasonNone otherwise
	// Route, Observed and Expected are those of the regression that rolled it back.
	Route    string  `json:"route,omitempty"`
	Observed float64 `json:"have,omitempty"`
	Expected float64 `json:"want,omitempty"`
	Nonce    string  `json:"nonce,omitempty"` // identifies the writer of the object
}

// MarshalText implements encoding.TextMarshaler.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown stage is read as
// StageRolledBack, which gives the new version no traffic.
func (s *Stage) UnmarshalText(b []byte) error {
	for x := StageSmall; x <= StageRolledBack; x++ {
		if x.String() == string(b) {
			*s = x
			return nil
		}
	}
	*s = StageRolledBack
	return nil
}

// Decode decodes the platform's object of a move. Errors are of kind KindInvalid.
func Decode(b []byte) (Move, error) {
	var m Move
	if err := json.Unmarshal(b, &m); err != nil {
		return m, vane.Errorf(vane.KindInvalid, "canary.decode", "delete the object to restart the move", "the object is not a move in JSON").WithCause(err)
	}
	return m, nil
}

// Share returns the fraction of the requests that the new version gets.
func (m Move) Share() float64 { return trafficShares[m.Stage] }

// InProgress reports whether the move is neither done nor rolled back.
func (m Move) InProgress() bool { return m.Stage < StageDone }

// Next returns the move at the next stage, and true, if the present stage has lasted
// long enough and had enough good results. Otherwise it returns the move unchanged,
// and false. dwell is the time in the present stage, good its number of good results.
func (m Move) Next(dwell time.Duration, good int) (Move, bool) {
	if !m.InProgress() || dwell < MinStageTime || good < minGoodResults[m.Stage] {
		return m, false
	}
	m.Stage++
	return m, true
}

// RollBack returns the move rolled back because of the regression.
func (m Move) RollBack(v Regression) Move {
	m.Stage, m.Reason, m.Route, m.Observed, m.Expected = StageRolledBack, v.Reason, v.Route, v.Observed, v.Expected
	return m
}

// WithNonce returns the move with the writer's nonce.
func (m Move) WithNonce(nonce string) Move {
	m.Nonce = nonce
	return m
}

// ActiveVersion returns the version that gets the traffic when the move has ended.
func (m Move) ActiveVersion() string {
	if m.Stage == StageRolledBack {
		return m.From
	}
	return m.To
}
