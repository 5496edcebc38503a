package sched

import (
	"time"

	vane "mustardvane.org/vane"
)

// coldUnknownTime is the time, in addition to the cold start, for which it counts as unknown
// whether an upstream that failed is cold, if nothing shows it. Upstreams that crash are
// back within this time.
const coldUnknownTime = 3 * time.Second

// ColdLimiter decides how many requests this node sends to cold upstreams. Its methods are
// called with the placer locked, so that they must not block or call the placer.
type ColdLimiter interface {
	// Allows reports whether a request may be sent now to a cold upstream that tolerates perS
	// requests a second.
	Allows(now time.Time, upstream string, perS float64) bool
	// Spend records a request to a cold upstream.
	Spend(now time.Time, upstream string)
}

// WithColdLimiter sets the limiter for cold upstreams. Without one, they get no requests.
func WithColdLimiter(l ColdLimiter) Option { return func(p *Placer) { p.cold = l } }

// coldState is what is known about the cold start of an upstream in addition to its entry.
type coldState struct {
	start        time.Duration // time for which upstreams of the service are cold after a start; zero if they are not
	rate         float64       // requests a second that a cold upstream of the service tolerates
	until        time.Time     // end of the cold time by health checks and other nodes
	unknownSince time.Time     // time of the last failure, after which the upstream may have been started again; zero if its state is known
}

// configure takes the cold start of the upstream's service from the configuration.
func (s *coldState) configure(svc vane.Service) { s.start, s.rate = svc.ColdStart, svc.ColdRate }

// coldUntil returns the end of the time for which the upstream counts as cold. It is zero if
// its service states no cold start.
func (u *upstream) coldUntil() time.Time {
	if u.cold.start <= 0 {
		return time.Time{}
	}
	t := u.ColdUntil
	for _, x := range []time.Time{u.cold.until, after(u.StartSeen, u.cold.start), after(u.cold.unknownSince, u.cold.start+coldUnknownTime)} {
		if x.After(t) {
			t = x
		}
	}
	return t
}

// after returns the time d after t, or zero if t is zero.
func after(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(d)
}

// isCold reports whether the upstream is cold, or may be.
func (u *upstream) isCold(now time.Time) bool { return now.Before(u.coldUntil()) }

// recordColdUnknown records that the upstream failed, so that it may have been started again.
func (u *upstream) recordColdUnknown(now time.Time) {
	if u.cold.start > 0 {
		u.cold.unknownSince = now
	}
}

// excludes reports whether a request must not be sent to the upstream now, because of its data
// centre or because it is cold. The caller must hold p.mu.
func (p *Placer) excludes(now time.Time, q Query, u *upstream) bool {
	return p.excludesDataCentre(q, u.DataCentre) || p.excludesCold(now, u)
}

// isLimited reports whether the upstream must not be counted on for the request: it gets none,
// or only a few while it is cold. The caller must hold p.mu.
func (p *Placer) isLimited(now time.Time, q Query, u *upstream) bool {
	return u.isCold(now) || p.excludesDataCentre(q, u.DataCentre)
}

// excludesCold reports whether a request must not be sent to the upstream because it is cold
// and this node may send it none at the moment. The caller must hold p.mu.
func (p *Placer) excludesCold(now time.Time, u *upstream) bool {
	return u.isCold(now) && (p.cold == nil || !p.cold.Allows(now, u.Name, u.cold.rate))
}

// Reserve takes the place of a request in this node's share of a cold upstream. It returns
// false if the share has been spent since the pick; the request must not be sent then. At
// other upstreams it returns true.
func (p *Placer) Reserve(now time.Time, c Pick) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[c.Upstream.Name]
	if !ok || !u.isCold(now) {
		return true
	}
	if p.excludesCold(now, u) {
		return false
	}
	p.cold.Spend(now, u.Name)
	return true
}

// configureCold takes the cold starts of the services from the view. The caller must hold
// p.mu.
func (p *Placer) configureCold() {
	if p.view.Config == nil {
		return
	}
	for _, u := range p.upstreams {
		svc, _ := p.view.Config.Service(u.Service)
		u.cold.configure(svc)
	}
}

// RecordCold records how much longer an upstream stays cold, as its health check stated at a
// time, or as another node knew it then. It ends the doubt after an earlier failure.
func (p *Placer) RecordCold(at time.Time, name string, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[name]
	if !ok || u.cold.start <= 0 {
		return
	}
	if at.After(u.cold.unknownSince) {
		u.cold.unknownSince = time.Time{}
	}
	if until := at.Add(left); left > 0 && until.After(u.cold.until) {
		u.cold.until = until
	}
}

// RecordColdDoubt records that it is unknown whether the upstream is cold, since it did not
// answer.
func (p *Placer) RecordColdDoubt(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok {
		u.recordColdUnknown(now)
	}
}

// ColdUpstream is an upstream of a service with a cold start.
type ColdUpstream struct {
	vane.Upstream
	Cold      bool // the upstream is cold, or may be
	Unknown   bool // it failed, and nothing has shown since then whether it is cold
	InService bool // it serves requests as far as this node knows
}

// ColdUpstreams returns the upstreams of services with a cold start, in no particular order.
func (p *Placer) ColdUpstreams(now time.Time) []ColdUpstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ColdUpstream
	for _, u := range p.upstreams {
		if u.cold.start > 0 {
			unknown := now.Before(after(u.cold.unknownSince, u.cold.start+coldUnknownTime))
			out = append(out, ColdUpstream{u.Upstream, u.isCold(now), unknown, u.inService(now)})
		}
	}
	return out
}
