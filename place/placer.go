package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// Parameters of the order of preference.
const (
	windowSize    = 8                     // number of upstreams by which the window grows at a time
	maxWindows    = 4                     // multiple of windowSize up to which the window grows under load
	levelGrowth   = 2.0                   // weight of a level relative to the one above it
	idleThreshold = 50 * time.Millisecond // waiting time below which an upstream counts as idle
)

// Parameters of the cost. The computation of a prefix delays not only the request itself
// but also those queued behind it, so that it weighs more than its own duration. Each
// further copy of a prefix takes cache memory from other prefixes.
const (
	prefillWeight = 8.0                   // cost of the computation relative to its duration
	copyCost      = 50 * time.Millisecond // cost of a further copy of a prefix, expressed as waiting time
)

// Placer places prompts by cached prefix and load. It is safe for concurrent use.
type Placer struct {
	mu         sync.Mutex
	rings      map[ringKey]*ring
	upstreams  map[string]*upstream // upstreams by name
	cached     *cacheIndex          // levels that each upstream has cached
	candidates []candidate          // candidates of the current pick; kept to reuse its memory
	seen       []int32              // scratch space for ring.walk
}

var _ vane.Placer = (*Placer)(nil)

// ringKey identifies a set of upstreams: those of a model, or those of one version of it.
// An empty version stands for all versions.
type ringKey struct{ model, version string }

// New returns a placer without upstreams.
func New() *Placer {
	return &Placer{rings: make(map[ringKey]*ring), upstreams: make(map[string]*upstream), cached: newCacheIndex()}
}

// candidate is an upstream under comparison.
type candidate struct {
	s      *upstream
	id     uint64        // result of upstreamHash for the upstream process
	score  float64       // preference of the prompt for the upstream
	cached int           // prompt tokens expected in the cache
	est    time.Duration // estimated time to the first token
	cost   time.Duration // cost, expressed as waiting time; lower is better
}

// Update implements vane.Placer. What was learned about an upstream is kept as long as
// its incarnation and its address stay the same.
func (p *Placer) Update(_ time.Time, ups []vane.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sets := make(map[ringKey][]vane.Upstream)
	next := make(map[string]*upstream, len(ups))
	for _, u := range ups {
		if u.Role != vane.RoleEngine {
			continue
		}
		for _, k := range []ringKey{{u.Model, ""}, {u.Model, u.Version}} {
			sets[k] = append(sets[k], u)
		}
		next[u.Name] = p.stateOf(u)
	}
	p.upstreams = next
	p.rings = make(map[ringKey]*ring, len(sets))
	for k, list := range sets {
		p.rings[k] = newRing(list)
	}
}

// stateOf returns the state of u: the existing one if it belongs to the same process,
// else a new one. The caller must hold p.mu.
func (p *Placer) stateOf(u vane.Upstream) *upstream {
	s, ok := p.upstreams[u.Name]
	if !ok || s.u.Incarnation != u.Incarnation || s.u.Addr != u.Addr {
		return newUpstream(u)
	}
	s.u = u
	return s
}

// Pick implements vane.Placer.
func (p *Placer) Pick(now time.Time, q vane.Query) (vane.Pick, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rings[ringKey{q.Model, q.Version}]
	if r == nil {
		return vane.Pick{}, false
	}
	p.collect(now, r, q)
	if len(p.candidates) == 0 {
		return p.lastResort(r, q)
	}
	best, rank := p.cheapest(now, q.Prompt)
	c := p.candidates[best]
	return vane.Pick{Upstream: c.s.u, ExpectedCached: c.cached, Estimate: c.est, Rank: rank}, true
}

// start returns the ring position at which the prompt's window begins: the hash of the
// first level, or a hash of the current time for a prompt without shared levels.
func (p *Placer) start(now time.Time, q vane.Query) uint64 {
	if q.Prompt.SharedLevels > 0 {
		return q.Prompt.Levels[0].Hash
	}
	return mix(uint64(now.UnixNano()), xxhash.Sum64String(q.Model))
}

// collect sets p.candidates to the usable upstreams of the prompt's window. The window
// grows by windowSize as long as no upstream in it is idle, up to its maximum.
func (p *Placer) collect(now time.Time, r *ring, q vane.Query) {
	p.candidates, p.seen = p.candidates[:0], p.seen[:0]
	idle := false
	r.walk(p.start(now, q), p.seen, func(i int32) bool {
		s := p.upstreams[r.upstreams[i].Name]
		if s.usable(now) && !slices.Contains(q.Exclude, s.u.Name) {
			c := candidate{s: s, id: upstreamHash(r.hashes[i], s.u), score: score(r.hashes[i], q.Prompt)}
			p.candidates = append(p.candidates, c)
			idle = idle || s.wait(now) < idleThreshold
		}
		full := len(p.candidates)%windowSize == 0 && len(p.candidates) > 0
		return !full || (!idle && len(p.candidates) < windowSize*maxWindows)
	})
}

// score returns the prompt's preference for an upstream; higher is better. It is a
// weighted sum of one exponential variate per shared level, each derived from the hashes
// of the upstream's name and the level. It depends on no other upstream, so that the
// order of the others stays the same when one joins or leaves.
func score(nameHash uint64, p vane.Prompt) float64 {
	sum, weight := 0.0, 1.0
	for _, l := range p.Shared() {
		u := (float64(mix(nameHash, l.Hash)>>11) + 0.5) / (1 << 53)
		sum -= weight * math.Log(u)
		weight *= levelGrowth
	}
	return sum
}

