package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
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

// silentStore is a store that answers nothing while it is silent. Calls that were sent then
// are never answered.
type silentStore struct {
	silent atomic.Bool
}

// call answers after d, or fails after limit if the store is silent at its beginning.
func (s *silentStore) call(ctx context.Context, d, limit time.Duration) (vane.Batch, error) {
	failed := s.silent.Load()
	if failed {
		d = limit
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return vane.Batch{}, ctx.Err()
	}
	if failed || s.silent.Load() {
		return vane.Batch{}, errors.New("no answer")
	}
	return vane.Batch{Revision: 1}, nil
}

func (s *silentStore) List(ctx context.Context, _ string) (vane.Batch, error) {
	return s.call(ctx, time.Millisecond, time.Second)
}

func (s *silentStore) Watch(ctx context.Context, _ string, _ uint64) (vane.Batch, error) {
	return s.call(ctx, 2*time.Second, 2600*time.Millisecond)
}

func (s *silentStore) Poll(ctx context.Context, _ string, _ uint64) (vane.Batch, error) {
	return s.call(ctx, 10*time.Millisecond, 1500*time.Millisecond)
}

func (s *silentStore) WatchRelaxed(ctx context.Context, _ string, _ uint64) (vane.Batch, error) {
	return s.call(ctx, 15*time.Second, 15600*time.Millisecond)
}

func (s *silentStore) WatchUpTo(ctx context.Context, _ string, _ uint64, wait time.Duration) (vane.Batch, error) {
	return s.call(ctx, wait, wait+600*time.Millisecond)
}

// Calls that were sent while the store was silent do not hide that it is back for as long
// as a watch lasts.
func TestReturnOfASilentStoreIsNoticedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := &silentStore{}
		s := NewService(st, noObjects{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx, func() {}) }()
		time.Sleep(5 * time.Second)
		is.True(s.Reachable())
		for _, outage := range []time.Duration{4 * time.Second, 4600 * time.Millisecond, 5300 * time.Millisecond, 7 * time.Second} {
			st.silent.Store(true)
			time.Sleep(outage)
			is.True(!s.Reachable())
			st.silent.Store(false)
			back := time.Now()
			for !s.Reachable() {
				time.Sleep(10 * time.Millisecond)
			}
			is.True(time.Since(back) <= 2050*time.Millisecond) // the limit of a poll and the longest pause after it
			time.Sleep(3 * time.Second)
			is.True(s.Reachable())
		}
		cancel()
		is.NoErr(<-done)
	})
}

// A watch that was sent during an outage is sent again when the store is back.
func TestWatchFromAnOutageIsInterrupted(t *testing.T) {
	is := is.New(t)
	st := &silentStore{}
	st.silent.Store(true)
	s := NewService(st, noObjects{})
	type result struct {
		interrupted bool
		err         error
	}
	ended := make(chan result, 1)
	begun := make(chan struct{})
	s.watchPolicy = func(string) WatchPolicy { close(begun); return WatchPolicy{Relaxed: true} }
	go func() {
		_, interrupted, err := s.watch(t.Context(), "u/", 1)
		ended <- result{interrupted, err}
	}()
	<-begun
	now := time.Now()
	s.recordResultAt(now, "c/", errors.New("no answer"))
	s.recordResultAt(now.Add(time.Second), "c/", errors.New("no answer"))
	s.recordResultAt(now.Add(2*time.Second), "c/", nil)
	r := <-ended
	is.True(r.interrupted)
	is.True(r.err != nil)
}

// noObjects is a decoder of no objects.
type noObjects struct{ Decoder }

func (noObjects) ConfigPrefix() string   { return "c/" }
func (noObjects) UpstreamPrefix() string { return "u/" }
func (noObjects) WeightsPrefix() string  { return "w/" }
func (noObjects) RolloutPrefix() string  { return "r/" }
