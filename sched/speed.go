package sched

import (
	"maps"
	"math"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/rates"
)

// Parameters of the estimates.
const (
	// peerTokens is the mean number of prompt tokens that a request of another node still
	// has to compute. Most have their first token already.
	peerTokens = 720.0
	// slowdownTTL is the age from which on a stated slowdown says nothing about the
	// present. Machines that are slow change about every 600 ms.
	slowdownTTL = 600 * time.Millisecond
	// ratesInterval is the time between two messages with learned rates. They change
	// little within seconds, and a node that starts hears many others.
	ratesInterval = 4 * time.Second
)

// speed is how fast the upstreams of a service work.
type speed struct {
	rates.EngineRates
	rates.PlainRates
	slowdown float64 // mean of the slowdowns that they state
}

// speed returns the speed of the upstreams of a service. The caller must hold p.mu.
func (p *Placer) speed(service string) speed {
	return speed{p.rates.Engine(service), p.rates.Plain(service), p.rates.Slowdown(service)}
}

// factor returns the factor on the time that work at u takes. The stated slowdown fades to
// the mean of the service with its age. An upstream that was quick counts as the mean:
// otherwise each node would return to the upstreams that it used last, and a quick one
// would get the requests of all nodes that saw it.
func (s speed) factor(now time.Time, u *upstream) float64 {
	age := float64(now.Sub(u.loadAt)) / float64(slowdownTTL)
	if u.load.Slowdown <= s.slowdown || age >= 1 {
		return s.slowdown
	}
	return s.slowdown + (min(u.load.Slowdown, maxSlowdown)-s.slowdown)*(1-max(0, age))
}

// maxSlowdown is the largest slowdown that counts. An upstream that states nonsense is
// avoided for slowdownTTL only.
const maxSlowdown = 4.0

// work is the work that an upstream has to do before a new request.
type work struct {
	tokens  float64 // prompt tokens
	busy    float64 // requests at the upstream
	waiting float64 // requests in its queue
}

// ahead estimates the work before a new request. peers is the number of requests that the
// other nodes have in flight at the upstream.
func (u *upstream) ahead(now time.Time, peers int) work {
	w := work{tokens: float64(u.pending) + peerTokens*float64(peers), busy: float64(u.inFlight + peers)}
	if now.Sub(u.loadAt) < loadTTL {
		w.busy = max(w.busy, float64(u.load.Running+u.load.Waiting))
		w.waiting = float64(u.load.Waiting)
	}
	return w
}

// plainMS returns the milliseconds that a plain service with so many slots is expected to
// take, and those by which upstreams are compared. The latter rise with each request, so
// that requests spread over upstreams that have free slots.
func (s speed) plainMS(w work, slots int) (expected, compared float64) {
	n := float64(max(1, slots))
	expected = s.WorkMS * (1 + max(0, w.busy+1-n)/n)
	compared = s.WorkMS * (1 + w.busy/n*(1+math.Floor(w.busy/n)))
	return expected, compared
}

// newSample returns what is known of a request's time to the first token when it is sent.
func newSample(q Query, c Pick, w work) rates.Sample {
	guess := float64(c.UncachedTokens)
	return rates.Sample{
		Plain: c.Upstream.Role != vane.RoleEngine, Busy: w.busy, Waiting: w.waiting, Slots: c.Upstream.Slots,
		MinTokens: min(guess, float64(max(0, q.PromptTokens-c.SharedTokens))), Tokens: guess, MaxTokens: max(guess, float64(q.PromptTokens)), AheadTokens: w.tokens,
	}
}

// learn records the time to the first token of an attempt. The caller must hold p.mu.
func (p *Placer) learn(now time.Time, u *upstream, t *Attempt) {
	ms := float64(now.Sub(t.sent)) / float64(time.Millisecond)
	if t.objective > 0 {
		p.metrics.observeError(t.service, math.Abs(ms-float64(t.estimate)/float64(time.Millisecond))/float64(t.objective.Milliseconds()))
	}
	fresh := !u.loadAt.Before(t.sent)
	// Answers after a load check come from upstreams that were chosen for being quick, and
	// would lower the mean.
	if fresh && !t.checked {
		p.rates.ObserveSlowdown(t.service, u.load.Slowdown)
	}
	if t.unmeasured {
		return
	}
	t.sample.FirstMS = ms - t.fetchMS // no sample if it is not positive
	if fresh {
		t.sample.Slowdown, t.sample.Queued = u.load.Slowdown, float64(u.load.Waiting)
	}
	p.rates.Observe(t.service, t.sample)
}

// SkipSample excludes an attempt from the learned rates, since its answer does not show how
// long the work takes, such as that of an error.
func (p *Placer) SkipSample(t *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.unmeasured = true
}

// TakeRates returns what this node has learned about each service, for the other nodes. It
// returns nil if that was done less than four seconds ago.
func (p *Placer) TakeRates(now time.Time) map[string]rates.Learned {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ratesTaken.IsZero() && now.Sub(p.ratesTaken) < ratesInterval {
		return nil
	}
	l := p.rates.Export()
	if len(l) > 0 {
		p.ratesTaken = now
	}
	return l
}

// ApplyRates replaces what another node has learned, as returned by [Placer.TakeRates]
// there. Unknown services are ignored. An empty map removes the node.
func (p *Placer) ApplyRates(node string, l map[string]rates.Learned) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := maps.Clone(l)
	maps.DeleteFunc(known, func(service string, _ rates.Learned) bool { return !p.knowsService(service) })
	p.rates.Import(node, known)
}

// TakeRateChanges returns the services of which a rate has moved by more than a quarter
// since it was last returned, and updates the metrics of all services.
func (p *Placer) TakeRateChanges() []rates.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rates.Each(func(service string, r rates.Rates) { p.metrics.setRates(service, r, p.rates.Slowdown(service)) })
	return p.rates.TakeChanges()
}
