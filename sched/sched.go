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
	Shared   int           // tokens that other requests may have in common
	Stored   int           // of these, tokens that the cache store holds
	Copies   int           // engines that are believed to hold all shared parts
	Held     bool          // the chosen one is among them

	moves bool // shared parts will be moved from the cache store
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
	limit time.Duration // by when named weights must be in use
	cache Cache

	mu    sync.Mutex
	view  *mirror.View
	ups   map[string]*upstream
	bySvc map[string][]*upstream
	peers map[string]map[string]int // requests in flight by node and upstream
	saves *saveLog
	news  map[string][]uint64 // parts read since the last message to the other nodes
	store storeLoad
}

// Cache knows what the cache store holds.
type Cache interface {
	// Holds says whether the store holds the part under the salt.
	Holds(salt, part string) bool
	// Addr returns the store's address, or false while it does not answer.
	Addr() (string, bool)
}

// Option changes a placer under construction.
type Option func(*Placer)

// WithWeightsLimit sets by when named weights must be in use. Engines that are
// behind for longer get no requests.
func WithWeightsLimit(d time.Duration) Option { return func(p *Placer) { p.limit = d } }

// New returns a placer of a node in the data centre.
func New(dataCentre string, c Cache, opts ...Option) *Placer {
	p := &Placer{
		dc: dataCentre, limit: defaultLimit, cache: c, view: &mirror.View{}, ups: make(map[string]*upstream),
		bySvc: make(map[string][]*upstream), peers: make(map[string]map[string]int), saves: newSaveLog(), news: make(map[string][]uint64),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Update takes a new view of the upstreams.
func (p *Placer) Update(v *mirror.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	p.store.update(v)
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
	where := p.holders(now, q)
	var best Pick
	found := false
	for _, u := range p.bySvc[q.Service] {
		if slices.Contains(q.Avoid, u.Name) || !u.usable(now) || p.outdated(now, u, named) {
			continue
		}
		c := p.price(now, q, u, named, where[u.Weights])
		if !found || c.Price < best.Price {
			best, found = c, true
		}
	}
	return best, found
}

// outdated says whether an engine must not get requests any more because of its
// weights. A request may wait at the engine before it begins.
func (p *Placer) outdated(now time.Time, u *upstream, named mirror.Weights) bool {
	return u.Role == vane.RoleEngine && named.Replaced(now, u.Weights) > p.limit-StartMargin
}

// holders is where the shared parts of a prompt are, among the engines of one
// number of weights.
type holders struct {
	home   *upstream   // that all nodes prefer for parts that nobody holds
	best   float64     // affinity of home
	copies []*upstream // that are believed to hold all shared parts
}

// source returns an engine other than u to fetch from, of the data centre dc if
// there is one.
func (h *holders) source(u *upstream, now time.Time) *upstream {
	var out *upstream
	for _, c := range h.copies {
		if c != u && !now.Before(c.asideUntil) && (out == nil || c.DataCentre == u.DataCentre) {
			out = c
		}
	}
	return out
}

// holders looks for the shared parts of a prompt.
func (p *Placer) holders(now time.Time, q Query) map[uint64]*holders {
	shared := q.Shared()
	if len(shared) == 0 {
		return nil
	}
	part := shared[len(shared)-1].ID
	out := make(map[uint64]*holders)
	keys := make(map[uint64][]uint64)
	for _, u := range p.bySvc[q.Service] {
		if u.Role != vane.RoleEngine {
			continue
		}
		h, ok := out[u.Weights]
		if !ok {
			h = &holders{}
			out[u.Weights] = h
			keys[u.Weights] = partKeys(salt(q, u.Weights), shared)
		}
		if u.parts.hasAll(keys[u.Weights]) {
			h.copies = append(h.copies, u)
		}
		if a := affinity(part, u.Name); u.usable(now) && (h.home == nil || a < h.best) {
			h.home, h.best = u, a
		}
	}
	return out
}

// salt returns the name under which an engine caches the prompt's parts: requests
// share them only within the same wall and for the same weights.
func salt(q Query, weights uint64) string {
	return q.Wall + "|" + q.Model + "|" + strconv.FormatUint(weights, 10)
}

// price returns what sending the request to u would cost.
func (p *Placer) price(now time.Time, q Query, u *upstream, named mirror.Weights, h *holders) Pick {
	c := Pick{Upstream: u.Upstream, Weights: u.Weights, LoadAge: now.Sub(u.loadAt)}
	price := 0.0
	if u.DataCentre != p.dc {
		price += farShare * float64(q.Bytes)
	}
	ms := u.queueMS(p.inFlight(u.Name))
	if u.Role == vane.RoleEngine {
		if named.Replaced(now, u.Weights) > oldGrace {
			price += oldShare
		}
		c.Salt = salt(q, u.Weights)
		ms += engineMS + p.prompt(now, q, u, &c, &price, h)
	}
	if u.doubted(now) {
		price += unknownShare
	}
	x := ms / float64(q.Objective.Milliseconds())
	price += lateShare*lateRisk(x) + delayShare*x
	c.Price, c.Estimate = price, time.Duration(ms*float64(time.Millisecond))
	return c
}

// prompt adds what the prompt costs at u to price and returns the milliseconds
// until it is computed. h is where its shared parts are.
func (p *Placer) prompt(now time.Time, q Query, u *upstream, c *Pick, price *float64, h *holders) float64 {
	shared := q.Shared()
	if len(shared) == 0 {
		c.Missing = q.Prompt
		return float64(c.Missing) / prefillPerMS
	}
	tokens, stored := p.stored(c.Salt, shared)
	last := shared[len(shared)-1].ID
	held := slices.Contains(h.copies, u)
	c.Shared, c.Stored, c.Copies, c.Held = tokens, stored, len(h.copies), held
	src := h.source(u, now)
	addr, up := p.cache.Addr()
	wait := p.store.wait(now)
	absent, ms := float64(tokens), 0.0 // shared tokens that must be computed, and the time to fetch the others
	switch {
	case up && stored > 0 && (held || src == nil || wait < engineWaitMS):
		c.Fetch, absent, ms = addr, float64(tokens-stored), wait
		c.moves = !held
	case src != nil:
		c.Fetch, absent, ms = src.Addr, float64(tokens)*(1-heldChance), engineFetchMS
	}
	if up && stored < tokens && p.saves.due(now, c.Salt, last) {
		c.Save = addr
	}
	if held {
		ms *= 1 - heldChance
		absent *= 1 - heldChance
	}
	*price += homeShare * affinity(last, u.Name)
	if u != h.home || len(h.copies) > 0 {
		// What is computed here was computed before, or is being computed, elsewhere.
		*price += rereadShare * absent
	}
	c.Missing = max(0, q.Prompt-tokens+int(absent))
	return ms + float64(c.Missing)/prefillPerMS
}

// stored returns the tokens of the shared parts, and how many of them the cache
// store holds. A part is saved with all parts before it, which are used at least as
// often, so that a held part stands for those as well.
func (p *Placer) stored(salt string, shared []vane.Part) (tokens, stored int) {
	for _, part := range shared {
		tokens += part.Tokens
		if p.cache.Holds(salt, part.ID) {
			stored = tokens
		}
	}
	return tokens, stored
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
		p.read(u, q, c)
		if c.moves {
			p.store.moved(now, q.Prompt-c.Missing)
		}
		if shared := q.Shared(); c.Save != "" && len(shared) > 0 {
			p.saves.note(now, c.Salt, shared[len(shared)-1].ID)
			p.store.moved(now, q.Prompt)
		}
	}
	return t
}

// read notes that an engine will hold the parts of a prompt, and keeps that as
// news for the other nodes.
func (p *Placer) read(u *upstream, q Query, c Pick) {
	for i, k := range partKeys(c.Salt, q.Parts) {
		n := q.Parts[i].Tokens
		u.parts.add(k, n)
		if len(p.news[u.Name]) < maxNews {
			p.news[u.Name] = append(p.news[u.Name], packPart(k, n))
		}
	}
}

// News returns what was read since the last call, by engine, in a form for
// [Placer.Hear].
func (p *Placer) News() map[string][]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.news
	p.news = make(map[string][]uint64)
	return out
}

// Hear takes another node's news of what engines read.
func (p *Placer) Hear(news map[string][]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, parts := range news {
		if u, ok := p.ups[name]; ok {
			for _, v := range parts {
				u.parts.add(unpackPart(v))
			}
		}
	}
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

// Corrected notes the weights that an upstream says it serves, older ones included.
func (p *Placer) Corrected(name string, weights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok && weights > 0 && weights != u.Weights {
		u.Weights = weights
		u.parts.clear()
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

// Suspect takes another node's word that an upstream does not answer. It counts only
// if this node has no newer sign of life.
func (p *Placer) Suspect(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[name]; ok && now.Sub(u.heard) > freshSign {
		u.failed(now)
	}
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
