package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// partHolders says where the shared parts of a prompt are cached, among the engines
// that serve the same weights. An engine can use a part only if it also holds all parts
// before it.
type partHolders struct {
	preferred *upstream // engine that computes the parts if no engine holds them; the same at all nodes
	lowest    float64   // rendezvous hash of the last shared part and preferred; the lowest among the eligible engines
	keys      []uint64  // cache keys of the shared parts
	complete  int       // number of engines that are believed to hold all shared parts
	engines   []holder  // engines that are believed to hold at least the first shared part
	offset    int       // index in engines at which the search for a source begins
}

// holder is an engine with the number of leading shared parts that it is believed to
// hold.
type holder struct {
	u     *upstream
	parts int
}

// source returns the engine from which u should fetch shared parts. It prefers engines
// that hold more parts, then those in the data centre of u. The search begins at a
// different engine for each request, because an engine's link carries one transfer at
// a time. It returns false if no other engine holds a part.
func (h *partHolders) source(u *upstream, now time.Time) (holder, bool) {
	var out holder
	for i := range h.engines {
		c := h.engines[(h.offset+i)%len(h.engines)]
		if c.u == u || now.Before(c.u.ejectedUntil) || c.parts < out.parts {
			continue
		}
		near := c.u.DataCentre == u.DataCentre
		if out.u == nil || c.parts > out.parts || near && out.u.DataCentre != u.DataCentre {
			out = c
		}
	}
	return out, out.u != nil
}

// findHolders returns the holders of the prompt's shared parts, by the number of the
// weights that they serve, or nil if the prompt has no shared parts. Engines whose rank
// is at most shortRank can be the preferred engine of short prompts only, the others of
// long prompts only, unless shortRank is negative. An engine that f excludes is not
// preferred.
func (p *Placer) findHolders(now time.Time, q Query, shortRank float64, f releaseFilter) map[uint64]*partHolders {
	shared := q.Shared()
	if len(shared) == 0 {
		return nil
	}
	last := shared[len(shared)-1].ID
	out := make(map[uint64]*partHolders)
	for _, u := range p.byService[q.Service] {
		if u.Role != vane.RoleEngine || p.excludesDataCentre(q, u.DataCentre) {
			continue
		}
		h, ok := out[u.Weights]
		if !ok {
			h = &partHolders{keys: partKeys(salt(q, u.Weights), shared)}
			out[u.Weights] = h
		}
		if n := u.parts.prefix(h.keys); n > 0 {
			h.engines = append(h.engines, holder{u, n})
			if n == len(shared) {
				h.complete++
			}
		}
		if a := rendezvousHash(last, u.Name); u.usable(now) && !p.isLimited(now, q, u) && !f.excludes(u) && q.prefers(u, shortRank) && (h.preferred == nil || a < h.lowest) {
			h.preferred, h.lowest = u, a
		}
	}
	at := xxhash.Sum64String(q.ID)
	for _, h := range out {
		if len(h.engines) > 0 {
			h.offset = int(at % uint64(len(h.engines)))
		}
	}
	return out
}

// prefill estimates the computation of the prompt at u. It adds the costs of computing and
// copying parts to cost, and fills the fields of c that concern caches. h says where the
// shared parts are; it may be nil if the prompt has none.
func (p *Placer) prefill(now time.Time, q Query, u *upstream, c *Pick, cost *float64, h *partHolders) {
	shared := q.Shared()
	if len(shared) == 0 {
		c.UncachedTokens = q.PromptTokens
		return
	}
	sum := make([]float64, len(shared)+1) // sum[i] is the number of tokens of the first i parts
	stored := 0                           // number of leading parts that the cache store holds
	for i, part := range shared {
		sum[i+1] = sum[i] + float64(part.Tokens)
		// A part is saved together with all parts before it, and those are used at least
		// as often. If the store holds a part, it therefore holds the earlier ones too.
		if p.cache.Holds(c.Salt, part.ID) {
			stored = i + 1
		}
	}
	own := u.parts.prefix(h.keys)
	tokens := sum[len(shared)]
	c.SharedTokens, c.StoredTokens, c.Holders, c.HoldsShared = int(tokens), int(sum[stored]), h.complete, own == len(shared)

	src, found := h.source(u, now)
	addr, up := p.cacheStore(q)
	storeMS := p.storeLink.waitMS(now)
	fetched, ms := 0.0, 0.0 // tokens that can be fetched, and the milliseconds that it takes
	switch {
	case up && stored > 0 && (stored > src.parts || stored == src.parts && (storeMS < maxStoreMS || own == len(shared))):
		c.FetchFrom, fetched, ms = addr, sum[stored], storeMS
		c.fetchesFromStore = own < stored
	case found:
		c.FetchFrom, fetched, ms = src.u.Addr, hitProbability*sum[src.parts], engineFetchMS
	}
	if up && stored < len(shared) && p.saves.due(now, c.Salt, shared[len(shared)-1].ID) {
		c.SaveTo = addr
	}
	cached := hitProbability*max(sum[own], fetched) + (1-hitProbability)*fetched
	if own == len(shared) {
		ms *= 1 - hitProbability
	}
	*cost += preferenceCost*rendezvousHash(shared[len(shared)-1].ID, u.Name) + copyTokenCost*max(0, fetched-sum[own])
	if u != h.preferred || h.complete > 0 {
		// Another engine has computed these tokens already, or is computing them.
		*cost += recomputeTokenCost * (tokens - cached)
	}
	c.UncachedTokens = max(0, q.PromptTokens-int(cached))
	c.fetchMS = ms
}
