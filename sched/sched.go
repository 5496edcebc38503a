package sched

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/rates"
)

// Attempt is a request that was sent to an upstream. It is created by [Placer.Begin] and
// passed to the methods that report its progress.
type Attempt struct {
	id       string    // ID of the request
	name     string    // name of the upstream
	upstream *upstream // its state when the request was sent; nil if it was not known
	model    string
	weights  uint64    // number of the engine's weights when the request was sent; zero for plain services
	kind     *kindLoad // load of the service's requests with such prompts; nil if the length of the prompt is not known
	tokens   int       // prompt tokens still to be computed
	sent     time.Time // time at which the request was sent
	heard    time.Time // time of the last event of the answer; zero unless the answer is a stream that has begun
	started  bool      // the first bytes of the answer have arrived
	ended    bool      // End was called
	service  string
	sample   rates.Sample // what is known about the time to the first token when the request is sent

	estimate, objective time.Duration // of the time to the first token
	fetchMS             float64       // part of the estimate for fetching parts, in milliseconds
	checked             bool          // the upstream was asked for its load just before
	unmeasured          bool          // the attempt does not count for the rates
	repeatable          bool          // the request may be sent to another upstream
	withdraw            func()        // set by OnExpire; nil if there is none
}

// Placer chooses upstreams. It is safe for concurrent use. The times that its methods
// take must come from the clock of the view's times. That clock has to continue while the
// host is suspended, since the upstreams are not.
type Placer struct {
	dataCentre   string
	weightsLimit time.Duration // time from the announcement of new weights until engines with older ones get no requests
	cache        StoreIndex
	cold         ColdLimiter       // nil if there is none
	regions      map[string]string // region by data centre
	stall        stall

	mu          sync.Mutex
	view        *mirror.View
	upstreams   map[string]*upstream               // upstreams by name
	byService   map[string][]*upstream             // upstreams by service, sorted by rank
	waiting     map[*Attempt]struct{}              // requests at engines without a first byte, also at engines whose entries are gone
	peers       map[string]peerLoad                // what other nodes told of their requests, by node
	peerTotals  map[string]peerTotal               // sums of peers by upstream
	peerWork    map[string]map[string]admit.Report // work by node and service
	workTotals  map[string]admit.Report            // sums of peerWork by service
	releases    map[string]ReleaseShare            // limits by service
	saves       *saveLog
	updates     map[string][]uint64 // packed parts that were sent to engines since the last TakeCacheUpdates, by engine name
	storeLink   storeLink
	prefillRate tokenRate           // rate of the uncached prompt tokens of all requests of this node
	telling     map[string]struct{} // nodes that tell their outstanding prompts
	mixes       map[string]*mix     // loads by service
	epoch       time.Time           // time of the first message of another node
	rates       *rates.Estimator
	ratesTaken  time.Time // time of the last TakeRates that returned any
	loadChecks  loadChecks
	metrics     *Metrics
}

// StoreIndex tells what the cache store holds. Its methods are called with the placer
// locked, so that they must not block or call the placer.
type StoreIndex interface {
	// Holds reports whether the store holds the part under the salt.
	Holds(salt, part string) bool
	// Addr returns the store's address, or false while the store does not answer.
	Addr() (string, bool)
}

// Option configures a placer.
type Option func(*Placer)

// WithWeightsLimit sets the time from the announcement of new weights until engines that
// still serve older ones get no requests. The default is 12 seconds.
func WithWeightsLimit(d time.Duration) Option { return func(p *Placer) { p.weightsLimit = d } }

