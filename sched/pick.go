package sched

import (
	"slices"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Query asks for an upstream.
type Query struct {
	ID        string // of the request
	Service   string
	Model     string
	Wall      string // workspace if it shares no cache with others, else empty
	Parts     []vane.Part
	Prompt    int // tokens
	Bytes     int // of the request
	Objective time.Duration
	Avoid     []string // upstreams that are not to be chosen
}

// Shared returns the parts that other requests can have in common with q.
func (q Query) Shared() []vane.Part {
	if len(q.Parts) < 2 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// Pick is a chosen upstream.
type Pick struct {
	Upstream vane.Upstream
	Weights  uint64 // that it is believed to serve; zero for plain services
	Salt     string
	Fetch    string // address of a cache that holds shared parts; empty for none
	Save     string // address of the cache store, if the parts are to be saved
	Price    float64
	Estimate time.Duration
	LoadAge  time.Duration // age of the upstream's own word on its load
	Missing  int           // tokens expected to be computed
	Shared   int           // tokens that other requests may have in common
	Stored   int           // of these, tokens that the cache store holds
	Copies   int           // engines that are believed to hold all shared parts
	Held     bool          // the chosen one is among them

	moves bool // shared parts will be moved from the cache store
}

// Pick chooses an upstream. It returns false if none can take the request now.
func (p *Placer) Pick(now time.Time, q Query) (Pick, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.Objective <= 0 {
		q.Objective = defaultTarget
	}
	named := p.view.Weights[q.Model]
	where := p.holders(now, q)
	spare := p.spared(now, q, named)
	var best Pick
	found := false
	for _, u := range p.bySvc[q.Service] {
		if slices.Contains(q.Avoid, u.Name) || !u.usable(now) || p.outdated(now, u, named) || spare && u.Weights == named.Number {
			continue
		}
		c := p.price(now, q, u, named, where[u.Weights])
		if !found || c.Price < best.Price {
			best, found = c, true
		}
	}
	return best, found
}

// outdated says whether an engine must not get requests any more because of its
// weights. A request may wait at the engine before it begins.
func (p *Placer) outdated(now time.Time, u *upstream, named mirror.Weights) bool {
	return u.Role == vane.RoleEngine && named.Replaced(now, u.Weights) > p.limit-StartMargin
}

// spared says whether a request is not for the engines with the newest weights, of
// which there are too few for all requests. All nodes see the same engines and would
// overrun them before any sees the load of the others, so that each node sends them
// only its part of what they can compute.
func (p *Placer) spared(now time.Time, q Query, named mirror.Weights) bool {
	newest, older := 0, 0
	for _, u := range p.bySvc[q.Service] {
		switch {
		case u.Role != vane.RoleEngine || !u.usable(now) || slices.Contains(q.Avoid, u.Name):
		case u.Weights >= named.Number:
			newest++
		case !p.outdated(now, u, named):
			older++
		}
	}
	if newest == 0 || older == 0 || q.Prompt == 0 {
		return false
	}
	allowed := newShare * float64(newest) * prefillPerMS / (p.demand.perMS(now) * p.store.nodes)
	return affinity(q.ID, "newest weights") > allowed
}

// holders is where the shared parts of a prompt are, among the engines of one
// number of weights.
type holders struct {
	home   *upstream   // that all nodes prefer for parts that nobody holds
	best   float64     // affinity of home
	copies []*upstream // that are believed to hold all shared parts
}

// source returns an engine other than u to fetch from, of the data centre dc if
// there is one.
func (h *holders) source(u *upstream, now time.Time) *upstream {
	var out *upstream
	for _, c := range h.copies {
		if c != u && !now.Before(c.asideUntil) && (out == nil || c.DataCentre == u.DataCentre) {
			out = c
		}
	}
	return out
}

// holders looks for the shared parts of a prompt.
func (p *Placer) holders(now time.Time, q Query) map[uint64]*holders {
	shared := q.Shared()
	if len(shared) == 0 {
		return nil
	}
	part := shared[len(shared)-1].ID
	out := make(map[uint64]*holders)
	keys := make(map[uint64][]uint64)
	for _, u := range p.bySvc[q.Service] {
		if u.Role != vane.RoleEngine {
			continue
		}
		h, ok := out[u.Weights]
		if !ok {
			h = &holders{}
			out[u.Weights] = h
			keys[u.Weights] = partKeys(salt(q, u.Weights), shared)
		}
		if u.parts.hasAll(keys[u.Weights]) {
			h.copies = append(h.copies, u)
		}
		if a := affinity(part, u.Name); u.usable(now) && (h.home == nil || a < h.best) {
			h.home, h.best = u, a
		}
	}
	return out
}

// salt returns the name under which an engine caches the prompt's parts: requests
// share them only within the same wall and for the same weights.
func salt(q Query, weights uint64) string {
	return q.Wall + "|" + q.Model + "|" + strconv.FormatUint(weights, 10)
}

// price returns what sending the request to u would cost.
func (p *Placer) price(now time.Time, q Query, u *upstream, named mirror.Weights, h *holders) Pick {
	c := Pick{Upstream: u.Upstream, Weights: u.Weights, LoadAge: now.Sub(u.loadAt)}
	price := 0.0
	if u.DataCentre != p.dc {
		price += farShare * float64(q.Bytes)
	}
	ms := u.queueMS(p.inFlight(u.Name))
	if u.Role == vane.RoleEngine {
		if named.Replaced(now, u.Weights) > oldGrace {
			price += oldShare
		}
		c.Salt = salt(q, u.Weights)
		ms += engineMS + p.prompt(now, q, u, &c, &price, h)
	}
	if u.doubted(now) {
		price += unknownShare
	}
	x := ms / float64(q.Objective.Milliseconds())
	price += lateShare*lateRisk(x) + delayShare*x
	c.Price, c.Estimate = price, time.Duration(ms*float64(time.Millisecond))
	return c
}

// prompt adds what the prompt costs at u to price and returns the milliseconds
// until it is computed. h is where its shared parts are.
func (p *Placer) prompt(now time.Time, q Query, u *upstream, c *Pick, price *float64, h *holders) float64 {
	shared := q.Shared()
	if len(shared) == 0 {
		c.Missing = q.Prompt
		return float64(c.Missing) / prefillPerMS
	}
	tokens, stored := p.stored(c.Salt, shared)
	last := shared[len(shared)-1].ID
	held := slices.Contains(h.copies, u)
	c.Shared, c.Stored, c.Copies, c.Held = tokens, stored, len(h.copies), held
	src := h.source(u, now)
	addr, up := p.cache.Addr()
	wait := p.store.wait(now)
	absent, ms := float64(tokens), 0.0 // shared tokens that must be computed, and the time to fetch the others
	switch {
	case up && stored > 0 && (held || src == nil || wait < engineWaitMS):
		c.Fetch, absent, ms = addr, float64(tokens-stored), wait
		c.moves = !held
	case src != nil:
		c.Fetch, absent, ms = src.Addr, float64(tokens)*(1-heldChance), engineFetchMS
	}
	if up && stored < tokens && p.saves.due(now, c.Salt, last) {
		c.Save = addr
	}
	if held {
		ms *= 1 - heldChance
		absent *= 1 - heldChance
	}
	*price += homeShare * affinity(last, u.Name)
	if u != h.home || len(h.copies) > 0 {
		// What is computed here was computed before, or is being computed, elsewhere.
		*price += rereadShare * absent
	}
	c.Missing = max(0, q.Prompt-tokens+int(absent))
	return ms + float64(c.Missing)/prefillPerMS
}

// stored returns the tokens of the shared parts, and how many of them the cache
// store holds. A part is saved with all parts before it, which are used at least as
// often, so that a held part stands for those as well.
func (p *Placer) stored(salt string, shared []vane.Part) (tokens, stored int) {
	for _, part := range shared {
		tokens += part.Tokens
		if p.cache.Holds(salt, part.ID) {
			stored = tokens
		}
	}
	return tokens, stored
}
