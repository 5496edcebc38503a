package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// KeyPrefix is the prefix of the keys of all objects that the service watches.
const KeyPrefix = "config/"

// Bounds of the delay after a failed call in the watch loop. The delay doubles with
// each failure.
const (
	minWatchRetry = 100 * time.Millisecond
	maxWatchRetry = 2 * time.Second
)

// Service holds the configuration in force on this node. Run watches the platform;
// revisions received from peers are passed to ApplyIfNewer. A revision that is not
// higher than the one in force is ignored, so that neither a stale read nor a late
// message can revert a change. It is safe for concurrent use.
type Service struct {
	store      vane.Store
	rec        vane.Recorder
	current    atomic.Pointer[View]
	lastAnswer atomic.Int64 // time of the platform's latest answer, in nanoseconds since start; -1 if there was none
	start      time.Time    // when the service was created

	mu       sync.Mutex
	encoded  []byte // the revision in force in encoded form
	onChange []func(*View)
	onObject []func(vane.Object)
}

// NewService returns a service that reads the configuration from st and records
// events to rec.
func NewService(st vane.Store, rec vane.Recorder) *Service {
	s := &Service{store: st, rec: rec, start: time.Now()}
	s.current.Store(NewView(&Fleet{}, 0))
	s.lastAnswer.Store(-1)
	return s
}

// Encoded returns the number of the revision in force and its encoded form, for
// passing on to peers.
func (s *Service) Encoded() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Load().Revision, s.encoded
}

// Current returns the configuration in force. Its revision is zero, and it is empty,
// before the first configuration has arrived.
func (s *Service) Current() *View { return s.current.Load() }

// LastConfirmed returns when the platform last answered a watch or list call, and
// false if it never did. At that time the revision in force was the newest one.
func (s *Service) LastConfirmed() (time.Time, bool) {
	ns := s.lastAnswer.Load()
	return s.start.Add(time.Duration(ns)), ns >= 0
}

// OnChange registers f to be called after each change, with the service locked: f
// must not call Encoded, OnChange or ApplyIfNewer. Call OnChange before Run.
func (s *Service) OnChange(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// OnObject registers f to be called with each watched object other than the
// configuration itself. Call it before Run.
func (s *Service) OnObject(f func(vane.Object)) { s.onObject = append(s.onObject, f) }

// ApplyIfNewer puts an encoded configuration in force if its revision is higher
// than the current one, and reports whether it did. It returns an error of kind
// invalid if value can't be decoded.
func (s *Service) ApplyIfNewer(rev uint64, value []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev <= s.current.Load().Revision {
		return false, nil
	}
	f, err := DecodeFleet(value)
	if err != nil {
		return false, err
	}
	v := NewView(f, rev)
	s.current.Store(v)
	s.encoded = value
	s.rec.Record(vane.Event{Kind: vane.EventConfigInForce, Subject: FleetKey, Observed: float64(rev)})
	for _, fn := range s.onChange {
		fn(v)
	}
	return true, nil
}

// Run watches the platform until ctx ends. It is ready at once, since a node that
// starts while the platform is down gets its configuration from peers.
func (s *Service) Run(ctx context.Context, ready func()) error {
	ready()
	after, listed := uint64(0), false
	wait := minWatchRetry
	for ctx.Err() == nil {
		b, err := s.listOrWatch(ctx, after, listed)
		if err != nil {
			listed = listed && vane.KindOf(err) != vane.KindCompacted
			clock.Sleep(ctx, clock.Jitter(wait))
			wait = min(2*wait, maxWatchRetry)
			continue
		}
		wait = minWatchRetry
		listed, after = true, max(after, b.Revision)
		s.applyBatch(b)
		s.lastAnswer.Store(int64(time.Since(s.start)))
	}
	return nil
}

// listOrWatch lists all objects, or waits for changes once they have been listed.
func (s *Service) listOrWatch(ctx context.Context, after uint64, listed bool) (vane.Batch, error) {
	if !listed {
		return s.store.List(ctx, KeyPrefix)
	}
	return s.store.Watch(ctx, KeyPrefix, after)
}

// applyBatch puts the configurations of a batch in force and passes other objects to
// the OnObject functions. Deletions of the configuration are ignored.
func (s *Service) applyBatch(b vane.Batch) {
	for _, o := range b.Objects {
		if o.Key != FleetKey {
			for _, f := range s.onObject {
				f(o)
			}
			continue
		}
		if o.Deleted {
			continue
		}
		if _, err := s.ApplyIfNewer(o.Version, o.Value); err != nil {
			klog.ErrorS(err, "invalid configuration from the platform ignored", "revision", o.Version)
		}
	}
}
