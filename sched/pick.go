package sched

import (
	"slices"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Query describes a request for which an upstream is to be chosen.
type Query struct {
	ID           string // ID of the request
	Service      string
	Model        string
	CacheScope   string // workspace whose cached parts are not shared with others; empty for the shared cache
	Parts        []vane.PromptPart
	PromptTokens int           // zero if unknown or if the service has no prompts
	Bytes        int           // size of the request
	Objective    time.Duration // time within which the first token should arrive; zero or less for the default
	Avoid        []string      // names of upstreams that must not be chosen
	Regions      Regions       // regions to which the request may be sent
	Repeatable   bool          // if the attempt fails, the request may be sent to another upstream
}

// Shared returns the parts that other prompts can have in common with this one: all but
// the last. It returns nil if there are fewer than two parts.
func (q Query) Shared() []vane.PromptPart {
	if len(q.Parts) < 2 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// Pick is the choice of an upstream for a query.
type Pick struct {
	Upstream       vane.Upstream
	Weights        uint64        // number of the weights that the upstream is believed to serve; zero for plain services
	Salt           string        // cache salt of the prompt's parts at the engine; empty for plain services
	FetchFrom      string        // address of the cache from which the engine fetches shared parts; empty for none
	SaveTo         string        // address of the cache store to which the engine saves the shared parts; empty for none
	Cost           float64       // cost as a fraction of the worth of the request; lower is better
	Estimate       time.Duration // estimated time until the first token
	Slowdown       float64       // factor on the time that work at the upstream is expected to take, 1 as usual
	AddedPause     time.Duration // estimated time by which the request lengthens a pause of the streams at the engine; zero unless the service gets long and short prompts
	LoadAge        time.Duration // age of the upstream's last load report
	UncachedTokens int           // prompt tokens that the engine is expected to compute
	SharedTokens   int           // prompt tokens that other requests may have in common
	StoredTokens   int           // shared tokens that the cache store holds
	Holders        int           // engines that are believed to hold all shared parts
	HoldsShared    bool          // the chosen engine is one of the holders

	fetchesFromStore bool    // the engine fetches parts from the cache store that it does not hold
	fetchMS          float64 // estimated milliseconds for fetching parts
}

// Pick returns the upstream with the lowest cost. It returns false if no upstream can
// take the request now. Pick records nothing: before the request is sent, [Placer.Reserve]
// takes its place at a cold upstream, and [Placer.Begin] records it.
func (p *Placer) Pick(now time.Time, q Query) (Pick, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.Objective <= 0 {
		q.Objective = defaultObjective
	}
	if p.settles(now) {
		return Pick{}, false
	}
	target := p.view.Weights[q.Model]
	shortRank := p.shortRank(now, q)
	filter := p.releaseFilter(now, q, target)
	holders := p.findHolders(now, q, shortRank, filter)
	skipNewest := p.skipNewest(now, q, target)
	v := p.speed(q.Service)
	var best Pick
	found := false
	for _, u := range p.byService[q.Service] {
		if slices.Contains(q.Avoid, u.Name) || !u.usable(now) || p.excludes(now, q, u) || filter.excludes(u) || p.outdated(now, u, target) || skipNewest && u.Weights == target.Version {
			continue
		}
		c := p.evaluate(now, q, u, target, holders[u.Weights], v)
		if p.beginsOutdated(now, c, target) {
			continue
		}
		c.Cost += q.groupCost(u, shortRank)
		if !found || c.Cost < best.Cost {
			best, found = c, true
		}
	}
	return best, found
}

// outdated reports whether an engine's weights were replaced so long ago that it must
// not get new requests. The limit is reduced by StartMargin, since a request may wait
// at the engine before it begins.
func (p *Placer) outdated(now time.Time, u *upstream, target mirror.Weights) bool {
	return u.Role == vane.RoleEngine && target.OutdatedFor(now, u.Weights) > p.weightsLimit-StartMargin
}

// beginsOutdated reports whether a request would wait at an engine until its weights have
// reached their limit.
func (p *Placer) beginsOutdated(now time.Time, c Pick, target mirror.Weights) bool {
	age := target.OutdatedFor(now, c.Weights)
	return age > 0 && c.Upstream.Role == vane.RoleEngine && age+c.Estimate > p.weightsLimit-expiryMargin
}

// skipNewest reports whether the request must not go to the engines with the newest
// weights, because they are too few for all requests. All nodes prefer these engines and
// would overload them before any node sees the requests of the others. Each node
// therefore uses only its share of their prefill rate. Requests are selected by a hash
// of their last shared part, so that the parts are computed and kept with one number of
// weights only, and all attempts of a request give the same result. Requests without
// shared parts are selected by a hash of their ID.
func (p *Placer) skipNewest(now time.Time, q Query, target mirror.Weights) bool {
	newest, older := 0, 0
	for _, u := range p.byService[q.Service] {
		switch {
		case u.Role != vane.RoleEngine || !u.usable(now) || p.isLimited(now, q, u) || slices.Contains(q.Avoid, u.Name):
		case u.Weights >= target.Version:
			newest++
		case !p.outdated(now, u, target):
			older++
		}
	}
	if newest == 0 || older == 0 || q.PromptTokens == 0 {
		return false
	}
	share := newestShare
	if p.storeLink.nodes > manyNodes {
		share = newestShareManyNodes
	}
	allowed := share * float64(newest) * p.rates.Engine(q.Service).PrefillPerMS / (p.prefillRate.perMS(now) * p.storeLink.nodes)
	// Under high load, each engine gets the same share. Otherwise the last engines with older
	// weights would get most of the requests.
	allowed = max(allowed, float64(newest)/float64(newest+older))
	key := q.ID
	if shared := q.Shared(); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	return rendezvousHash(key, "newest weights") > allowed
}

// salt returns the cache salt of the prompt's parts at engines with the given weights.
// Requests share cached parts only within the same scope, model and weights, and the same
// allowed regions, so that a request that may go anywhere does not copy parts of one that may
// not.
func salt(q Query, weights uint64) string {
	if q.Regions.restricted {
		return q.CacheScope + "@" + q.Regions.String() + "|" + q.Model + "|" + strconv.FormatUint(weights, 10)
	}
	return q.CacheScope + "|" + q.Model + "|" + strconv.FormatUint(weights, 10)
}

// evaluate returns the pick of u for the query, with its cost and the estimated time. v is the
// speed of the service.
func (p *Placer) evaluate(now time.Time, q Query, u *upstream, target mirror.Weights, h *partHolders, v speed) Pick {
	c := Pick{Upstream: u.Upstream, Weights: u.Weights, LoadAge: now.Sub(u.loadAt)}
	cost := 0.0
	if u.DataCentre != p.dataCentre {
		cost += remoteByteCost * float64(q.Bytes)
	}
	w := p.ahead(now, u, v.PrefillPerMS)
	c.Slowdown = v.factor(now, u)
	expected, compared := v.plainMS(w, u.Slots)
	expected, compared = c.Slowdown*expected, c.Slowdown*compared
	if u.Role == vane.RoleEngine {
		if target.OutdatedFor(now, u.Weights) > oldWeightsGrace {
			cost += oldWeightsCost
		}
		c.Salt = salt(q, u.Weights)
		p.prefill(now, q, u, &c, &cost, h)
		b := w.batch(v.EngineRates, c.Slowdown)
		expected = float64(b.FirstToken(float64(c.UncachedTokens))) / float64(time.Millisecond)
		compared = expected
		if w.mixed {
			c.AddedPause = b.AddedPause(float64(c.UncachedTokens))
		}
	}
	late := float64(u.lag(now)) / float64(time.Millisecond)
	expected, compared = expected+c.fetchMS+late, compared+c.fetchMS+late
	if u.onProbation(now) {
		cost += probationCost
	}
	x := compared / float64(q.Objective.Milliseconds())
	cost += lateCost*lateProbability(x) + waitCost*x
	c.Cost, c.Estimate = cost, time.Duration(expected*float64(time.Millisecond))
	return c
}
