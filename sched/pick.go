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
	ID           string // of the request
	Service      string
	Model        string
	CacheScope   string // workspace if it shares no cache with others, else empty
	Parts        []vane.Part
	PromptTokens int // tokens
	Bytes        int // of the request
	Objective    time.Duration
	Avoid        []string // upstreams that are not to be chosen
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
	Upstream       vane.Upstream
	Weights        uint64 // that it is believed to serve; zero for plain services
	Salt           string
	FetchFrom      string // address of a cache that holds shared parts; empty for none
	SaveTo         string // address of the cache store, if the parts are to be saved
	Cost           float64
	Estimate       time.Duration
	LoadAge        time.Duration // age of the upstream's own word on its load
	UncachedTokens int           // tokens expected to be computed
	SharedTokens   int           // tokens that other requests may have in common
	StoredTokens   int           // of these, tokens that the cache store holds
	Holders        int           // engines that are believed to hold all shared parts
	HoldsShared    bool          // the chosen one is among them

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
	apart := -1.0
	if q.PromptTokens > 0 {
		apart = p.apart(now, q)
	}
	where := p.holders(now, q, apart)
	spare := p.spared(now, q, named)
	var best Pick
	found := false
	for _, u := range p.bySvc[q.Service] {
		if slices.Contains(q.Avoid, u.Name) || !u.usable(now) || p.outdated(now, u, named) || spare && u.Weights == named.Number {
			continue
		}
		c := p.price(now, q, u, named, where[u.Weights])
		if apart >= 0 && q.light() != (u.rank <= apart) {
			c.Cost += apartShare
		}
		if !found || c.Cost < best.Cost {
			best, found = c, true
		}
	}
	return best, found
}

// outdated says whether an engine must not get requests any more because of its
// weights. A request may wait at the engine before it begins.
func (p *Placer) outdated(now time.Time, u *upstream, named mirror.Weights) bool {
	return u.Role == vane.RoleEngine && named.OutdatedFor(now, u.Weights) > p.limit-StartMargin
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
	if newest == 0 || older == 0 || q.PromptTokens == 0 {
		return false
	}
	share := newShare
	if p.store.nodes > manyNodes {
		share = newShareMany
	}
	allowed := share * float64(newest) * prefillPerMS / (p.demand.perMS(now) * p.store.nodes)
	return affinity(q.ID, "newest weights") > allowed
}

// salt returns the name under which an engine caches the prompt's parts: requests
// share them only within the same wall and for the same weights.
func salt(q Query, weights uint64) string {
	return q.CacheScope + "|" + q.Model + "|" + strconv.FormatUint(weights, 10)
}

// price returns what sending the request to u would cost.
func (p *Placer) price(now time.Time, q Query, u *upstream, named mirror.Weights, h *holders) Pick {
	c := Pick{Upstream: u.Upstream, Weights: u.Weights, LoadAge: now.Sub(u.loadAt)}
	price := 0.0
	if u.DataCentre != p.dc {
		price += farShare * float64(q.Bytes)
	}
	ms := u.queueMS(now, p.inFlight(u.Name))
	if u.Role == vane.RoleEngine {
		if named.OutdatedFor(now, u.Weights) > oldGrace {
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
	c.Cost, c.Estimate = price, time.Duration(ms*float64(time.Millisecond))
	return c
}
