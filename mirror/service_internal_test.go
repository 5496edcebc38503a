package mirror

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// After an outage, calls that were sent during it still fail while others are
// answered already. The store has not gone away again, and removals must not be held
// back anew (DRAIN in hunt e5f1772f, store-lapse seed 784037040432).
func TestLateFailuresAreNoSecondOutage(t *testing.T) {
	is := is.New(t)
	s := NewService(nil, nil)
	lost := errors.New("no answer")
	begin := time.Now()
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	s.noteAt(at(0), "u/", lost)
	s.noteAt(at(time.Second), "u/", lost)
	is.True(s.state.away)
	s.noteAt(at(2*time.Second), "c/", nil)
	is.True(!s.state.away)
	hold := s.state.holdTo
	s.noteAt(at(2500*time.Millisecond), "u/", lost) // sent during the outage
	is.True(!s.state.away)
	s.noteAt(at(2600*time.Millisecond), "u/", nil)
	is.Equal(s.state.holdTo, hold)
	s.noteAt(at(4*time.Second), "u/", lost)
	s.noteAt(at(5*time.Second), "u/", lost)
	is.True(s.state.away) // a real one
}