// New returns a placer without upstreams for a node in the given data centre.
func New(dataCentre string, c StoreIndex, opts ...Option) *Placer {
	p := &Placer{
		dataCentre: dataCentre, weightsLimit: defaultWeightsLimit, cache: c, view: &mirror.View{}, upstreams: make(map[string]*upstream),
		byService: make(map[string][]*upstream), waiting: make(map[*Attempt]struct{}), peers: make(map[string]peerLoad), peerTotals: make(map[string]peerTotal), telling: make(map[string]struct{}), mixes: make(map[string]*mix), peerWork: make(map[string]map[string]admit.Report), workTotals: make(map[string]admit.Report),
		saves: newSaveLog(), updates: make(map[string][]uint64), rates: rates.New(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Update replaces the view of the upstreams. The state of an upstream is kept as long as
// its incarnation stays the same.
func (p *Placer) Update(v *mirror.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	p.storeLink.update(v)
	p.byService = make(map[string][]*upstream)
	for name := range p.upstreams {
		if _, ok := v.Upstreams[name]; !ok {
			delete(p.upstreams, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Upstreams)) {
		u := v.Upstreams[name]
		s, ok := p.upstreams[name]
		if !ok || s.Incarnation != u.Incarnation {
			s = &upstream{parts: newPartSet(v, u), rank: rendezvousHash(orderHashKey, name)}
			p.upstreams[name] = s
		}
		s.update(u)
		p.byService[u.Service] = append(p.byService[u.Service], s)
	}
	p.rates.Keep(p.knowsService)
	maps.DeleteFunc(p.mixes, func(service string, _ *mix) bool { return !p.knowsService(service) })
	p.configureCold()
	for _, l := range p.byService {
		slices.SortFunc(l, func(a, b *upstream) int { return cmp.Compare(a.rank, b.rank) })
	}
}

// knowsService reports whether a service has upstreams or is configured. The caller must
// hold p.mu.
func (p *Placer) knowsService(name string) bool {
	if len(p.byService[name]) > 0 || p.view.Config == nil {
		return true
	}
	_, ok := p.view.Config.Service(name)
	return ok
}

// Begin records that a request is sent to the picked upstream. The caller must pass the
// returned attempt to [Placer.End] when the exchange is over.
func (p *Placer) Begin(now time.Time, q Query, c Pick) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefillRate.add(now, c.UncachedTokens)
	t := &Attempt{
		id: q.ID, name: c.Upstream.Name, model: q.Model, weights: c.Weights, kind: p.kindOf(q), tokens: c.UncachedTokens, sent: now, service: q.Service,
		estimate: c.Estimate, objective: q.Objective, fetchMS: c.fetchMS, repeatable: q.Repeatable,
	}
	if t.objective <= 0 {
		t.objective = defaultObjective
	}
	// The computed tokens of a prompt of unknown length are unknown too.
	t.unmeasured = c.Upstream.Role == vane.RoleEngine && q.PromptTokens == 0
	if t.kind != nil {
		t.kind.begin(now, c.UncachedTokens)
	}
	if t.weights != 0 {
		p.waiting[t] = struct{}{}
	}
	if u, ok := p.upstreams[t.name]; ok {
		t.upstream = u
		t.checked = now.Sub(u.loadAt) <= maxCheckedAge
		t.sample = newSample(q, c, p.ahead(now, u, p.rates.Engine(u.Service).PrefillPerMS))
		u.begin(t)
		p.recordParts(u, q, c)
		if c.fetchesFromStore {
			p.storeLink.recordTransfer(now, q.PromptTokens-c.UncachedTokens)
		}
		if shared := q.Shared(); c.SaveTo != "" && len(shared) > 0 {
			p.saves.record(now, c.Salt, shared[len(shared)-1].ID)
			p.storeLink.recordTransfer(now, q.PromptTokens)
		}
	}
	return t
}

// FirstByte records that the first bytes of the answer arrived. Further calls for the
// same attempt have no effect.
func (p *Placer) FirstByte(now time.Time, t *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreamOf(t); u != nil && !t.started {
		u.firstByte(now, t)
		p.learn(now, u, t)
	}
	t.started = true
	delete(p.waiting, t)
}

// Event records that an event of a stream arrived, or a comment after its first event.
// resumable is whether another upstream can go on after it. [Placer.FirstByte] must have been
// called for the attempt.
func (p *Placer) Event(now time.Time, t *Attempt, resumable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.heard = now
	t.repeatable = t.repeatable && resumable
	if u := p.upstreamOf(t); u != nil && !t.ended {
		u.respondedAt = now
		u.streams[t] = struct{}{}
	}
}

// End records the end of an attempt, successful or not. Further calls for the same
// attempt have no effect.
func (p *Placer) End(now time.Time, t *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(p.waiting, t)
	if u := p.upstreamOf(t); u != nil {
		u.end(t)
	}
	if t.kind != nil {
		t.kind.running.add(now, -1)
	}
}

// upstreamOf returns the state of the upstream that the attempt was sent to, or nil if its
// entry is gone or of another incarnation meanwhile. The caller must hold p.mu.
func (p *Placer) upstreamOf(t *Attempt) *upstream {
	if u := p.upstreams[t.name]; u != nil && u == t.upstream {
		return u
	}
	return nil
}

// InFlight returns the numbers of requests that this node has in flight, by upstream.
// Upstreams without requests are left out.
func (p *Placer) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int)
	for name, u := range p.upstreams {
		if u.inFlight > 0 {
			out[name] = u.inFlight
		}
	}
	return out
}
