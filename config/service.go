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

// Prefix is the prefix of all objects that the watch brings.
const Prefix = "config/"

// Bounds of the watch loop.
const (
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 2 * time.Second
)

// Service holds the configuration in force on this node. Its task watches the
// platform; other tasks may offer revisions that they got from peers. A
// revision that is not higher than the one in force is ignored, so that neither
// a stale read nor a late message can take a change back.
type Service struct {
	st    vane.Store
	rec   vane.Recorder
	cur   atomic.Pointer[View]
	heard atomic.Int64 // monotonic nanoseconds of the platform's last answer
	start time.Time

	mu       sync.Mutex
	value    []byte // of the revision in force
	onChange []func(*View)
	onObject []func(vane.Object)
}

// NewService returns a service that reads from st.
func NewService(st vane.Store, rec vane.Recorder) *Service {
	s := &Service{st: st, rec: rec, start: time.Now()}
	s.cur.Store(NewView(&Fleet{}, 0))
	s.heard.Store(-1)
	return s
}

// Encoded returns the revision in force and the form in which the platform keeps
// it, for passing on to peers.
func (s *Service) Encoded() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cur.Load().Revision, s.value
}

// Current returns the view in force. Its revision is zero before the first
// configuration arrived.
func (s *Service) Current() *View { return s.cur.Load() }

// Confirmed returns when the platform last answered a watch or a list, and false
// if it never did. The revision in force was the newest one then.
func (s *Service) Confirmed() (time.Time, bool) {
	h := s.heard.Load()
	return s.start.Add(time.Duration(h)), h >= 0
}

// OnChange registers f to be called after each change. Register before Run.
func (s *Service) OnChange(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// OnObject registers f to be called with each other object below the prefix.
// Register before Run.
func (s *Service) OnObject(f func(vane.Object)) { s.onObject = append(s.onObject, f) }

// ApplyIfNewer puts a configuration in force if its revision is higher than the
// current one. It says whether it did.
func (s *Service) ApplyIfNewer(rev uint64, value []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev <= s.cur.Load().Revision {
		return false, nil
	}
	f, err := DecodeFleet(value)
	if err != nil {
		return false, err
	}
	v := NewView(f, rev)
	s.cur.Store(v)
	s.value = value
	s.rec.Record(vane.Event{What: vane.EventConfigInForce, Subject: FleetKey, Have: float64(rev)})
	for _, fn := range s.onChange {
		fn(v)
	}
	return true, nil
}

// Run watches the platform until ctx ends. It is ready at once: a node that
// starts while the platform is down takes its configuration from peers.
func (s *Service) Run(ctx context.Context, ready func()) error {
	ready()
	after, listed := uint64(0), false
	wait := watchRetryMin
	for ctx.Err() == nil {
		b, err := s.next(ctx, after, listed)
		if err != nil {
			listed = listed && vane.KindOf(err) != vane.KindCompacted
			clock.Sleep(ctx, clock.Jitter(wait))
			wait = min(2*wait, watchRetryMax)
			continue
		}
		wait = watchRetryMin
		listed, after = true, max(after, b.Revision)
		s.take(b)
		s.heard.Store(int64(time.Since(s.start)))
	}
	return nil
}

// next lists first and watches afterwards.
func (s *Service) next(ctx context.Context, after uint64, listed bool) (vane.Batch, error) {
	if !listed {
		return s.st.List(ctx, Prefix)
	}
	return s.st.Watch(ctx, Prefix, after)
}

// take puts the newest configuration of a batch in force.
func (s *Service) take(b vane.Batch) {
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
			klog.ErrorS(err, "configuration ignored", "revision", o.Version)
		}
	}
}
