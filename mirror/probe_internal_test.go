package mirror

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// refusingStore is a store that refuses all calls at once while refuses is set, also those
// that wait. It counts the calls.
type refusingStore struct {
	refuses atomic.Bool
	calls   atomic.Int64
	refused chan struct{} // closed when the store begins to refuse
}

func (s *refusingStore) call(ctx context.Context, d time.Duration) (vane.Batch, error) {
	s.calls.Add(1)
	if s.refuses.Load() {
		time.Sleep(4 * time.Millisecond)
		return vane.Batch{}, errors.New("refused")
	}
	select {
	case <-time.After(d):
	case <-s.refused:
		return vane.Batch{}, errors.New("refused")
	case <-ctx.Done():
		return vane.Batch{}, ctx.Err()
	}
	return vane.Batch{Revision: 1}, nil
}

func (s *refusingStore) List(ctx context.Context, _ string) (vane.Batch, error) {
	return s.call(ctx, time.Millisecond)
}

func (s *refusingStore) Watch(ctx context.Context, _ string, _ uint64) (vane.Batch, error) {
	return s.call(ctx, 2*time.Second)
}

func (s *refusingStore) WatchUpTo(ctx context.Context, _ string, _ uint64, wait time.Duration) (vane.Batch, error) {
	return s.call(ctx, wait)
}

func (s *refusingStore) WatchRelaxed(ctx context.Context, _ string, _ uint64) (vane.Batch, error) {
	return s.call(ctx, 15*time.Second)
}

func (s *refusingStore) Poll(ctx context.Context, _ string, _ uint64) (vane.Batch, error) {
	return s.call(ctx, 10*time.Millisecond)
}

// A node that the store refuses tries with one call at a time for all kinds of objects, and
// follows all of them again soon after the store accepts calls.
func TestOneProbeForAllPrefixes(t *testing.T) {
	for _, tt := range []struct {
		relaxed bool
		most    int64 // calls within 10 s of refusals
		noticed time.Duration
	}{
		{false, 40, 600 * time.Millisecond},
		{true, 18, 2250 * time.Millisecond},
	} {
		t.Run(fmt.Sprint("relaxed ", tt.relaxed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				st := &refusingStore{refused: make(chan struct{})}
				s := NewService(st, noObjects{}, WithWatchPolicy(func(string) WatchPolicy { return WatchPolicy{Relaxed: tt.relaxed} }))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx, func() {}) }()
				time.Sleep(5 * time.Second)
				is.True(s.Reachable())
				before := st.calls.Load()
				st.refuses.Store(true)
				close(st.refused)
				time.Sleep(10 * time.Second)
				is.True(!s.Reachable())
				n := st.calls.Load() - before
				t.Logf("%d calls", n)
				is.True(n <= tt.most)
				st.refused = make(chan struct{})
				st.refuses.Store(false)
				time.Sleep(tt.noticed)
				is.True(s.Reachable())
				s.mu.Lock()
				waiting := s.prober
				s.mu.Unlock()
				is.Equal(waiting, "")
				n = st.calls.Load()
				time.Sleep(4 * time.Second)
				if !tt.relaxed {
					is.True(st.calls.Load()-n >= 5) // a watch for each of the five prefixes
				}
				cancel()
				is.NoErr(<-done)
			})
		})
	}
}

// An answer counts at the time at which it arrives, not after the pause in which further
// changes are gathered.
func TestPauseAfterAnAnswerIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := &refusingStore{refused: make(chan struct{})}
		s := NewService(&changingStore{st}, noObjects{}, WithWatchPolicy(func(string) WatchPolicy {
			return WatchPolicy{Relaxed: true, BatchWindow: 4 * time.Second}
		}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx, func() {}) }()
		time.Sleep(5 * time.Second)
		st.refuses.Store(true)
		close(st.refused)
		time.Sleep(time.Second)
		is.True(s.Failing())
		for range 800 {
			time.Sleep(10 * time.Millisecond)
			is.True(s.Failing())
		}
		cancel()
		is.NoErr(<-done)
	})
}

// changingStore is a refusingStore in which the objects under one prefix change all the time.
type changingStore struct{ *refusingStore }

func (s *changingStore) WatchRelaxed(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
	if prefix != "c/" {
		return s.refusingStore.WatchRelaxed(ctx, prefix, after)
	}
	b, err := s.call(ctx, time.Millisecond)
	b.Objects = []vane.Object{{Key: "x/y", Version: after + 1}}
	return b, err
}
