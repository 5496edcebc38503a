package sched

import (
	"time"
)

// expiryMargin is the time before the limit of an engine's weights at which requests that
// still wait there are withdrawn. It covers the period of the checks and the way to the
// engine.
const expiryMargin = 500 * time.Millisecond

// Expired is an attempt that was withdrawn because it would have begun on weights that
// were replaced too long ago.
type Expired struct {
	ID          string // ID of the request
	Upstream    string
	Weights     uint64        // number of the engine's weights when the request was sent
	Waited      time.Duration // time since the request was sent
	OutdatedFor time.Duration // time since the weights were replaced
}

// OnExpire sets the function that withdraws the attempt from its upstream. It must not
// block or call the placer.
func (p *Placer) OnExpire(t *Attempt, withdraw func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.withdraw = withdraw
}

// ExpireWaiting withdraws the attempts that wait for their first bytes at engines whose
// weights are about to reach their limit. An engine may keep a request in its queue for
// seconds, and the limit applies to the time at which the request begins.
func (p *Placer) ExpireWaiting(now time.Time) []Expired {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Expired
	for t := range p.waiting {
		age := p.view.Weights[t.model].OutdatedFor(now, t.weights)
		if t.withdraw == nil || age <= p.weightsLimit-expiryMargin {
			continue
		}
		t.withdraw()
		delete(p.waiting, t)
		out = append(out, Expired{ID: t.id, Upstream: t.name, Weights: t.weights, Waited: now.Sub(t.sent), OutdatedFor: age})
	}
	return out
}
