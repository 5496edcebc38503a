package sched

import (
	"cmp"
	"slices"
	"time"

	vane "mustardvane.org/vane"
)

// Observe takes what an upstream's answer says about itself. It returns true if
// the upstream serves other weights than were believed.
func (p *Placer) Observe(now time.Time, name string, m vane.AnswerMeta) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.ups[name]
	if !ok {
		return false
	}
	if !m.Wrong {
		u.answered(now) // else another upstream may have answered at its address
	}
	if m.HasLoad {
		u.load, u.loadAt = m.Load, now
	}
	if m.Wrong && m.Weights > 0 && m.Weights < u.Weights {
		u.Weights = m.Weights
		u.parts.clear()
		return true
	}
	return m.Weights > 0 && u.setWeights(m.Weights)
}

// RecordWeights notes the weights that an upstream is known to serve.
func (p *Placer) RecordWeights(name string, weights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		u.setWeights(weights)
	}
}

// CorrectWeights notes the weights that an upstream says it serves, older ones included.
func (p *Placer) CorrectWeights(name string, weights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok && weights > 0 && weights != u.Weights {
		u.Weights = weights
		u.parts.clear()
	}
}

// SetLoading sets an upstream aside while it loads weights, until at most the given
// time. A zero time ends it.
func (p *Placer) SetLoading(name string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		u.loadingUntil = until
	}
}

// RecordFailure notes that an upstream did not serve an attempt, and returns for how long
// it is set aside.
func (p *Placer) RecordFailure(now time.Time, name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		return u.failed(now)
	}
	return 0
}

// RecordPeerFailure takes another node's word that an upstream does not answer. It counts only
// if this node has no newer sign of life.
func (p *Placer) RecordPeerFailure(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok && now.Sub(u.heard) > freshSign {
		u.failed(now)
	}
}

// MarkFull notes that an upstream refused a request for lack of room.
func (p *Placer) MarkFull(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		u.fullUntil = now.Add(fullPause)
	}
}

// EjectSilent returns the upstreams that keep requests waiting for longer than limit
// without a sign of life, and sets them aside.
func (p *Placer) EjectSilent(now time.Time, limit time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, u := range p.ups {
		if u.silent(now, limit) && !now.Before(u.asideUntil) {
			u.failed(now)
			out = append(out, name)
		}
	}
	return out
}

// Engine is what the placer knows of an engine, for the choice of orders.
type Engine struct {
	vane.Upstream
	InFlight int
	Loading  bool
	Ejected  bool // set aside after failures
}

// Engines returns the live engines of a model, in order of their names.
func (p *Placer) Engines(now time.Time, model string) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Engine
	for _, u := range p.ups {
		if u.Role == vane.RoleEngine && u.Model == model && u.State == vane.UpstreamLive {
			out = append(out, Engine{
				Upstream: u.Upstream, InFlight: u.inFlight + p.inFlight(u.Name),
				Loading: now.Before(u.loadingUntil), Ejected: now.Before(u.asideUntil),
			})
		}
	}
	slices.SortFunc(out, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
