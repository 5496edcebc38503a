package mirror

import (
	"context"
	"log/slog"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Bounds of following the store.
const (
	retryMin   = 100 * time.Millisecond // after a first failure
	retryMax   = 500 * time.Millisecond // a recovered store is noticed within it
	heldPeriod = 200 * time.Millisecond // between looks at removals that wait
	silentTime = 700 * time.Millisecond // failures for so long mean that the store is away
)

// Store is the platform's store as the service uses it.
type Store interface {
	List(ctx context.Context, prefix string) (vane.Batch, error)
	Watch(ctx context.Context, prefix string, after uint64) (vane.Batch, error)
	// WatchRelaxed may return changes that are some seconds late, at less cost.
	WatchRelaxed(ctx context.Context, prefix string, after uint64) (vane.Batch, error)
}

// Service follows the store and keeps a [State].
type Service struct {
	st       Store
	pace     func(prefix string) WatchPolicy
	log      *slog.Logger
	onChange func(old, v *View)

	mu       sync.Mutex
	state    *State
	failing  map[string]time.Time // by prefix, since when
	answered time.Time            // last answer of the store
}

// Option changes a service under construction.
type Option func(*Service)

// WithChangeFunc calls f after each change of the view, one call at a time.
func WithChangeFunc(f func(old, v *View)) Option { return func(s *Service) { s.onChange = f } }

// WatchPolicy says how closely the objects under a prefix are followed. In a large site a
// few nodes follow the store promptly, and the others learn from them that they are
// behind.
type WatchPolicy struct {
	Relaxed     bool          // changes may come some seconds late
	BatchWindow time.Duration // changes of upstreams within it come in one batch
}

// defaultPace is that of a node in a small site.
var defaultPace = WatchPolicy{BatchWindow: 150 * time.Millisecond}

// WithWatchPolicy sets a function that says how closely objects are followed.
func WithWatchPolicy(f func(prefix string) WatchPolicy) Option {
	return func(s *Service) { s.pace = f }
}

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option { return func(s *Service) { s.log = l } }

// NewService returns a service that follows st.
func NewService(st Store, dec Decoder, opts ...Option) *Service {
	s := &Service{
		st: st, state: NewState(dec), log: slog.New(slog.DiscardHandler), onChange: func(_, _ *View) {}, pace: func(string) WatchPolicy { return defaultPace },
		failing: make(map[string]time.Time),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// View returns the current view.
func (s *Service) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.View()
}

// Versions returns the newest versions known.
func (s *Service) Versions() Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Versions()
}

// Reachable says whether the store has answered lately.
func (s *Service) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.answered.IsZero() && len(s.failing) == 0 && !s.state.away
}

// Export returns what a node with the marks does not know.
func (s *Service) Export(have Versions) []vane.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Export(have)
}

// Import takes the objects of another node.
func (s *Service) Import(objs []vane.Object) {
	s.update(func(now time.Time) bool { return s.state.Apply(now, objs) })
}

// update changes the state under the lock and reports a new view.
func (s *Service) update(f func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.View()
	if f(time.Now()) {
		s.onChange(old, s.state.View())
	}
}

// Run implements kernel.Service. It is ready at once: a node can also learn the
// objects from its peers.
func (s *Service) Run(ctx context.Context, ready func()) error {
	var wg sync.WaitGroup
	dec := s.state.dec
	for _, p := range []string{dec.ConfigPrefix(), dec.UpstreamPrefix(), dec.WeightsPrefix(), NodeStatePrefix} {
		wg.Go(func() { s.follow(ctx, p) })
	}
	wg.Go(func() {
		for clock.Sleep(ctx, heldPeriod) {
			s.update(s.state.Tick)
		}
	})
	ready()
	wg.Wait()
	return nil
}

// follow lists the objects under the prefix and watches them until ctx ends.
func (s *Service) follow(ctx context.Context, prefix string) {
	pause := retryMin
	var rev uint64
	for ctx.Err() == nil {
		var err error
		if rev == 0 {
			rev, err = s.list(ctx, prefix)
		} else {
			rev, err = s.watch(ctx, prefix, rev)
		}
		s.note(prefix, err)
		if err == nil {
			pause = retryMin
			continue
		}
		if vane.KindOf(err) == vane.KindCompacted {
			rev = 0
		}
		clock.Sleep(ctx, clock.Jitter(pause))
		pause = min(2*pause, retryMax)
	}
}

// list reads all objects under the prefix.
func (s *Service) list(ctx context.Context, prefix string) (uint64, error) {
	b, err := s.st.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	s.note(prefix, nil)
	s.update(func(now time.Time) bool { return s.state.Replace(now, prefix, b) })
	return b.Revision, nil
}

// watch waits for one batch of changes. It returns the revision to go on from.
func (s *Service) watch(ctx context.Context, prefix string, rev uint64) (uint64, error) {
	watch, pace := s.st.Watch, s.pace(prefix)
	if pace.Relaxed {
		watch = s.st.WatchRelaxed
	}
	b, err := watch(ctx, prefix, rev)
	if err != nil {
		return rev, err
	}
	s.note(prefix, nil)
	if len(b.Objects) > 0 {
		s.update(func(now time.Time) bool { return s.state.Apply(now, b.Objects) })
		if prefix == s.state.dec.UpstreamPrefix() {
			clock.Sleep(ctx, clock.Jitter(pace.BatchWindow)) // nodes do not all rest at once
		}
	}
	return max(rev, b.Revision), nil
}

// note keeps account of whether the store answers.
func (s *Service) note(prefix string, err error) { s.noteAt(time.Now(), prefix, err) }

// noteAt is note at a given time.
func (s *Service) noteAt(now time.Time, prefix string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.state.away
	if err == nil || vane.KindOf(err) == vane.KindCompacted {
		// Calls that were sent during an outage may still fail after its end.
		clear(s.failing)
		s.answered = now
		s.state.SetStoreDown(now, false)
	} else {
		if _, ok := s.failing[prefix]; !ok {
			s.failing[prefix] = now
			s.log.Warn("store call failed", "prefix", prefix, "err", err.Error())
		}
		if now.Sub(s.failing[prefix]) > silentTime && now.Sub(s.answered) > silentTime {
			s.state.SetStoreDown(now, true)
		}
	}
	if is := s.state.away; is != was {
		s.log.Info("store reachable", "reachable", !is, "last_answer_age_ms", now.Sub(s.answered).Milliseconds())
	}
}
