package sched

import (
	"math/rand/v2"
	"time"

	vane "mustardvane.org/vane"
)

// Limits of the times for which upstreams ask for no requests.
const (
	maxRefusal    = 30 * time.Second // longest time that is honoured; the state of an upstream does not last longer
	refusalSpread = 0.2              // fraction of the time by which its end is spread over the nodes
	maxSpread     = time.Second      // longest spread
)

// refusal is an upstream's wish to get no requests from this node for some time.
type refusal struct {
	until time.Time
	trial bool // after its end, one request at a time until one has been served
}

// blocks reports whether an upstream that has n requests of this node in flight gets no
// further one because of the refusal.
func (r refusal) blocks(now time.Time, n int) bool { return now.Before(r.until) || r.trial && n > 0 }

// MarkLeaving records that an upstream said that it is leaving. It gets no further requests.
// What an upstream said before it was started again says nothing about the present
// incarnation and is ignored. MarkLeaving reports whether this is new.
func (p *Placer) MarkLeaving(name string, incarnation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[name]
	if !ok || u.leaving || u.Incarnation != incarnation {
		return false
	}
	u.leaving = true
	return true
}

// MarkRefused records that an upstream asked for no requests from this node for a time. The
// nodes return to it one after the other, each first with a single request. MarkRefused
// returns the time for which the upstream gets none, or zero if it is not known in this
// incarnation.
func (p *Placer) MarkRefused(now time.Time, name string, incarnation uint64, d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[name]
	if !ok || u.Incarnation != incarnation || d <= 0 {
		return 0
	}
	d = min(d, maxRefusal)
	d += rand.N(min(time.Duration(refusalSpread*float64(d)), maxSpread) + 1)
	if until := now.Add(d); until.After(u.refusal.until) {
		u.refusal = refusal{until: until, trial: true}
	}
	return d
}

// RetryAfter returns the time after which the first upstream of a service that asked for no
// requests, or is cold, may get one. It returns false if another upstream serves requests, or
// none is expected to.
func (p *Placer) RetryAfter(now time.Time, service string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for _, u := range p.byService[service] {
		if !u.inService(now) {
			continue
		}
		until := u.refusal.until
		if end := u.coldUntil(); end.After(until) {
			until = end
		}
		if !now.Before(until) {
			return 0, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first.Sub(now), !first.IsZero()
}

// saidLeaving reports whether the upstream is leaving by its entry or by what it said.
func (u *upstream) saidLeaving() bool { return u.leaving || u.State != vane.UpstreamLive }
