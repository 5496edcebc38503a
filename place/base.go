package place

import (
	"slices"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// baseline is the common part of the baselines: the engines of each model and the
// requests of this router in flight. It ignores failures.
type baseline struct {
	mu       sync.Mutex
	byModel  map[string][]vane.Upstream // engines by model
	rings    map[string]*ring           // rings by model
	inFlight map[string]int             // number of requests of this router in flight, by upstream
	draining map[string]bool            // upstreams that have reported that they are draining
}

// newBaseline returns a baseline without upstreams.
func newBaseline() baseline {
	return baseline{inFlight: make(map[string]int), draining: make(map[string]bool)}
}

// Update implements vane.Placer.
func (s *baseline) Update(_ time.Time, ups []vane.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byModel = make(map[string][]vane.Upstream)
	s.rings = make(map[string]*ring)
	for _, u := range ups {
		if u.Role == vane.RoleEngine {
			s.byModel[u.Model] = append(s.byModel[u.Model], u)
		}
	}
	for m, list := range s.byModel {
		s.rings[m] = newRing(list)
	}
}

// usable returns the upstreams that may be chosen for the query. The caller must hold
// s.mu.
func (s *baseline) usable(q vane.Query) []vane.Upstream {
	var out []vane.Upstream
	for _, u := range s.byModel[q.Model] {
		if u.State == vane.UpstreamLive && (q.Version == "" || u.Version == q.Version) && !s.draining[u.Name] && !slices.Contains(q.Exclude, u.Name) {
			out = append(out, u)
		}
	}
	return out
}

// RecordSent implements vane.Placer.
func (s *baseline) RecordSent(_ time.Time, _ vane.Query, p vane.Pick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[p.Upstream.Name]++
}

// RecordFirstToken implements vane.Placer.
func (s *baseline) RecordFirstToken(time.Time, vane.Query, vane.Pick) {}

// RecordDone implements vane.Placer.
func (s *baseline) RecordDone(_ time.Time, _ vane.Query, p vane.Pick, _ vane.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[p.Upstream.Name]--
}

// RecordFailure implements vane.Placer.
func (s *baseline) RecordFailure(time.Time, string) {}

// RecordLoad implements vane.Placer.
func (s *baseline) RecordLoad(_ time.Time, name string, l vane.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Draining {
		s.draining[name] = true
	}
}

// RoundRobin is a baseline that takes upstreams in turn. It is safe for concurrent use,
// as all baselines are.
type RoundRobin struct {
	baseline
	next int // number of picks so far
}

// NewRoundRobin returns a RoundRobin without upstreams.
func NewRoundRobin() *RoundRobin { return &RoundRobin{baseline: newBaseline()} }

// Pick implements vane.Placer.
func (r *RoundRobin) Pick(_ time.Time, q vane.Query) (vane.Pick, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ups := r.usable(q)
	if len(ups) == 0 {
		return vane.Pick{}, false
	}
	r.next++
	return vane.Pick{Upstream: ups[r.next%len(ups)]}, true
}

// LeastLoaded is a baseline that takes the upstream with the fewest requests of this
// router in flight.
type LeastLoaded struct {
	baseline
	next int // number of picks so far
}

// NewLeastLoaded returns a LeastLoaded without upstreams.
func NewLeastLoaded() *LeastLoaded { return &LeastLoaded{baseline: newBaseline()} }

// Pick implements vane.Placer. Upstreams with equal load are taken in turn.
func (l *LeastLoaded) Pick(_ time.Time, q vane.Query) (vane.Pick, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ups := l.usable(q)
	if len(ups) == 0 {
		return vane.Pick{}, false
	}
	l.next++
	best := l.next % len(ups)
	for i := range ups {
		j := (l.next + i) % len(ups)
		if l.inFlight[ups[j].Name] < l.inFlight[ups[best].Name] {
			best = j
		}
	}
	return vane.Pick{Upstream: ups[best]}, true
}

// ConsistentHash is a baseline that hashes the deepest shared level of a prompt onto a
// ring, without regard to load. For a prompt without shared levels, the current time is
// the position on the ring.
type ConsistentHash struct{ baseline }

// NewConsistentHash returns a ConsistentHash without upstreams.
func NewConsistentHash() *ConsistentHash { return &ConsistentHash{baseline: newBaseline()} }

// Pick implements vane.Placer.
func (h *ConsistentHash) Pick(now time.Time, q vane.Query) (vane.Pick, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.rings[q.Model]
	if r == nil {
		return vane.Pick{}, false
	}
	key := uint64(now.UnixNano())
	if shared := q.Prompt.Shared(); len(shared) > 0 {
		key = shared[len(shared)-1].Hash
	}
	var pick vane.Pick
	found := false
	r.walk(key, nil, func(i int32) bool {
		u := r.upstreams[i]
		if u.State == vane.UpstreamLive && (q.Version == "" || u.Version == q.Version) && !h.draining[u.Name] && !slices.Contains(q.Exclude, u.Name) {
			pick, found = vane.Pick{Upstream: u}, true
		}
		return !found
	})
	return pick, found
}
