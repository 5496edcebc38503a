package mirror

import (
	"context"
	"log/slog"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Durations used when following the store.
const (
	minRetryDelay        = 100 * time.Millisecond // delay of the retry after the first failed call
	maxRetryDelay        = 500 * time.Millisecond // longest delay of a retry, so that a recovered store is noticed soon
	relaxedRetryDelay    = 2 * time.Second        // value of maxRetryDelay for nodes that follow the store loosely
	sizePause            = 400 * time.Millisecond // pause between the first list and the first watch, within which a node that starts learns how large its site is
	maxProbeWait         = 5 * time.Second        // longest time for which a prefix waits while another one shows whether the store answers
	removalCheckInterval = 200 * time.Millisecond // time between two checks whether delayed removals have become due
	downAfter            = 700 * time.Millisecond // time without any successful call after which the store counts as down
)

// Store is the part of the platform's store that the service uses.
type Store interface {
	List(ctx context.Context, prefix string) (vane.Batch, error)
	Watch(ctx context.Context, prefix string, after uint64) (vane.Batch, error)
	// Poll is like Watch, but does not wait for changes.
	Poll(ctx context.Context, prefix string, after uint64) (vane.Batch, error)
	// WatchRelaxed is like Watch, but may return changes some seconds late, at less
	// cost.
	WatchRelaxed(ctx context.Context, prefix string, after uint64) (vane.Batch, error)
	// WatchUpTo is like Watch, but waits for the given time.
	WatchUpTo(ctx context.Context, prefix string, after uint64, wait time.Duration) (vane.Batch, error)
}

// Service follows the store and keeps a [State]. It is safe for concurrent use.
type Service struct {
	store       Store
	watchPolicy func(prefix string) WatchPolicy
	log         *slog.Logger
	onChange    func(old, v *View)
	onMalformed func()

	mu           sync.Mutex
	state        *State
	failingSince map[string]time.Time // time of the first of the consecutive failed calls, by prefix
	contact      contact
	complete     completeAt    // of the calls that succeeded
	lastAnswer   time.Time     // last answer of the store; zero if there was none
	returned     chan struct{} // closed and replaced when the store is back after an outage
	prober       string        // prefix whose calls show whether the store answers again; empty while calls succeed
	answered     chan struct{} // closed and replaced when a call has succeeded after failures
}

// Option configures a service in [NewService].
type Option func(*Service)

// WithChangeFunc sets a function that is called after each change of the view, one call
// at a time. It is called under the service's lock and must not call its methods.
func WithChangeFunc(f func(old, v *View)) Option { return func(s *Service) { s.onChange = f } }

// WithMalformedFunc sets a function that is called for each object that is found malformed.
// It is called under the service's lock and must not call its methods.
func WithMalformedFunc(f func()) Option { return func(s *Service) { s.onMalformed = f } }

// WatchPolicy says how closely the objects under a prefix are followed. In a large site
// only a few nodes watch the store without delay. The other nodes learn from them that
// something has changed.
type WatchPolicy struct {
	Relaxed     bool          // changes may arrive some seconds late
	Wait        time.Duration // how long a watch waits for a change; zero for the store's default
	BatchWindow time.Duration // changes within about this time arrive in one batch
}

// defaultWatchPolicy suits a node of a small site.
var defaultWatchPolicy = WatchPolicy{BatchWindow: 150 * time.Millisecond}

// WithWatchPolicy sets the function that returns the policy for a prefix.
func WithWatchPolicy(f func(prefix string) WatchPolicy) Option {
	return func(s *Service) { s.watchPolicy = f }
}

// WithEvacuations makes the service follow evacuations of data centres.
func WithEvacuations(d EvacuationDecoder) Option {
	return func(s *Service) { s.state.FollowEvacuations(d) }
}

// WithLogger sets the logger. Without it nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(s *Service) { s.log = l } }

// NewService returns a service that follows st and decodes its objects with dec.
func NewService(st Store, dec Decoder, opts ...Option) *Service {
	s := &Service{
		store: st, state: NewState(dec), log: slog.New(slog.DiscardHandler), onChange: func(_, _ *View) {}, onMalformed: func() {}, watchPolicy: func(string) WatchPolicy { return defaultWatchPolicy },
		failingSince: make(map[string]time.Time), contact: newContact(), complete: make(completeAt), returned: make(chan struct{}), answered: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// View returns the current view, which is immutable. Its times are readings of
// [clock.BootTime], so that they count the time for which the host was suspended.
func (s *Service) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.View()
}

// Versions returns the newest known version of each kind of object.
func (s *Service) Versions() Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Versions()
}

// Reachable reports whether the store has answered and no call has failed since its
// last answer.
func (s *Service) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastAnswer.IsZero() && len(s.failingSince) == 0 && !s.state.storeDown
}

