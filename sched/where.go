package sched

import (
	"slices"
	"strings"
	"time"
)

// WithRegions sets the region of each data centre.
func WithRegions(regions map[string]string) Option { return func(p *Placer) { p.regions = regions } }

// Regions restrict a request to data centres in some regions. The zero value allows all.
type Regions struct {
	restricted bool
	names      []string // sorted
}

// RegionsOf returns the regions that are in all of the lists. An empty list allows all
// regions.
func RegionsOf(lists ...[]string) Regions {
	var r Regions
	for _, l := range lists {
		switch {
		case len(l) == 0:
		case !r.restricted:
			r = Regions{true, slices.Sorted(slices.Values(l))}
		default:
			r.names = slices.DeleteFunc(r.names, func(n string) bool { return !slices.Contains(l, n) })
		}
	}
	return r
}

// Empty reports whether no region is allowed.
func (r Regions) Empty() bool { return r.restricted && len(r.names) == 0 }

// String returns the allowed regions, separated by commas; empty if all are.
func (r Regions) String() string { return strings.Join(r.names, ",") }

// settleTime is the time after a standstill within which what happened meanwhile arrives: the
// answers of pending watches, and messages of other nodes.
const settleTime = 600 * time.Millisecond

// WithStallLimit sets the time without a call of [Placer.Tick] after which the node counts as
// having stood still. It then picks no upstream for a moment, since a data centre may have
// been evacuated meanwhile. Zero, the default, means that it never does.
func WithStallLimit(d time.Duration) Option { return func(p *Placer) { p.stall.limit = d } }

// stall notices that the process stood still, as on a frozen host.
type stall struct {
	limit    time.Duration // zero if it is not to be noticed
	tickedAt time.Time
	until    time.Time // end of the time after a standstill in which no upstream is picked
}

// tick records that the process runs.
func (s *stall) tick(now time.Time) {
	if s.limit > 0 && !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > s.limit {
		s.until = now.Add(settleTime)
	}
	s.tickedAt = now
}

// Tick tells the placer that the process runs. It must be called several times within the stall
// limit.
func (p *Placer) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stall.tick(now)
}

// settles reports whether the process stood still until a moment ago. The caller must hold
// p.mu.
func (p *Placer) settles(now time.Time) bool {
	if p.stall.limit <= 0 || p.stall.tickedAt.IsZero() {
		return false
	}
	p.stall.tick(now)
	return now.Before(p.stall.until)
}

// excludesDataCentre reports whether a request must not be sent to a data centre: it is
// evacuated, or not in an allowed region. A data centre whose region is not known is in none.
func (p *Placer) excludesDataCentre(q Query, dataCentre string) bool {
	if _, ok := p.view.Evacuated[dataCentre]; ok {
		return true
	}
	return q.Regions.restricted && !slices.Contains(q.Regions.names, p.regions[dataCentre])
}

// cacheStore returns the address of the cache store, or false if it does not answer or must
// not get parts of the request's prompt.
func (p *Placer) cacheStore(q Query) (string, bool) {
	addr, up := p.cache.Addr()
	if !up || p.view.Config == nil {
		return addr, up
	}
	if s, ok := p.view.Config.CacheStore(); ok && s.CacheDataCentre != "" && p.excludesDataCentre(q, s.CacheDataCentre) {
		return "", false
	}
	return addr, up
}

// WithdrawEvacuated withdraws the attempts that wait for their first bytes at upstreams in
// evacuated data centres, if they may be repeated. The others end normally.
func (p *Placer) WithdrawEvacuated(now time.Time) []Expired {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.view.Evacuated) == 0 {
		return nil
	}
	var out []Expired
	for _, u := range p.upstreams {
		if _, ok := p.view.Evacuated[u.DataCentre]; !ok {
			continue
		}
		for t := range u.waiting {
			if t.withdraw == nil || !t.repeatable {
				continue
			}
			t.withdraw()
			t.withdraw = nil
			out = append(out, Expired{ID: t.id, Upstream: t.name, Weights: t.weights, Waited: now.Sub(t.sent)})
		}
	}
	return out
}
