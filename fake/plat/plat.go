package plat

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake"
	"mustardvane.org/vane/internal/reply"
	"mustardvane.org/vane/store"
)

// Bounds of the stand-in.
const (
	maxValue = 1 << 20 // bytes of one object
	logSize  = 4096    // changes kept for watches
)

// Faults are the switchable faults of the platform.
type Faults struct {
	Down          bool    `json:"down"`         // cuts every call
	DelayMS       int     `json:"slow_ms"`      // added to every call
	LoseResponses float64 `json:"lose_answers"` // share of writes that take effect unanswered
	DropWrites    float64 `json:"drop_writes"`  // share of writes cut before they take effect
	StaleReads    bool    `json:"stale_reads"`  // reads answer the version before the newest
	HostsLagMS    int     `json:"hosts_lag_ms"` // age of the list of hosts
	ReadRate      float64 `json:"read_rate"`    // reads a second; zero means no limit
	WriteRate     float64 `json:"write_rate"`   // writes a second; zero means no limit
}

// object is a stored value with the one before it.
type object struct {
	value   []byte
	version uint64
	before  []byte
	beforeV uint64
}

// hosts is the list of upstreams at a time.
type hosts struct {
	at   time.Time
	list []vane.Upstream
}

// Counts are the calls served, by kind.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Platform is the stand-in. It implements http.Handler.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	rnd     *rand.Rand
	faults  Faults
	objects map[string]object
	rev     uint64
	log     []vane.Object // newest last, consecutive revisions
	changed chan struct{}
	hosts   []hosts
	reads   *rate.Limiter
	writes  *rate.Limiter
	counts  Counts
}

// Option changes a platform under construction.
type Option func(*Platform)

// WithSeed sets the seed of the random faults.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.rnd = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an empty platform.
func New(opts ...Option) *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		rnd:     rand.New(rand.NewPCG(1, 1)),
		objects: make(map[string]object),
		changed: make(chan struct{}),
		reads:   rate.NewLimiter(rate.Inf, 0),
		writes:  rate.NewLimiter(rate.Inf, 0),
	}
	for _, o := range opts {
		o(p)
	}
	p.mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key...}", p.put)
	p.mux.HandleFunc("DELETE /v1/objects/{key...}", p.del)
	p.mux.HandleFunc("GET /v1/objects", p.list)
	p.mux.HandleFunc("GET /v1/watch", p.watch)
	p.mux.HandleFunc("GET /v1/hosts", p.getHosts)
	p.mux.HandleFunc("PUT /fake/hosts", p.putHosts)
	p.mux.Handle("/fake/faults", fake.FaultsHandler(p.Faults, p.SetFaults))
	return p
}

// SetFaults replaces the faults in effect.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	setRate(p.reads, f.ReadRate)
	setRate(p.writes, f.WriteRate)
	p.wake()
}

// setRate changes a limiter; zero means no limit.
func setRate(l *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(1, int(perSecond)))
}

// Faults returns the faults in effect.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the number of calls served so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHosts replaces the list of upstreams. Readers see it after the lag.
func (p *Platform) SetHosts(ups []vane.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hosts{at: time.Now(), list: append([]vane.Upstream(nil), ups...)})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fake/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	f, drop, lose := p.draw(r)
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
	if f.Down || drop {
		fake.AbortConnection(w)
	}
	if !p.admit(r) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if lose {
		p.mux.ServeHTTP(discard{header: http.Header{}}, r)
		fake.AbortConnection(w)
	}
	p.mux.ServeHTTP(w, r)
}

// draw decides which faults meet the call.
func (p *Platform) draw(r *http.Request) (f Faults, drop, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		return p.faults, false, false
	}
	drop = p.rnd.Float64() < p.faults.DropWrites
	lose = p.rnd.Float64() < p.faults.LoseResponses
	return p.faults, drop, lose
}

// admit counts the call and applies the rate limits.
func (p *Platform) admit(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		p.counts.Reads++
		return p.reads.Allow()
	}
	p.counts.Writes++
	return p.writes.Allow()
}

// discard is a response that nobody reads.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// wake lets all waiting watches look again. The lock is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// commit appends a change to the log. The lock is held.
func (p *Platform) commit(o vane.Object) {
	p.log = append(p.log, o)
	if len(p.log) > logSize {
		p.log = p.log[len(p.log)-logSize:]
	}
	p.wake()
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[r.PathValue("key")]
	if p.faults.StaleReads && o.beforeV > 0 {
		o.value, o.version = o.before, o.beforeV
	}
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(o.version, 10))
	_, _ = w.Write(o.value)
}

// ifVersion reads the condition of a write.
func ifVersion(r *http.Request) (uint64, bool) {
	v, err := strconv.ParseUint(r.Header.Get(store.HeaderIfVersion), 10, 64)
	return v, err == nil
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	want, ok := ifVersion(r)
	b, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if !ok || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(b) > maxValue {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.objects[key]
	if old.version != want {
		w.Header().Set(store.HeaderVersion, strconv.FormatUint(old.version, 10))
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.rev++
	p.objects[key] = object{value: b, version: p.rev, before: old.value, beforeV: old.version}
	p.commit(vane.Object{Key: key, Version: p.rev, Value: b})
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(p.rev, 10))
}

func (p *Platform) del(w http.ResponseWriter, r *http.Request) {
	want, ok := ifVersion(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	p.mu.Lock()
	defer p.mu.Unlock()
	old, found := p.objects[key]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if old.version != want {
		w.Header().Set(store.HeaderVersion, strconv.FormatUint(old.version, 10))
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.rev++
	delete(p.objects, key)
	p.commit(vane.Object{Key: key, Version: p.rev, Deleted: true})
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	b := store.WireBatch{Revision: p.rev, Objects: []store.WireObject{}}
	for k, o := range p.objects {
		if strings.HasPrefix(k, prefix) {
			b.Objects = append(b.Objects, store.WireObject{Key: k, Version: o.version, Value: o.value})
		}
	}
	p.mu.Unlock()
	sort.Slice(b.Objects, func(i, j int) bool { return b.Objects[i].Key < b.Objects[j].Key })
	reply.JSON(w, b)
}

// since returns the changes after the revision under the prefix. It returns
// false if the log no longer reaches back that far. The lock is held.
func (p *Platform) since(prefix string, after uint64) ([]store.WireObject, bool) {
	if len(p.log) > 0 && after+1 < p.log[0].Version {
		return nil, false
	}
	var out []store.WireObject
	for _, o := range p.log {
		if o.Version > after && strings.HasPrefix(o.Key, prefix) {
			out = append(out, store.WireObject(o))
		}
	}
	return out, true
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := time.ParseDuration(q.Get("wait"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.After(wait)
	for {
		p.mu.Lock()
		out, ok := p.since(q.Get("prefix"), after)
		rev, ch, down := p.rev, p.changed, p.faults.Down
		p.mu.Unlock()
		if down {
			fake.AbortConnection(w)
		}
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out) > 0 {
			reply.JSON(w, store.WireBatch{Revision: rev, Objects: out})
			return
		}
		select {
		case <-ch:
		case <-over:
			reply.JSON(w, store.WireBatch{Revision: rev, Objects: []store.WireObject{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	seen := time.Now().Add(-time.Duration(p.faults.HostsLagMS) * time.Millisecond)
	list := []vane.Upstream{}
	for _, h := range p.hosts {
		if !h.at.After(seen) {
			list = h.list
		}
	}
	p.mu.Unlock()
	reply.JSON(w, list)
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var ups []vane.Upstream
	if err := json.NewDecoder(r.Body).Decode(&ups); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(ups)
}
