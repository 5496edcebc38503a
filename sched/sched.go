package sched

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"mustardvane.org/vane/mirror"
)

// Attempt is a request that was sent to an upstream.
type Attempt struct {
	name    string
	light   bool
	tokens  int // still to be computed
	sent    time.Time
	started bool
	ended   bool
}

// Placer chooses upstreams. It is safe for concurrent use.
type Placer struct {
	dc    string
	limit time.Duration // by when named weights must be in use
	cache StoreIndex

	mu     sync.Mutex
	view   *mirror.View
	ups    map[string]*upstream
	bySvc  map[string][]*upstream
	peers  map[string]map[string]int // requests in flight by node and upstream
	saves  *saveLog
	news   map[string][]uint64 // parts read since the last message to the other nodes
	store  storeLoad
	demand demand // of all requests
	long   demand // of those with long prompts
	light  lightLoad
}

// StoreIndex knows what the cache store holds.
type StoreIndex interface {
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
func New(dataCentre string, c StoreIndex, opts ...Option) *Placer {
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
			s = &upstream{parts: newPartSet(v, u), rank: affinity(lightRank, name)}
			p.ups[name] = s
		}
		s.take(u)
		p.bySvc[u.Service] = append(p.bySvc[u.Service], s)
	}
	for _, l := range p.bySvc {
		slices.SortFunc(l, func(a, b *upstream) int { return cmp.Compare(a.rank, b.rank) })
	}
}

// Begin notes that a request is sent.
func (p *Placer) Begin(now time.Time, q Query, c Pick) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.add(now, c.UncachedTokens)
	t := &Attempt{name: c.Upstream.Name, light: q.light(), tokens: c.UncachedTokens, sent: now}
	if t.light {
		p.light.change(now, 1)
	} else {
		p.long.add(now, c.UncachedTokens)
	}
	if u, ok := p.ups[t.name]; ok {
		u.begin(t)
		p.read(u, q, c)
		if c.moves {
			p.store.moved(now, q.PromptTokens-c.UncachedTokens)
		}
		if shared := q.Shared(); c.SaveTo != "" && len(shared) > 0 {
			p.saves.note(now, c.Salt, shared[len(shared)-1].ID)
			p.store.moved(now, q.PromptTokens)
		}
	}
	return t
}

// FirstByte notes the first bytes of the answer.
func (p *Placer) FirstByte(now time.Time, t *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.ups[t.name]; ok && !t.started {
		u.first(now, t)
	}
	t.started = true
}

// End notes the end of an exchange.
func (p *Placer) End(now time.Time, t *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	if u, ok := p.ups[t.name]; ok {
		u.end(t)
	}
	if t.light {
		p.light.change(now, -1)
	}
}

// SetPeerInFlight takes the requests that another node has in flight.
func (p *Placer) SetPeerInFlight(node string, inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(inFlight) == 0 {
		delete(p.peers, node)
		return
	}
	p.peers[node] = inFlight
}

// InFlight returns the requests that this node has in flight, by upstream.
func (p *Placer) InFlight() map[string]int {
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

// inFlight returns the requests that other nodes have in flight at an upstream.
func (p *Placer) inFlight(name string) int {
	n := 0
	for _, m := range p.peers {
		n += m[name]
	}
	return n
}
