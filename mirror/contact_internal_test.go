package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// Weights that were named while a node stood still or could not reach the store count
// from the last moment at which the node knew that they were not. Else it would send
// requests to engines with the replaced ones for as long again.
func TestWeightsNamedDuringAnInterruption(t *testing.T) {
	const tick = removalCheckInterval
	at := func(d time.Duration) time.Time { return time.Unix(7000, 0).Add(d) }
	for _, tt := range []struct {
		name   string
		stall  time.Duration // from 10 s on
		fails  bool          // a call fails after the last answer at 9 s
		learns time.Duration
		since  time.Duration
		bound  bool
	}{
		{"in contact", 0, false, 15 * time.Second, 15 * time.Second, false},
		{"just after standing still", 5 * time.Second, false, 15100 * time.Millisecond, 10 * time.Second, true},
		{"long after standing still", 5 * time.Second, false, 18 * time.Second, 18 * time.Second, false},
		{"after failed calls", 0, true, 15 * time.Second, 9 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, s := newContact(), NewState(weightsDecoder{})
			s.Apply(at(0), []vane.Object{{Key: "w/m", Value: []byte("1"), Version: 1}})
			c.recordResult(at(9*time.Second), "w/", true)
			if tt.fails {
				c.recordResult(at(9500*time.Millisecond), "w/", false)
			}
			for d := time.Duration(0); d < tt.learns; d += tick {
				if d <= 10*time.Second || d >= 10*time.Second+tt.stall {
					c.tick(at(d))
				}
			}
			s.SetCompleteUntil(c.completeUntil(at(tt.learns), "w/"))
			s.Apply(at(tt.learns), []vane.Object{{Key: "w/m", Value: []byte("12"), Version: 2}})
			h := s.View().Weights["m"].History[1]
			is.Equal(h.Since, at(tt.since))
			is.Equal(h.Bound, tt.bound)

			// A node that was in contact recorded the time.
			known := WeightsRecord{Model: "m", Numbers: []uint64{1, 2}, AtMS: []int64{at(0).UnixMilli(), at(12 * time.Second).UnixMilli()}}
			w := s.View().Weights["m"].merge(known, 0)
			is.Equal(w.History[1].Since, at(12*time.Second))
		})
	}
}

// A node that restarts on a host whose wall clock is wrong reads wrong ages from the
// record. Ages in the messages of other nodes do not depend on wall clocks.
func TestRestartedNodeLearnsAgesFromOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(7000, 0)
	s := NewState(weightsDecoder{})
	s.SetWallOffset(-3 * time.Second)
	s.Apply(now, []vane.Object{{Key: "w/m", Value: []byte("12"), Version: 2}})
	s.Apply(now, []vane.Object{{Key: WeightsRecordKey("m"), Value: []byte(`{"model":"m","numbers":[1,2],"at_ms":[0,6996000]}`), Version: 3}})
	is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), time.Second) // four seconds on a correct clock
	is.True(s.MergeAge(now, "m", 2, 4*time.Second, false))
	is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), 4*time.Second)
	is.True(!s.MergeAge(now.Add(time.Second), "m", 2, 4900*time.Millisecond, true)) // delayed message
	is.True(!s.MergeAge(now, "m", 3, time.Hour, true))                              // weights that are not known yet
	is.True(!s.MergeAge(now, "other", 1, time.Hour, true))
	is.Equal(s.View().Weights["m"].OutdatedFor(now, 1), 4*time.Second)
}
