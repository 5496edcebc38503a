package rates

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// EngineRates describe the engines of a service.
type EngineRates struct {
	PrefillPerMS float64 // prompt tokens that an engine computes per millisecond
	BaseMS       float64 // time to the first token at an idle engine in milliseconds, not counting the computation of the prompt
	RunningMS    float64 // delay of the first token for each other request at the engine, in milliseconds
	WaitingMS    float64 // further delay for each request in the engine's queue, in milliseconds
}

// FirstTokenMS returns the estimated milliseconds to the first token of a request at an
// engine that has to compute the tokens first, with busy requests and waiting ones.
func (r EngineRates) FirstTokenMS(tokens, busy, waiting float64) float64 {
	return r.BaseMS + tokens/r.PrefillPerMS + r.RunningMS*busy + r.WaitingMS*waiting
}

// PlainRates describe the upstreams of a plain service.
type PlainRates struct {
	WorkMS float64 // service time of a request in milliseconds, not counting the wait for a slot
}

// Rates are the rates of one service. Only one of the two kinds applies.
type Rates struct {
	EngineRates
	PlainRates
}

// defaultRates are the rates that are assumed without samples. They were measured on the
// sites of docs/design/0010-routed-sites.md.
var defaultRates = Rates{
	EngineRates: EngineRates{PrefillPerMS: 90, BaseMS: 90, RunningMS: 0.6, WaitingMS: 35},
	PlainRates:  PlainRates{WorkMS: 30},
}

// Bounds of what is believed. They are wider than any known deployment. With the slowest
// rates, a prompt of 9,190 tokens still takes 1.2 s at an idle engine and plain work 0.3 s,
// so that no estimate keeps requests from upstreams that could show otherwise.
var (
	lowest  = Rates{EngineRates{PrefillPerMS: 10, BaseMS: 1, RunningMS: 0, WaitingMS: 0}, PlainRates{WorkMS: 1}}
	highest = Rates{EngineRates{PrefillPerMS: 1000, BaseMS: 300, RunningMS: 5, WaitingMS: 300}, PlainRates{WorkMS: 300}}
)

// Limits of samples, of what is kept, and of when values are used.
const (
	maxFirstMS        = 60_000.0   // longer times are those of failures
	maxTokens         = 10_000_000 // tokens of a prompt, and of all prompts ahead of it
	maxQueueShare     = 0.25       // share of the time up to which a queue that was not known before may explain it
	maxRequests       = 100_000    // requests at an upstream
	maxSlowdown       = 4.0        // larger slowdowns count as this one, so that one upstream that states nonsense hardly moves the mean of its service
	slowdownWeight    = 1.0 / 64   // weight of a sample in the mean slowdown
	minEngineSamples  = 24         // samples after which an engine's rates are fitted; with fewer, the four values can't be told apart
	engineWindow      = 160        // latest samples that are fitted
	engineRefit       = 16         // samples between two fits until engineWindow is full, then twice as many: a fit takes about 2 ms
	minPlainSamples   = 8          // samples after which a service time is taken from them
	plainWindow       = 64         // latest service times of which the median is taken
	plainRefit        = 4          // samples between two medians
	peerWeight        = 64.0       // number of own samples at which own rates and those of the other nodes count the same
	maxPeers          = 1024       // nodes whose rates are kept
	maxPeerServices   = 64         // services of another node that are kept
	maxSamplesClaimed = 1 << 20    // largest number of samples that another node may state
	changeFactor      = 1.25       // ratio above which a change is reported
)

// Sample is what one request showed. Times are without the transfer of cached parts.
type Sample struct {
	Plain    bool    // the upstream is one of a plain service, which has no tokens
	FirstMS  float64 // time from sending until the first token, or the whole answer of a plain service, in milliseconds
	Busy     float64 // other requests at the upstream when the request was sent, as far as known
	Waiting  float64 // requests in its queue according to its last load report, zero if there is none
	Queued   float64 // requests in its queue when it answered
	Slots    int     // requests that it serves at once; zero if unknown
	Slowdown float64 // slowdown that the response stated; zero if none

	MinTokens   float64 // prompt tokens that the engine computed if all shared parts were cached
	Tokens      float64 // prompt tokens that it was expected to compute
	MaxTokens   float64 // prompt tokens that it computed if no part was cached
	AheadTokens float64 // tokens of other prompts that it was expected to compute before
}

// valid reports whether all values are within their limits.
func (s Sample) valid() bool {
	in := func(x, high float64) bool { return x >= 0 && x <= high } // false for NaN
	return s.FirstMS > 0 && in(s.FirstMS, maxFirstMS) && in(s.Busy, maxRequests) && in(s.Waiting, maxRequests) && in(s.Queued, maxRequests) && s.Slots >= 0 &&
		in(s.MinTokens, s.Tokens) && in(s.Tokens, s.MaxTokens) && in(s.MaxTokens, maxTokens) && in(s.AheadTokens, maxTokens) && in(s.Slowdown, math.MaxFloat64)
}

// Learned are the rates of a service that a node has learned itself.
type Learned struct {
	Rates
	Samples int // samples that they rest on
}

