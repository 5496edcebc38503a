package sched

import (
	"time"

	vane "mustardvane.org/vane"
)

// SilentUpstreams returns the upstreams at which a request, or a stream for its next event,
// has been waiting for longer than limit while the upstream sent this node nothing for as long. Those that were
// returned less than limit ago are left out. Ejected ones are not, since another node may
// have reported them. Silence alone does not show that an
// engine failed: in a burst, prompts wait for seconds at engines that answer the requests of
// other nodes. The caller checks the upstream and passes the result to [Placer.ResolveSilent].
func (p *Placer) SilentUpstreams(now time.Time, limit time.Duration) []vane.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []vane.Upstream
	for _, u := range p.upstreams {
		if !now.Before(u.checkAfter) && u.silent(now, limit) {
			u.checkAfter = now.Add(limit)
			out = append(out, u.Upstream)
		}
	}
	return out
}

// ResolveSilent records the result of the check of an upstream that [Placer.SilentUpstreams]
// returned. The load is the one that its process stated, or nil if it stated none in time.
// An engine that is busy stays in use, with this load. Otherwise the upstream is ejected,
// unless it has answered a request meanwhile: an engine without any work has lost the
// request that waits for it. ResolveSilent reports whether the upstream is ejected by
// this call.
func (p *Placer) ResolveSilent(now time.Time, s vane.Upstream, l *vane.Load, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[s.Name]
	if !ok || u.Incarnation != s.Incarnation || now.Before(u.ejectedUntil) {
		return false
	}
	if l != nil && l.Running+l.Waiting > 0 {
		slowdown := u.load.Slowdown // a report does not state it
		u.load, u.loadAt, u.respondedAt = *l, now, now
		u.load.Slowdown = slowdown
		return false
	}
	if !u.silent(now, limit) {
		return false
	}
	u.fail(now)
	return true
}

// silent reports whether an attempt has been waiting for longer than limit while the
// upstream sent nothing for at least as long. At an upstream that states how slow its
// machine is, an attempt may first take as long as at the slowest machine, up to twice the
// limit, since a slow upstream has not failed.
func (u *upstream) silent(now time.Time, limit time.Duration) bool {
	if now.Sub(u.respondedAt) < limit {
		return false
	}
	for t := range u.waiting {
		allowed := limit
		if u.load.Slowdown > 0 {
			allowed = max(limit, min(maxSlowdown*t.estimate, 2*limit))
		}
		if now.Sub(t.sent) > allowed && now.Sub(u.respondedAt) >= allowed {
			return true
		}
	}
	for t := range u.streams {
		if now.Sub(t.heard) >= limit {
			return true
		}
	}
	return false
}

// WithdrawSilent withdraws the requests at an ejected upstream that may be repeated or
// resumed and that got nothing for longer than limit, so that they go on elsewhere. Callers
// give up a stream that pauses for seconds.
func (p *Placer) WithdrawSilent(now time.Time, name string, limit time.Duration) []Expired {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[name]
	if !ok || !now.Before(u.ejectedUntil) {
		return nil
	}
	var out []Expired
	withdraw := func(t *Attempt, since time.Time) {
		if t.withdraw == nil || !t.repeatable || now.Sub(since) < limit {
			return
		}
		t.withdraw()
		t.withdraw = nil
		out = append(out, Expired{ID: t.id, Upstream: t.name, Weights: t.weights, Waited: now.Sub(since)})
	}
	for t := range u.waiting {
		withdraw(t, t.sent)
	}
	for t := range u.streams {
		withdraw(t, t.heard)
	}
	return out
}

// lag returns by how much the most delayed request of this node exceeds its estimated time
// to the first token. Requests of other nodes that this node does not know of yet, and
// slow machines, show in it. Requests that the upstream passes over for later ones, such as
// more urgent ones, tell nothing about the next.
func (u *upstream) lag(now time.Time) time.Duration {
	var d time.Duration
	for t := range u.waiting {
		if t.sent.After(u.answeredSent) {
			d = max(d, now.Sub(t.sent)-t.estimate)
		}
	}
	return d
}