// cheapest returns the index of the candidate with the lowest cost and its rank in the
// order of preference. It sorts the candidates in that order, so that the index equals
// the rank.
func (p *Placer) cheapest(now time.Time, prompt vane.Prompt) (best, rank int) {
	slices.SortFunc(p.candidates, func(a, b candidate) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	for i := range p.candidates {
		c := &p.candidates[i]
		c.cached = p.predict(now, c, prompt, i)
		c.estimate(now, prompt, i)
		if c.cost < p.candidates[best].cost {
			best = i
		}
	}
	return best, best
}

// estimate computes the expected time to the first token and the cost of the candidate
// of the given rank.
func (c *candidate) estimate(now time.Time, prompt vane.Prompt, rank int) {
	wait := c.s.wait(now)
	work := time.Duration(float64(prompt.Tokens-c.cached) / c.s.prefillRate * float64(time.Second))
	c.est = wait + work
	c.cost = wait + time.Duration(prefillWeight*float64(work))
	if rank > 0 {
		c.cost += copyCost
	}
}

// predict returns the number of prompt tokens that are expected in the candidate's cache.
// For the first choice (rank 0) these are the tokens of the shared levels, because all
// routers send them there. For other candidates they are the tokens that are recorded as
// cached.
func (p *Placer) predict(now time.Time, c *candidate, prompt vane.Prompt, rank int) int {
	if rank == 0 {
		return prompt.SharedTokens()
	}
	tokens, _ := p.cached.deepest(now, c.id, prompt, c.s.residence)
	return tokens
}

// lastResort returns the upstream whose ejection ends first, for the case that none is
// usable. It never returns one that is leaving or draining.
func (p *Placer) lastResort(r *ring, q vane.Query) (vane.Pick, bool) {
	var best *upstream
	for _, u := range r.upstreams {
		s := p.upstreams[u.Name]
		if s.u.State != vane.UpstreamLive || s.load.Draining || slices.Contains(q.Exclude, u.Name) {
			continue
		}
		if best == nil || s.ejectedUntil.Before(best.ejectedUntil) {
			best = s
		}
	}
	if best == nil {
		return vane.Pick{}, false
	}
	return vane.Pick{Upstream: best.u, Rank: len(r.upstreams)}, true
}

// withUpstream calls f with the state of the picked upstream, under the lock. It does
// nothing if the upstream is gone or was restarted since.
func (p *Placer) withUpstream(pick vane.Pick, f func(*upstream)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.upstreams[pick.Upstream.Name]
	if ok && s.u.Incarnation == pick.Upstream.Incarnation {
		f(s)
	}
}

// RecordSent implements vane.Placer.
func (p *Placer) RecordSent(_ time.Time, q vane.Query, pick vane.Pick) {
	p.withUpstream(pick, func(s *upstream) {
		s.inFlight++
		s.pending++
		s.backlog += float64(q.Prompt.Tokens - pick.ExpectedCached)
	})
}

// RecordFirstToken implements vane.Placer.
func (p *Placer) RecordFirstToken(_ time.Time, q vane.Query, pick vane.Pick) {
	p.withUpstream(pick, func(s *upstream) {
		s.succeed()
		s.endPrefill(q, pick)
	})
}

// RecordDone implements vane.Placer.
func (p *Placer) RecordDone(now time.Time, q vane.Query, pick vane.Pick, o vane.Outcome) {
	p.withUpstream(pick, func(s *upstream) {
		s.inFlight = max(0, s.inFlight-1)
		if o.TimeToFirstToken == 0 {
			s.endPrefill(q, pick)
		}
		if o.CachedTokens < 0 {
			return
		}
		uncached := float64(q.Prompt.Tokens - o.CachedTokens)
		s.meanUncached += smoothing * (uncached - s.meanUncached)
		s.sample(uncached, o.TimeToFirstToken)
		p.learn(now, s, upstreamHash(xxhash.Sum64String(s.u.Name), s.u), q.Prompt, o.CachedTokens)
	})
}

// learn records the prompt's levels as cached and adjusts the upstream's residence time
// by the number of tokens that were found in the cache. The time decreases if a recorded
// level was no longer cached. It increases if a level was still cached that was older
// than the residence time, and a little with each other hit.
func (p *Placer) learn(now time.Time, s *upstream, id uint64, prompt vane.Prompt, cached int) {
	tokens, age := p.cached.deepest(now, id, prompt, maxResidence)
	switch {
	case tokens > 0 && cached < tokens:
		s.residence = max(minResidence, min(s.residence, age*4/5))
	case tokens > 0 && age > s.residence:
		s.residence = min(maxResidence, age)
	case tokens > 0:
		s.residence = min(maxResidence, s.residence+s.residence/50)
	}
	p.cached.record(now, id, prompt)
}

// RecordFailure implements vane.Placer.
func (p *Placer) RecordFailure(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.upstreams[name]; ok {
		s.fail(now)
	}
}

// RecordLoad implements vane.Placer. Once an upstream has reported that it is draining,
// later reports can't take that back.
func (p *Placer) RecordLoad(now time.Time, name string, l vane.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.upstreams[name]
	if !ok {
		return
	}
	l.Draining = l.Draining || s.load.Draining
	s.load, s.loadAt, s.inFlightAtLoad, s.pendingAtLoad = l, now, s.inFlight, s.pending
}

// CachedTokens returns the number of leading prompt tokens that are recorded as cached
// by the upstream's present process and weights within the default residence time.
func (p *Placer) CachedTokens(now time.Time, u vane.Upstream, prompt vane.Prompt) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens, _ := p.cached.deepest(now, upstreamHash(xxhash.Sum64String(u.Name), u), prompt, defaultResidence)
	return tokens
}