// Change is a change of the rates of a service.
type Change struct {
	Service       string
	Before, After Rates
	Samples       int // own samples
	Peers         int // nodes whose rates are used
}

// Estimator learns the rates of services. It is not safe for concurrent use.
type Estimator struct {
	prior    Rates
	services map[string]*service
	peers    map[string]map[string]Learned // by node and service
}

// service is the state of one service.
type service struct {
	engine   []engineSample // latest samples, as a ring
	plain    []float64      // latest service times in milliseconds, as a ring
	samples  int            // all valid samples
	unfitted int            // samples since the last fit
	fitted   bool           // own has been learned
	own      Rates
	used     Rates
	reported Rates // at the last change that was returned
	slowdown float64
	peers    int // nodes whose rates were used
	imports  int // changes of what other nodes have learned that were not combined yet
}

// Option configures an estimator.
type Option func(*Estimator)

// WithEngineRates sets the rates that are assumed for engines without samples.
func WithEngineRates(r EngineRates) Option { return func(e *Estimator) { e.prior.EngineRates = r } }

// WithPlainRates sets the rates that are assumed for plain services without samples.
func WithPlainRates(r PlainRates) Option { return func(e *Estimator) { e.prior.PlainRates = r } }

// New returns an estimator without samples.
func New(opts ...Option) *Estimator {
	e := &Estimator{prior: defaultRates, services: make(map[string]*service), peers: make(map[string]map[string]Learned)}
	for _, o := range opts {
		o(e)
	}
	e.prior, _ = bounded(e.prior)
	return e
}

// Engine returns the rates of the engines of a service.
func (e *Estimator) Engine(service string) EngineRates { return e.rates(service).EngineRates }

// Plain returns the rates of a plain service.
func (e *Estimator) Plain(service string) PlainRates { return e.rates(service).PlainRates }

// rates returns the rates that are used for a service.
func (e *Estimator) rates(service string) Rates {
	if s, ok := e.services[service]; ok {
		return s.used
	}
	return e.prior
}

// Slowdown returns the mean slowdown that the service's upstreams stated lately, 1 if they
// stated none.
func (e *Estimator) Slowdown(service string) float64 {
	if s, ok := e.services[service]; ok && s.slowdown > 0 {
		return s.slowdown
	}
	return 1
}

// state returns the state of a service.
func (e *Estimator) state(name string) *service {
	s, ok := e.services[name]
	if !ok {
		s = &service{own: e.prior, used: e.prior, reported: e.prior}
		e.services[name] = s
	}
	return s
}

// ObserveSlowdown adds a slowdown that an upstream of a service stated. Zero and impossible
// values are ignored.
func (e *Estimator) ObserveSlowdown(name string, slowdown float64) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return
	}
	s := e.state(name)
	if s.slowdown == 0 {
		s.slowdown = 1
	}
	s.slowdown += (limited(slowdown) - s.slowdown) * slowdownWeight
}

// limited returns a stated slowdown within the bounds that count.
func limited(slowdown float64) float64 {
	return min(max(slowdown, 1/maxSlowdown), maxSlowdown)
}

// Observe adds a sample of a service. Samples with impossible values are ignored, and those
// of engines with a long queue that was not known when the request was sent. Otherwise, an
// overload would be taken for slow engines, and the estimates would outlast it. The
// slowdown of the sample does not count for the mean, see [Estimator.ObserveSlowdown].
func (e *Estimator) Observe(name string, x Sample) {
	if !x.valid() {
		return
	}
	if !x.Plain && e.prior.unknownQueueMS(x) > maxQueueShare*x.FirstMS {
		return
	}
	s := e.state(name)
	slowdown := 1.0
	if x.Slowdown > 0 {
		slowdown = limited(x.Slowdown)
	}
	refit := engineRefit
	if x.Plain {
		slots := float64(max(1, x.Slots))
		refit = plainRefit
		s.plain = appendRing(s.plain, x.FirstMS/slowdown/(1+max(0, x.Busy+1-slots, x.Queued)/slots), s.samples, plainWindow)
	} else {
		s.engine = appendRing(s.engine, e.prior.newSample(x, slowdown), s.samples, engineWindow)
		if s.samples > engineWindow {
			refit = 2 * engineRefit
		}
	}
	s.samples++
	if s.unfitted++; s.unfitted < refit {
		return
	}
	s.unfitted = 0
	switch {
	case x.Plain && len(s.plain) >= minPlainSamples:
		sorted := slices.Clone(s.plain)
		slices.Sort(sorted)
		s.own.WorkMS, s.fitted = sorted[len(sorted)/2], true
	case !x.Plain && len(s.engine) >= minEngineSamples:
		fit := fitEngine(e.prior.EngineRates, s.engine)
		if s.fitted {
			fit = midway(s.own.EngineRates, fit) // the first fit replaces the prior, which may be wrong by a factor
		}
		s.own.EngineRates, s.fitted = fit, true
	}
	s.own, _ = bounded(s.own)
	e.combine(name, s)
}

// appendRing adds a value to the last size values, of which n were added before.
func appendRing[T any](ring []T, x T, n, size int) []T {
	if len(ring) < size {
		return append(ring, x)
	}
	ring[n%size] = x
	return ring
}