// Failing reports whether a call has failed since the store's last answer. Before the first
// call has ended, the store is neither reachable nor failing.
func (s *Service) Failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.failingSince) > 0 || s.state.storeDown
}

// Export returns the objects that a node with the given versions lacks.
func (s *Service) Export(have Versions) []vane.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Export(have)
}

// Import applies objects received from another node.
func (s *Service) Import(objs []vane.Object) {
	s.mu.Lock()
	until := s.contact.stalledSince(clock.BootTime())
	s.mu.Unlock()
	s.updateSince(until, func(now time.Time) bool { return s.state.Import(now, objs) })
}

// MergeAge is [State.MergeAge] at the present time.
func (s *Service) MergeAge(model string, number uint64, age time.Duration, seen bool) {
	s.update(func(now time.Time) bool { return s.state.MergeAge(now, model, number, age, seen) })
}

// update changes the state under the lock, and calls onChange if the view changed.
func (s *Service) update(f func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.state.View()
	s.state.SetWallOffset(clock.WallOffset())
	if f(clock.BootTime()) {
		s.onChange(old, s.state.View())
	}
	for _, o := range s.state.TakeIgnored() {
		s.log.Info("older object ignored", "key", o.Key, "version", o.Version, "known", o.Known)
	}
	for _, o := range s.state.TakeMalformed() {
		s.log.Warn("malformed object ignored", "key", o.Key, "version", o.Version)
		s.onMalformed()
	}
}

// updateFromStore applies an answer of the store. If calls failed or the process stood
// still before it, the changes count from the time at which the node was last complete.
func (s *Service) updateFromStore(prefix string, f func(now time.Time) bool) {
	s.mu.Lock()
	until := s.contact.completeUntil(clock.BootTime(), prefix)
	s.mu.Unlock()
	s.recordResult(prefix, nil)
	s.updateSince(until, f)
}

// updateSince is update for changes after the time until which the node was complete;
// zero if it was complete until now.
func (s *Service) updateSince(until time.Time, f func(now time.Time) bool) {
	s.update(func(now time.Time) bool {
		s.state.SetCompleteUntil(until)
		defer s.state.SetCompleteUntil(time.Time{})
		return f(now)
	})
}

// Run implements kernel.Service. It is ready at once, because a node can also learn the
// objects from its peers.
func (s *Service) Run(ctx context.Context, ready func()) error {
	var wg sync.WaitGroup
	dec := s.state.dec
	prefixes := []string{dec.ConfigPrefix(), dec.UpstreamPrefix(), dec.WeightsPrefix(), dec.RolloutPrefix(), NodeStatePrefix}
	if e := s.state.evacuated.dec; e != nil {
		prefixes = append(prefixes, e.EvacuationPrefix())
	}
	for _, p := range prefixes {
		wg.Go(func() { s.follow(ctx, p) })
	}
	wg.Go(func() {
		for clock.Sleep(ctx, removalCheckInterval) {
			s.update(func(now time.Time) bool { s.contact.tick(now); return s.state.Tick(now) })
		}
	})
	ready()
	wg.Wait()
	return nil
}

// follow lists the objects under the prefix and watches them until ctx ends.
func (s *Service) follow(ctx context.Context, prefix string) {
	pause := minRetryDelay
	var rev uint64
	for ctx.Err() == nil {
		var err error
		if rev == 0 {
			if rev, err = s.list(ctx, prefix); err == nil && prefix != NodeStatePrefix {
				clock.Sleep(ctx, clock.Jitter(sizePause))
			}
		} else {
			var interrupted bool
			if rev, interrupted, err = s.watch(ctx, prefix, rev); interrupted {
				continue
			}
		}
		if err == nil {
			pause = minRetryDelay // the answer was recorded when it arrived
			continue
		}
		s.recordResult(prefix, err)
		if vane.KindOf(err) == vane.KindCompacted {
			rev, pause = 0, minRetryDelay // the store answers, so it is not called too often
		}
		s.awaitRetry(ctx, prefix, pause)
		pause = min(2*pause, s.retryLimit(prefix))
	}
}

