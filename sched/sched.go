package sched

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Query asks for an upstream.
type Query struct {
	Service   string
	Model     string
	Wall      string // workspace if it shares no cache with others, else empty
	Parts     []vane.Part
	Prompt    int // tokens
	Bytes     int // of the request
	Objective time.Duration
	Avoid     []string // upstreams that are not to be chosen
}

// Shared returns the parts that other requests can have in common with q.
func (q Query) Shared() []vane.Part {
	if len(q.Parts) < 2 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// Pick is a chosen upstream.
type Pick struct {
	Upstream vane.Upstream
	Weights  uint64 // that it is believed to serve; zero for plain services
	Salt     string
	Fetch    string // address of a cache that holds shared parts; empty for none
	Save     string // address of the cache store, if the parts are to be saved
	Price    float64
	Estimate time.Duration
	LoadAge  time.Duration // age of the upstream's own word on its load
	Missing  int           // tokens expected to be computed
}

// Ticket is a request that was sent to an upstream.
type Ticket struct {
	name    string
	tokens  int // still to be computed
	sent    time.Time
	started bool
	ended   bool
}

// Placer chooses upstreams. It is safe for concurrent use.
type Placer struct {
	dc    string
	cache Cache

	mu    sync.Mutex
	view  *mirror.View
	ups   map[string]*upstream
	bySvc map[string][]*upstream
	peers map[string]map[string]int // requests in flight by node and upstream
}

// Cache knows what the cache store holds.
type Cache interface {
	// Holds says whether the store holds the part under the salt.
	Holds(salt, part string) bool
	// Addr returns the store's address, or false while it does not answer.
	Addr() (string, bool)
}

// New returns a placer of a node in the data centre.
func New(dataCentre string, c Cache) *Placer {
	return &Placer{
		dc: dataCentre, cache: c, view: &mirror.View{}, ups: make(map[string]*upstream),
		bySvc: make(map[string][]*upstream), peers: make(map[string]map[string]int),
	}
}

// Update takes a new view of the upstreams.
func (p *Placer) Update(v *mirror.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	p.bySvc = make(map[string][]*upstream)
	for name := range p.ups {
		if _, ok := v.Upstreams[name]; !ok {
			delete(p.ups, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Upstreams)) {
		u := v.Upstreams[name]
		s, ok := p.ups[name]
		if !ok || s.Incarnation != u.Incarnation {
			s = &upstream{parts: newPartSet(v, u)}
			p.ups[name] = s
		}
		s.take(u)
		p.bySvc[u.Service] = append(p.bySvc[u.Service], s)
	}
}

// Pick chooses an upstream. It returns false if none can take the request now.
func (p *Placer) Pick(now time.Time, q Query) (Pick, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.Objective <= 0 {
		q.Objective = defaultTarget
	}
	named := p.view.Weights[q.Model]
	homes := p.homes(now, q)
	var best Pick
	found := false
	for _, u := range p.bySvc[q.Service] {
		if slices.Contains(q.Avoid, u.Name) || !u.usable(now) {
			continue
		}
		c := p.price(now, q, u, named, homes[u.Weights])
		if !found || c.Price < best.Price {
			best, found = c, true
		}
	}
	return best, found
}

// homes returns the upstream that all nodes prefer for the prompt, for each number
// of weights in use.
func (p *Placer) homes(now time.Time, q Query) map[uint64]string {
	shared := q.Shared()
	if len(shared) == 0 {
		return nil
	}
	part := shared[len(shared)-1].ID
	out := make(map[uint64]string)
	best := make(map[uint64]float64)
	for _, u := range p.bySvc[q.Service] {
		if u.Role != vane.RoleEngine || !u.usable(now) {
			continue
		}
		a := affinity(part, u.Name)
		if b, ok := best[u.Weights]; !ok || a < b {
			best[u.Weights], out[u.Weights] = a, u.Name
		}
	}
	return out
}

// price returns what sending the request to u would cost.
func (p *Placer) price(now time.Time, q Query, u *upstream, named mirror.Weights, home string) Pick {
	c := Pick{Upstream: u.Upstream, Weights: u.Weights, LoadAge: now.Sub(u.loadAt)}
	price := 0.0
	if u.DataCentre != p.dc {
		price += farShare * float64(q.Bytes)
	}
	ms := u.queueMS(p.inFlight(u.Name))
	if u.Role == vane.RoleEngine {
		if u.Weights < named.Number && now.Sub(named.Since) > oldGrace {
			price += oldShare
		}
		c.Salt = q.Wall + "|" + q.Model + "|" + strconv.FormatUint(u.Weights, 10)
		ms += engineMS + p.prompt(q, u, &c, &price, home)
	}
	if u.doubted(now) {
		price += unknownShare
	}
	x := ms / float64(q.Objective.Milliseconds())
	price += lateShare*lateRisk(x) + delayShare*x
	c.Price, c.Estimate = price, time.Duration(ms*float64(time.Millisecond))
	return c
}

// prompt adds what the prompt costs at u to price and returns the milliseconds to
// compute what is missing.
func (p *Placer) prompt(q Query, u *upstream, c *Pick, price *float64, home string) float64 {
	shared := q.Shared()
	tokens, local, stored := 0, 0, 0
	localOK, storedOK := true, true
	for _, part := range shared {
		tokens += part.Tokens
		localOK = localOK && u.parts.has(c.Salt, part.ID)
		storedOK = storedOK && p.cache.Holds(c.Salt, part.ID)
		if localOK {
			local = tokens
		}
		if storedOK {
			stored = tokens
		}
	}
	addr, up := p.cache.Addr()
	ms := 0.0
	have := local
	if up && stored > 0 {
		c.Fetch = addr
		if stored > local {
			have, ms = stored, fetchMS
		}
	}
	if up && stored < tokens {
		c.Save = addr
	}
	missing := tokens - have
	if len(shared) > 0 {
		*price += homeShare * affinity(shared[len(shared)-1].ID, u.Name)
		if u.Name != home {
			// What no cache is known to hold is computed at one upstream, whatever its
			// data centre: elsewhere it would be computed again.
			*price += rereadShare * float64(missing)
		}
	}
	c.Missing = max(0, q.Prompt-have)
	return ms + float64(c.Missing)/prefillPerMS
}

// inFlight returns the requests that other nodes have in flight at an upstream.
func (p *Placer) inFlight(name string) int {
	n := 0
	for _, m := range p.peers {
		n += m[name]
	}
	return n
}

// Begin notes that a request is sent.
func (p *Placer) Begin(now time.Time, q Query, c Pick) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &Ticket{name: c.Upstream.Name, tokens: c.Missing, sent: now}
	if u, ok := p.ups[t.name]; ok {
		u.begin(t)
		for _, part := range q.Shared() {
			u.parts.add(c.Salt, part.ID, part.Tokens)
		}
	}
	return t
}

// First notes the first bytes of the answer.
func (p *Placer) First(now time.Time, t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[t.name]; ok && !t.started {
		u.first(now, t)
	}
	t.started = true
}

// End notes the end of an exchange.
func (p *Placer) End(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[t.name]; ok && !t.ended {
		u.end(t)
	}
	t.ended = true
}

// Observe takes what an upstream's answer says about itself. It returns true if
// the upstream serves other weights than were believed.
func (p *Placer) Observe(now time.Time, name string, m vane.AnswerMeta) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.ups[name]
	if !ok {
		return false
	}
	u.answered(now)
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

// Serves notes the weights that an upstream is known to serve.
func (p *Placer) Serves(name string, weights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		u.setWeights(weights)
	}
}