// midway returns the rates between two, so that a single fit moves learned rates only by half.
func midway(a, b EngineRates) EngineRates {
	return EngineRates{
		PrefillPerMS: math.Sqrt(a.PrefillPerMS * b.PrefillPerMS), BaseMS: (a.BaseMS + b.BaseMS) / 2,
		RunningMS: (a.RunningMS + b.RunningMS) / 2, WaitingMS: (a.WaitingMS + b.WaitingMS) / 2,
	}
}

// combine sets the rates that are used for a service, from those that this node and the
// others have learned.
func (e *Estimator) combine(name string, s *service) {
	s.imports = 0
	var others []Rates
	for _, l := range e.peers {
		if r, ok := l[name]; ok {
			others = append(others, r.Rates)
		}
	}
	s.peers = len(others)
	s.used = s.own
	if len(others) == 0 {
		return
	}
	own := 0.0
	if s.fitted {
		own = float64(s.samples) / (float64(s.samples) + peerWeight)
	}
	for i, v := range values(&s.used) {
		m := median(others, i)
		*v = own**v + (1-own)*m
	}
}

// values returns the values of r.
func values(r *Rates) [5]*float64 {
	return [5]*float64{&r.PrefillPerMS, &r.BaseMS, &r.RunningMS, &r.WaitingMS, &r.WorkMS}
}

// median returns the median of value i of the rates of several nodes, so that a few that
// are wrong do not matter.
func median(l []Rates, i int) float64 {
	x := make([]float64, len(l))
	for k := range l {
		x[k] = *values(&l[k])[i]
	}
	slices.Sort(x)
	return (x[len(x)/2] + x[(len(x)-1)/2]) / 2
}

// bounded returns r with all values within their bounds. It returns false if any was not
// or is no number.
func bounded(r Rates) (Rates, bool) {
	ok := true
	low, high := lowest, highest
	for i, v := range values(&r) {
		l, h := *values(&low)[i], *values(&high)[i]
		if *v >= l && *v <= h {
			continue
		}
		ok = false
		if math.IsNaN(*v) {
			*v = l
		}
		*v = min(max(*v, l), h)
	}
	return r, ok
}

// Export returns what this node has learned itself, by service, for the other nodes.
func (e *Estimator) Export() map[string]Learned {
	var out map[string]Learned
	for name, s := range e.services {
		if !s.fitted {
			continue
		}
		if out == nil {
			out = make(map[string]Learned)
		}
		out[name] = Learned{Rates: s.own, Samples: min(s.samples, maxSamplesClaimed)}
	}
	return out
}

// Import replaces what another node has learned. Rates out of bounds are left out. An
// empty map removes the node.
func (e *Estimator) Import(node string, l map[string]Learned) {
	touched := e.peers[node]
	valid := make(map[string]Learned)
	for name, r := range l {
		if _, ok := bounded(r.Rates); ok && r.Samples >= minPlainSamples && r.Samples <= maxSamplesClaimed && len(valid) < maxPeerServices {
			valid[name] = r
		}
	}
	if _, ok := e.peers[node]; !ok && len(e.peers) >= maxPeers {
		return
	}
	delete(e.peers, node)
	if len(valid) > 0 {
		e.peers[node] = valid
	}
	for name := range touched {
		e.imported(name)
	}
	for name := range valid {
		if _, ok := touched[name]; !ok {
			e.imported(name)
		}
	}
}

// combineShare is the share of the nodes of which news are combined at once. Combining sorts
// the rates of all nodes, so that doing it for each message would cost time with the square of
// their number.
const combineShare = 1.0 / 16

// imported notes that what a node has learned about a service has changed.
func (e *Estimator) imported(name string) {
	s := e.state(name)
	if s.imports++; float64(s.imports) >= combineShare*float64(len(e.peers)) {
		e.combine(name, s)
	}
}

// KeepPeers removes what the nodes have learned for which keep returns false.
func (e *Estimator) KeepPeers(keep func(node string) bool) {
	for node := range e.peers {
		if !keep(node) {
			e.Import(node, nil)
		}
	}
}

// Keep removes the services for which keep returns false, such as those that are no longer
// configured.
func (e *Estimator) Keep(keep func(service string) bool) {
	maps.DeleteFunc(e.services, func(name string, _ *service) bool { return !keep(name) })
}

// Each calls f with the rates that are used for each service with own samples or those of
// other nodes.
func (e *Estimator) Each(f func(service string, r Rates)) {
	for name, s := range e.services {
		f(name, s.used)
	}
}

// TakeChanges returns the services of which a rate has moved by more than a quarter since
// it was last returned, sorted by name.
func (e *Estimator) TakeChanges() []Change {
	var out []Change
	for name, s := range e.services {
		before := s.reported
		was, is := values(&before), values(&s.used)
		for i := range was {
			if *is[i] > changeFactor**was[i] || *was[i] > changeFactor**is[i] {
				out = append(out, Change{Service: name, Before: before, After: s.used, Samples: s.samples, Peers: s.peers})
				s.reported = s.used
				break
			}
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
