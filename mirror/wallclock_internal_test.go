package mirror

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// A node that learned of weights when they were designated knows their age. Records hold
// wall times, so that on a host whose clock is ahead, or is set forward, they would make
// the weights look too old, and no engine that still serves the previous ones usable.
func TestWallClockAheadDoesNotAgeWeights(t *testing.T) {
	const ahead = 20 * time.Second
	now := time.Unix(7000, 0)
	for _, tt := range []struct {
		name     string
		learned  time.Duration // wall clock ahead of the writer's when the node learned of the weights
		later    time.Duration // and when it read the record
		restarts bool          // the node starts after the designation
		age      time.Duration
	}{
		{"right clock", 0, 0, false, time.Second},
		{"clock ahead", ahead, ahead, false, time.Second},
		{"clock set forward", 0, ahead, false, time.Second},
		{"restarted, right clock", 0, 0, true, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState(weightsDecoder{})
			s.SetWallOffset(tt.learned)
			v1, v2 := vane.Object{Key: "w/m", Value: []byte("1"), Version: 1}, vane.Object{Key: "w/m", Value: []byte("12"), Version: 2}
			if tt.restarts {
				s.Replace(now.Add(time.Second), "w/", vane.Batch{Revision: 2, Objects: []vane.Object{v2}})
			} else {
				s.Replace(now.Add(-time.Hour), "w/", vane.Batch{Revision: 1, Objects: []vane.Object{v1}})
				s.Apply(now, []vane.Object{v2})
			}
			s.SetWallOffset(tt.later)
			value, err := json.Marshal(WeightsRecord{Model: "m", Numbers: []uint64{2}, AtMS: []int64{now.UnixMilli()}})
			is.NoErr(err)
			now := now.Add(time.Second)
			s.Apply(now, []vane.Object{{Key: WeightsRecordKey("m"), Value: value, Version: 3}})
			is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), tt.age)
		})
	}
}

// Ages that other nodes took from a record do not replace measured ones, else one wrong
// clock would count on all nodes. They do not replace lower bounds either: a node that
// starts late, before there is a record, counts from its start.
func TestAgesOfRecordsDoNotReplaceMeasuredOnes(t *testing.T) {
	now := time.Unix(7000, 0)
	for _, tt := range []struct {
		name      string
		completed time.Duration // age of the last complete state; zero if nothing was missed
		age       time.Duration // age that another node sends
		seen      bool          // and whether it was measured
		want      time.Duration
	}{
		{"from a record", 0, 20 * time.Second, false, 0},
		{"measured earlier", 0, 3 * time.Second, true, 3 * time.Second},
		{"started after the designation", 5 * time.Second, time.Second, false, 5 * time.Second},
		{"measured during the interruption", 5 * time.Second, 3 * time.Second, true, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState(weightsDecoder{})
			s.Replace(now.Add(-time.Hour), "w/", vane.Batch{Revision: 1, Objects: []vane.Object{{Key: "w/m", Value: []byte("1"), Version: 1}}})
			if tt.completed > 0 {
				s.SetCompleteUntil(now.Add(-tt.completed))
			}
			s.Apply(now, []vane.Object{{Key: "w/m", Value: []byte("12"), Version: 2}})
			s.MergeAge(now, "m", 2, tt.age, tt.seen)
			is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), tt.want)
		})
	}
}

// A step of the wall clock of a node that knows an age from a record changed the age with the
// next change in the store, and made the weights look outdated.
func TestStepOfTheWallClockDoesNotChangeAges(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, 10 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(7000, 0)
			s := newRestartedState(now)
			is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), 5*time.Second)
			s.SetWallOffset(step)
			s.Apply(now, []vane.Object{{Key: "u/e", Value: []byte("x"), Version: 4}})
			is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), 5*time.Second)
		})
	}
}

// newRestartedState returns the state of a node that started at now, five seconds after weights
// were designated, and has read their record with a wall offset of zero.
func newRestartedState(now time.Time) *State {
	s := NewState(weightsDecoder{})
	s.SetWallOffset(0)
	s.Replace(now, "w/", vane.Batch{Revision: 2, Objects: []vane.Object{{Key: "w/m", Value: []byte("12"), Version: 2}}})
	s.Apply(now, []vane.Object{{Key: WeightsRecordKey("m"), Value: []byte(`{"model":"m","numbers":[2],"at_ms":[6995000]}`), Version: 3}})
	return s
}

// An age from a record that is too high, since one of two wall clocks was wrong, stayed although
// another node had measured a lower one.
func TestMeasuredAgeReplacesAHighOneFromARecord(t *testing.T) {
	now := time.Unix(7000, 0)
	for _, tt := range []struct {
		name             string
		ahead, age, want time.Duration
		seen             bool
	}{
		{"right clock, delayed message", 0, 3500 * time.Millisecond, 5 * time.Second, true},
		{"ten seconds ahead", 10 * time.Second, 5 * time.Second, 5 * time.Second, true},
		{"an hour ahead", time.Hour, 5 * time.Second, 5 * time.Second, true},
		{"behind", -4 * time.Second, 5 * time.Second, 5 * time.Second, true},
		{"age of another record", 10 * time.Second, 5 * time.Second, 15 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState(weightsDecoder{})
			s.SetWallOffset(tt.ahead)
			s.Replace(now, "w/", vane.Batch{Revision: 2, Objects: []vane.Object{{Key: "w/m", Value: []byte("12"), Version: 2}}})
			s.Apply(now, []vane.Object{{Key: WeightsRecordKey("m"), Value: []byte(`{"model":"m","numbers":[2],"at_ms":[6995000]}`), Version: 3}})
			s.MergeAge(now, "m", 2, tt.age, tt.seen)
			is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), tt.want)
		})
	}
}

// A node reads records before other nodes have told it that its wall clock is wrong.
func TestConfirmedWallOffsetCorrectsAges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(7000, 0)
	s := newRestartedState(now)
	is.True(!s.ConfirmWallOffset(time.Second)) // within the tolerance
	is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), 5*time.Second)
	s = newRestartedState(now)
	is.True(s.ConfirmWallOffset(-4 * time.Second))
	is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), time.Second)
	is.True(!s.ConfirmWallOffset(time.Hour)) // ages that are known do not change
	s.Apply(now, []vane.Object{{Key: "u/e", Value: []byte("x"), Version: 4}})
	is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), time.Second)
}
