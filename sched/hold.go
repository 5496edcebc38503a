package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// holders is where the shared parts of a prompt are, among the engines of one
// number of weights. An engine can use a part only if it has all parts before it.
type holders struct {
	home   *upstream // that all nodes prefer for parts that nobody holds
	best   float64   // affinity of home
	keys   []uint64  // of the shared parts
	copies int       // engines that are believed to hold all of them
	some   []holding // engines that are believed to hold the first of them
	turn   int       // the place in some from which on a source is looked for
}

// holding is an engine and how many of the first shared parts it is believed to hold.
type holding struct {
	u     *upstream
	parts int
}

// source returns the engine other than u to fetch from, and how many parts it holds:
// one that holds most, if possible in the same data centre. Requests take turns among
// equal ones, whose links carry one transfer at a time.
func (h *holders) source(u *upstream, now time.Time) (holding, bool) {
	var out holding
	for i := range h.some {
		c := h.some[(h.turn+i)%len(h.some)]
		if c.u == u || now.Before(c.u.asideUntil) || c.parts < out.parts {
			continue
		}
		near := c.u.DataCentre == u.DataCentre
		if out.u == nil || c.parts > out.parts || near && out.u.DataCentre != u.DataCentre {
			out = c
		}
	}
	return out, out.u != nil
}

// holders looks for the shared parts of a prompt. Engines up to the rank apart are the
// home of short prompts only.
func (p *Placer) holders(now time.Time, q Query, apart float64) map[uint64]*holders {
	shared := q.Shared()
	if len(shared) == 0 {
		return nil
	}
	last := shared[len(shared)-1].ID
	out := make(map[uint64]*holders)
	for _, u := range p.bySvc[q.Service] {
		if u.Role != vane.RoleEngine {
			continue
		}
		h, ok := out[u.Weights]
		if !ok {
			h = &holders{keys: partKeys(salt(q, u.Weights), shared)}
			out[u.Weights] = h
		}
		if n := u.parts.prefix(h.keys); n > 0 {
			h.some = append(h.some, holding{u, n})
			if n == len(shared) {
				h.copies++
			}
		}
		if a := affinity(last, u.Name); u.usable(now) && (apart < 0 || q.light() == (u.rank <= apart)) && (h.home == nil || a < h.best) {
			h.home, h.best = u, a
		}
	}
	at := xxhash.Sum64String(q.ID)
	for _, h := range out {
		if len(h.some) > 0 {
			h.turn = int(at % uint64(len(h.some)))
		}
	}
	return out
}

// prompt adds what the prompt costs at u to price and returns the milliseconds
// until it is computed. h is where its shared parts are.
func (p *Placer) prompt(now time.Time, q Query, u *upstream, c *Pick, price *float64, h *holders) float64 {
	shared := q.Shared()
	if len(shared) == 0 {
		c.UncachedTokens = q.PromptTokens
		return float64(c.UncachedTokens) / prefillPerMS
	}
	sum := make([]float64, len(shared)+1) // tokens of the first parts
	stored := 0                           // parts that the cache store holds
	for i, part := range shared {
		sum[i+1] = sum[i] + float64(part.Tokens)
		// A part is saved with all parts before it, which are used at least as often, so
		// that a held part stands for those as well.
		if p.cache.Holds(c.Salt, part.ID) {
			stored = i + 1
		}
	}
	own := u.parts.prefix(h.keys)
	tokens := sum[len(shared)]
	c.SharedTokens, c.StoredTokens, c.Holders, c.HoldsShared = int(tokens), int(sum[stored]), h.copies, own == len(shared)

	src, found := h.source(u, now)
	addr, up := p.cache.Addr()
	wait := p.store.wait(now)
	fetched, ms := 0.0, 0.0 // tokens that can be fetched, and the time it takes
	switch {
	case up && stored > 0 && (stored > src.parts || stored == src.parts && (wait < engineWaitMS || own == len(shared))):
		c.FetchFrom, fetched, ms = addr, sum[stored], wait
		c.moves = own < stored
	case found:
		c.FetchFrom, fetched, ms = src.u.Addr, heldChance*sum[src.parts], engineFetchMS
	}
	if up && stored < len(shared) && p.saves.due(now, c.Salt, shared[len(shared)-1].ID) {
		c.SaveTo = addr
	}
	had := heldChance*max(sum[own], fetched) + (1-heldChance)*fetched
	if own == len(shared) {
		ms *= 1 - heldChance
	}
	*price += homeShare*affinity(shared[len(shared)-1].ID, u.Name) + copyShare*max(0, fetched-sum[own])
	if u != h.home || h.copies > 0 {
		// What is computed here was computed before, or is being computed, elsewhere.
		*price += rereadShare * (tokens - had)
	}
	c.UncachedTokens = max(0, q.PromptTokens-int(had))
	return ms + float64(c.UncachedTokens)/prefillPerMS
}
