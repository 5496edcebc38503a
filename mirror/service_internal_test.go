package mirror

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Calls that were sent during an outage may still fail after the store has begun to
// answer again. They must not count as a second outage, whose end would start another
// grace period for removals. Seen in test run e5f1772f (result DRAIN), case store-lapse, seed 784037040432.
func TestLateFailuresAreNoSecondOutage(t *testing.T) {
	is := is.New(t)
	s := NewService(nil, nil)
	lost := errors.New("no answer")
	begin := time.Now()
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	s.recordResultAt(at(0), "u/", lost)
	s.recordResultAt(at(time.Second), "u/", lost)
	is.True(s.state.storeDown)
	s.recordResultAt(at(2*time.Second), "c/", nil)
	is.True(!s.state.storeDown)
	hold := s.state.graceEnd
	s.recordResultAt(at(2500*time.Millisecond), "u/", lost) // sent during the outage
	is.True(!s.state.storeDown)
	s.recordResultAt(at(2600*time.Millisecond), "u/", nil)
	is.Equal(s.state.graceEnd, hold)
	s.recordResultAt(at(4*time.Second), "u/", lost)
	s.recordResultAt(at(5*time.Second), "u/", lost)
	is.True(s.state.storeDown) // a real second outage
}
