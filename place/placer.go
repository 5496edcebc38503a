package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// Shape of the order of preference.
const (
	window      = 8   // upstreams of one step along the ring
	maxSteps    = 4   // steps that a loaded prompt may spread over
	levelGrowth = 2.0 // weight of a level relative to the one above it
	goodWait    = 50 * time.Millisecond
)

// Price of a choice. Computing a prefix again delays not only the request itself
// but all that wait behind it, so that it weighs more than its own duration; and
// each further copy of a prefix takes cache from others.
const (
	workWeight = 8.0
	copyPrice  = 50 * time.Millisecond
)

// Placer places prompts by prefix and load. It is safe for concurrent use.
type Placer struct {
	mu    sync.Mutex
	rings map[ringKey]*ring
	ups   map[string]*upstream
	known *known
	cands []candidate // scratch
	seen  []int32     // scratch
}

var _ vane.Placer = (*Placer)(nil)

// ringKey names a set of upstreams: those of a model, or of one version of it.
type ringKey struct{ model, version string }

// New returns a placer without upstreams.
func New() *Placer {
	return &Placer{rings: make(map[ringKey]*ring), ups: make(map[string]*upstream), known: newKnown()}
}

// candidate is an upstream under comparison.
type candidate struct {
	s      *upstream
	id     uint64
	score  float64
	cached int
	est    time.Duration // to the first token
	price  time.Duration
}

// Update implements vane.Placer. What was learned about an upstream survives as
// long as its incarnation does.
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
		next[u.Name] = p.carry(u)
	}
	p.ups = next
	p.rings = make(map[ringKey]*ring, len(sets))
	for k, list := range sets {
		p.rings[k] = newRing(list)
	}
}

// carry returns the state of u, kept from before if it is the same process.
func (p *Placer) carry(u vane.Upstream) *upstream {
	s, ok := p.ups[u.Name]
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
	if len(p.cands) == 0 {
		return p.lastResort(r, q)
	}
	best, rank := p.cheapest(now, q.Prompt)
	c := p.cands[best]
	return vane.Pick{Upstream: c.s.u, Predicted: c.cached, Estimate: c.est, Rank: rank}, true
}

// start returns where the walk along the ring begins: at the first shared level,
// or at a random place for a prompt that shares nothing.
func (p *Placer) start(now time.Time, q vane.Query) uint64 {
	if q.Prompt.Common > 0 {
		return q.Prompt.Levels[0].Hash
	}
	return mix(uint64(now.UnixNano()), xxhash.Sum64String(q.Model))
}

// collect fills p.cands with the usable upstreams of the prompt's window. The
// window is widened step by step while all in it have to wait.
func (p *Placer) collect(now time.Time, r *ring, q vane.Query) {
	p.cands, p.seen = p.cands[:0], p.seen[:0]
	idle := false
	r.walk(p.start(now, q), p.seen, func(i int32) bool {
		s := p.ups[r.ups[i].Name]
		if s.usable(now) && !slices.Contains(q.Avoid, s.u.Name) {
			c := candidate{s: s, id: life(r.hashes[i], s.u), score: score(r.hashes[i], q.Prompt)}
			p.cands = append(p.cands, c)
			idle = idle || s.wait(now) < goodWait
		}
		full := len(p.cands)%window == 0 && len(p.cands) > 0
		return !full || (!idle && len(p.cands) < window*maxSteps)
	})
}

// score is the prompt's preference for an upstream; higher is better. It is a
// sum of one exponential variate per shared level, so that a change in one
// upstream leaves the order of all others as it was.
func score(nameHash uint64, p vane.Prompt) float64 {
	sum, weight := 0.0, 1.0
	for _, l := range p.Shared() {
		u := (float64(mix(nameHash, l.Hash)>>11) + 0.5) / (1 << 53)
		sum -= weight * math.Log(u)
		weight *= levelGrowth
	}
	return sum
}

