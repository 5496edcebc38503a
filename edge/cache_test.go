package edge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/site"
)

// countingStore is a cache store that counts the calls it receives.
type countingStore struct {
	vane.EngineControl
	calls atomic.Int64
}

func (s *countingStore) CacheChanges(ctx context.Context, _ string, _ uint64) (vane.CacheChanges, error) {
	s.calls.Add(1)
	select {
	case <-ctx.Done():
	case <-time.After(time.Millisecond):
	}
	return vane.CacheChanges{Epoch: 1, Next: 1}, nil
}

// With 81 nodes, a watch call from each of them overloads the cache store, which then
// rejects most of the calls. A node that may not follow the store must send it nothing
// and must not use it.
func TestFewNodesFollowTheCacheStore(t *testing.T) {
	is := is.New(t)
	st := &countingStore{}
	var mayFollow atomic.Bool
	w := newCacheWatcher(st, slog.New(slog.DiscardHandler), mayFollow.Load)
	w.update(&mirror.View{Config: site.New(1, site.WithServices(vane.Service{Name: "kept", CacheAddr: "store:1"}))})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx, func() {}) }()
	time.Sleep(10 * time.Millisecond)
	is.Equal(st.calls.Load(), int64(0))
	_, up := w.Addr()
	is.True(!up)
	mayFollow.Store(true)
	for end := time.Now().Add(30 * time.Second); !up && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, up = w.Addr()
	}
	is.True(up)
	mayFollow.Store(false)
	for end := time.Now().Add(30 * time.Second); up && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, up = w.Addr()
	}
	is.True(!up)
	cancel()
	is.NoErr(<-done)
}