// retryLimit returns the longest delay of a retry.
func (s *Service) retryLimit(prefix string) time.Duration {
	if s.watchPolicy(prefix).Relaxed {
		return relaxedRetryDelay
	}
	return maxRetryDelay
}

// awaitRetry waits until a failed call for the prefix is to be repeated. While the store
// does not answer, only one prefix is tried again after the pause, and the others wait
// until a call succeeds.
func (s *Service) awaitRetry(ctx context.Context, prefix string, pause time.Duration) {
	s.mu.Lock()
	answered, probes := s.answered, s.prober == "" || s.prober == prefix
	s.mu.Unlock()
	if probes {
		clock.Sleep(ctx, clock.Jitter(pause))
		return
	}
	t := time.NewTimer(clock.Jitter(maxProbeWait))
	defer t.Stop()
	select {
	case <-answered:
	case <-t.C:
	case <-ctx.Done():
	}
}

// list reads all objects under the prefix and returns their revision.
func (s *Service) list(ctx context.Context, prefix string) (uint64, error) {
	begun := clock.BootTime()
	b, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	s.log.Info("objects listed", "prefix", prefix, "objects", len(b.Objects), "restores", vane.RestoresOf(b.Revision), "revision", vane.RevisionOf(b.Revision))
	s.updateFromStore(prefix, func(now time.Time) bool { return s.state.Replace(now, prefix, b) })
	s.recordComplete(prefix, begun)
	return b.Revision, nil
}

// watch waits for one batch of changes. It returns the revision from which to continue.
// While calls fail it does not wait, so that the end of an outage is noticed soon. It is
// interrupted then, since a call that was sent during the outage may never be answered.
func (s *Service) watch(ctx context.Context, prefix string, rev uint64) (next uint64, interrupted bool, err error) {
	s.mu.Lock()
	returned := s.returned
	_, failing := s.failingSince[prefix]
	s.mu.Unlock()
	policy := s.watchPolicy(prefix)
	watch := s.store.Watch
	switch {
	case failing:
		watch = s.store.Poll
	case policy.Relaxed:
		watch = s.store.WatchRelaxed
	case policy.Wait > 0:
		watch = func(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
			return s.store.WatchUpTo(ctx, prefix, after, policy.Wait)
		}
	}
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-returned:
			cancel()
		case <-wctx.Done():
		}
	}()
	begun := clock.BootTime()
	b, err := watch(wctx, prefix, rev)
	if err != nil {
		return rev, wctx.Err() != nil && ctx.Err() == nil, err
	}
	s.updateFromStore(prefix, func(now time.Time) bool { return len(b.Objects) > 0 && s.state.Apply(now, b.Objects) })
	s.recordComplete(prefix, begun)
	if len(b.Objects) > 0 && (policy.Relaxed || prefix == s.state.dec.UpstreamPrefix()) {
		clock.Sleep(ctx, clock.Jitter(policy.BatchWindow)) // jitter spreads the load of the nodes on the store
	}
	return max(rev, b.Revision), false, nil
}

// recordResult records whether a call for the prefix succeeded.
func (s *Service) recordResult(prefix string, err error) {
	s.recordResultAt(clock.BootTime(), prefix, err)
}

// recordResultAt is recordResult at a given time.
func (s *Service) recordResultAt(now time.Time, prefix string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.recordResult(now, prefix, err == nil)
	wasDown := s.state.storeDown
	if err == nil || vane.KindOf(err) == vane.KindCompacted {
		// Failures of other prefixes are cleared as well: calls sent during an outage
		// may still fail after its end.
		clear(s.failingSince)
		s.lastAnswer = now
		if s.prober != "" {
			s.prober = ""
			close(s.answered)
			s.answered = make(chan struct{})
		}
		s.state.SetStoreDown(now, false)
	} else {
		if _, ok := s.failingSince[prefix]; !ok {
			s.failingSince[prefix] = now
			s.log.Warn("store call failed", "prefix", prefix, "err", err.Error())
		}
		if s.prober == "" {
			s.prober = prefix
		}
		if now.Sub(s.failingSince[prefix]) > downAfter && now.Sub(s.lastAnswer) > downAfter {
			s.state.SetStoreDown(now, true)
		}
	}
	if down := s.state.storeDown; down != wasDown {
		if !down {
			close(s.returned)
			s.returned = make(chan struct{})
		}
		s.log.Info("store reachable", "reachable", !down, "last_answer_age_ms", now.Sub(s.lastAnswer).Milliseconds())
	}
}
