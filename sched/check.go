package sched

import (
	"time"

	vane "mustardvane.org/vane"
)

// Limits of the questions for the load of upstreams.
const (
	minCheckedSlowdown = 1.05                   // mean slowdown of a service from which on its upstreams are asked; with less, hardly any is slow
	minCheckGain       = 5 * time.Millisecond   // expected delay by slow machines from which on a question is worth its time, about two round trips
	maxCheckedAge      = 100 * time.Millisecond // age of a report up to which an upstream is not asked again
	checkPause         = 5 * time.Second        // time for which an upstream that did not answer is not asked
	maxChecksPerSecond = 40                     // of this node; each takes up to 0.5 ms of a core, and hosts have 0.2 cores
)

// loadChecks counts the questions of the present second.
type loadChecks struct {
	second time.Time
	n      int
}

// take counts a question. It returns false if there were too many.
func (c *loadChecks) take(now time.Time) bool {
	if d := now.Sub(c.second); d < 0 || d >= time.Second {
		c.second, c.n = now, 0
	}
	if c.n >= maxChecksPerSecond {
		return false
	}
	c.n++
	return true
}

// NeedsLoadCheck reports whether the upstream of a pick should be asked for its load before
// the request is sent. That is so if some upstreams of the service state that their machines
// are slow: this changes several times a second, and a node gets an answer of the same
// upstream only every few seconds. Short work is not worth the time of a question. The caller passes the answer to [Placer.RecordLoad], or
// calls [Placer.LoadCheckFailed].
func (p *Placer) NeedsLoadCheck(now time.Time, c Pick) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[c.Upstream.Name]
	if !ok {
		return false
	}
	mean := p.rates.Slowdown(u.Service)
	return mean >= minCheckedSlowdown && float64(c.Estimate)*(mean-1) >= float64(minCheckGain) && now.Sub(u.loadAt) > maxCheckedAge && !now.Before(u.uncheckedTo) && p.loadChecks.take(now)
}

// RecordLoad records the load that an upstream stated when it was asked. It does not count
// as a sign that the upstream serves requests.
func (p *Placer) RecordLoad(now time.Time, name string, l vane.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok {
		u.load, u.loadAt = l, now
		p.rates.ObserveSlowdown(u.Service, l.Slowdown)
	}
}

// LoadCheckFailed records that an upstream did not state its load in time. It is not asked
// for five seconds.
func (p *Placer) LoadCheckFailed(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[name]; ok {
		u.uncheckedTo = now.Add(checkPause)
	}
}