// cheapest returns the candidate with the lowest price, and its rank in the order
// of preference.
func (p *Placer) cheapest(now time.Time, prompt vane.Prompt) (best, rank int) {
	slices.SortFunc(p.cands, func(a, b candidate) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	for i := range p.cands {
		c := &p.cands[i]
		c.cached = p.predict(now, c, prompt, i)
		c.estimate(now, prompt, i)
		if c.price < p.cands[best].price {
			best = i
		}
	}
	return best, best
}

// estimate computes the expected time to the first token and the price of the
// candidate of the given rank.
func (c *candidate) estimate(now time.Time, prompt vane.Prompt, rank int) {
	wait := c.s.wait(now)
	work := time.Duration(float64(prompt.Tokens-c.cached) / c.s.prefill * float64(time.Second))
	c.est = wait + work
	c.price = wait + time.Duration(workWeight*float64(work))
	if rank > 0 {
		c.price += copyPrice
	}
}

// predict returns the tokens expected in the candidate's cache: what is known of
// it, and for the first choice the shared prefix, which all routers send there.
func (p *Placer) predict(now time.Time, c *candidate, prompt vane.Prompt, rank int) int {
	if rank == 0 {
		return prompt.SharedTokens()
	}
	tokens, _ := p.known.deepest(now, c.id, prompt, c.s.resident)
	return tokens
}

// lastResort returns the upstream whose ejection ends first, for the case that
// none is usable. It never returns one that is leaving.
func (p *Placer) lastResort(r *ring, q vane.Query) (vane.Pick, bool) {
	var best *upstream
	for _, u := range r.ups {
		s := p.ups[u.Name]
		if s.u.State != vane.UpstreamLive || s.load.Draining || slices.Contains(q.Avoid, u.Name) {
			continue
		}
		if best == nil || s.until.Before(best.until) {
			best = s
		}
	}
	if best == nil {
		return vane.Pick{}, false
	}
	return vane.Pick{Upstream: best.u, Rank: len(r.ups)}, true
}

// with calls f with the state of the picked upstream if its process still lives.
func (p *Placer) with(pick vane.Pick, f func(*upstream)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.ups[pick.Upstream.Name]
	if ok && s.u.Incarnation == pick.Upstream.Incarnation {
		f(s)
	}
}

// Sent implements vane.Placer.
func (p *Placer) Sent(_ time.Time, q vane.Query, pick vane.Pick) {
	p.with(pick, func(s *upstream) {
		s.inflight++
		s.pending++
		s.backlog += float64(q.Prompt.Tokens - pick.Predicted)
	})
}

// First implements vane.Placer.
func (p *Placer) First(_ time.Time, q vane.Query, pick vane.Pick) {
	p.with(pick, func(s *upstream) {
		s.served()
		s.prefilled(q, pick)
	})
}

// Done implements vane.Placer.
func (p *Placer) Done(now time.Time, q vane.Query, pick vane.Pick, o vane.Outcome) {
	p.with(pick, func(s *upstream) {
		s.inflight = max(0, s.inflight-1)
		if o.First == 0 {
			s.prefilled(q, pick)
		}
		if o.Cached < 0 {
			return
		}
		uncached := float64(q.Prompt.Tokens - o.Cached)
		s.typical += smooth * (uncached - s.typical)
		s.sample(uncached, o.First)
		p.learn(now, s, life(xxhash.Sum64String(s.u.Name), s.u), q.Prompt, o.Cached)
	})
}

// learn adjusts the residence time by what was found in the cache and notes the
// prompt's levels as cached.
func (p *Placer) learn(now time.Time, s *upstream, id uint64, prompt vane.Prompt, cached int) {
	tokens, age := p.known.deepest(now, id, prompt, maxResident)
	switch {
	case tokens > 0 && cached < tokens:
		s.resident = max(minResident, min(s.resident, age*4/5))
	case tokens > 0 && age > s.resident:
		s.resident = min(maxResident, age)
	case tokens > 0:
		s.resident = min(maxResident, s.resident+s.resident/50)
	}
	p.known.use(now, id, prompt)
}

// Failed implements vane.Placer.
func (p *Placer) Failed(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.ups[name]; ok {
		s.fail(now)
	}
}

// Report implements vane.Placer.
func (p *Placer) Report(now time.Time, name string, l vane.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.ups[name]
	if !ok {
		return
	}
	l.Draining = l.Draining || s.load.Draining
	s.load, s.loadAt, s.ownAt, s.waitAt = l, now, s.inflight, s.pending
}

// Known returns the tokens of the prompt that are known to be in the cache of the
// upstream in its present life.
func (p *Placer) Known(now time.Time, u vane.Upstream, prompt vane.Prompt) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens, _ := p.known.deepest(now, life(xxhash.Sum64String(u.Name), u), prompt, defaultResident)
	return tokens
}