// Loading sets an upstream aside while it loads weights, until at most the given
// time. A zero time ends it.
func (p *Placer) Loading(name string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		u.loadingUntil = until
	}
}

// Failed notes that an upstream did not serve an attempt, and returns for how long
// it is set aside.
func (p *Placer) Failed(now time.Time, name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		return u.failed(now)
	}
	return 0
}

// Full notes that an upstream refused a request for lack of room.
func (p *Placer) Full(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok {
		u.fullUntil = now.Add(fullPause)
	}
}

// SetPeer takes the requests that another node has in flight.
func (p *Placer) SetPeer(node string, inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(inFlight) == 0 {
		delete(p.peers, node)
		return
	}
	p.peers[node] = inFlight
}

// Own returns the requests that this node has in flight, by upstream.
func (p *Placer) Own() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int)
	for name, u := range p.ups {
		if u.inFlight > 0 {
			out[name] = u.inFlight
		}
	}
	return out
}

// Engine is what the placer knows of an engine, for the choice of orders.
type Engine struct {
	vane.Upstream
	InFlight int
	Loading  bool
	Set      bool // set aside after failures
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
				Loading: now.Before(u.loadingUntil), Set: now.Before(u.asideUntil),
			})
		}
	}
	slices.SortFunc(out, func(a, b Engine) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Overdue returns the upstreams that keep requests waiting for longer than limit
// without a sign of life, and sets them aside.
func (p *Placer) Overdue(now time.Time, limit time.Duration) []string {
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
