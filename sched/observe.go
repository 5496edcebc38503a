package sched

import (
	"cmp"
	"slices"
	"time"

	vane "mustardvane.org/vane"
)

// Observe records what an upstream's answer says about the upstream. It reports whether
// the upstream serves other weights than were recorded. Unknown upstreams are ignored,
// as in all methods that take an upstream's name.
func (p *Placer) Observe(now time.Time, name string, m vane.ResponseMeta) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[name]
	if !ok {
		return false
	}
	if !m.WrongUpstream {
		u.responded(now) // a wrong answer may come from another upstream at the same address
	}
	if m.HasLoad {
		u.load, u.loadAt = m.Load, now
	}
	if m.WrongUpstream && m.Weights > 0 && m.Weights < u.Weights {
		u.Weights = m.Weights
		u.parts.clear()
		return true
	}
	return m.Weights > 0 && u.setWeights(m.Weights)
}

// RecordWeights records the weights that an upstream serves. Weights older than those
// already recorded are ignored, since the information may have been delayed.
func (p *Placer) RecordWeights(name string, weights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok {
		u.setWeights(weights)
	}
}

// CorrectWeights records the weights that an upstream itself reports, even if they are
// older than those already recorded. Zero is ignored.
func (p *Placer) CorrectWeights(name string, weights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok && weights > 0 && weights != u.Weights {
		u.Weights = weights
		u.parts.clear()
	}
}

// SetLoading marks an upstream as loading weights until the given time, during which it
// gets no requests. A zero time ends this state.
func (p *Placer) SetLoading(name string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok {
		u.loadingUntil = until
	}
}

// RecordFailure ejects an upstream that did not serve an attempt. It returns the
// remaining ejection time, or zero if the upstream is unknown.
func (p *Placer) RecordFailure(now time.Time, name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok {
		u.recordColdUnknown(now)
		return u.fail(now)
	}
	return 0
}

// RecordPeerFailure ejects an upstream that another node reports as not answering,
// unless this node got a response from it within the last 250 ms (recentResponse).
func (p *Placer) RecordPeerFailure(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok && now.Sub(u.respondedAt) > recentResponse {
		if !now.Before(u.ejectedUntil) { // else this node knows of the failure, and reports are repeated
			u.recordColdUnknown(now)
		}
		u.fail(now)
	}
}

// MarkFull records that an upstream refused a request for lack of capacity. The upstream
// gets no requests for 150 ms (fullPause).
func (p *Placer) MarkFull(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok {
		u.fullUntil = now.Add(fullPause)
	}
}

// Engine is the state of an engine that matters when engines are chosen for loading new
// weights.
type Engine struct {
	vane.Upstream
	InFlight int  // number of requests that all nodes have in flight at the engine
	Loading  bool // the engine is loading weights
	Ejected  bool // the engine failed and gets no requests until its ejection ends
}

// Engines returns the live engines of a model, sorted by name.
func (p *Placer) Engines(now time.Time, model string) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Engine
	for _, u := range p.upstreams {
		if u.Role == vane.RoleEngine && u.Model == model && !u.saidLeaving() {
			out = append(out, Engine{
				Upstream: u.Upstream, InFlight: u.inFlight + p.peerInFlight(u.Name),
				Loading: now.Before(u.loadingUntil), Ejected: now.Before(u.ejectedUntil),
			})
		}
	}
	slices.SortFunc(out, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
