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

// Limits of the simulated platform.
const (
	maxObjectBytes = 1 << 20 // size of one object's value
	maxChanges     = 4096    // number of changes kept for watches
)

// Faults are the faults that the platform injects. Shares are probabilities from 0 to 1.
// The zero value injects none.
type Faults struct {
	Down          bool    `json:"down"`         // abort the connection of every request
	DelayMS       int     `json:"slow_ms"`      // delay of every request in milliseconds
	LoseResponses float64 `json:"lose_answers"` // share of writes that take effect but get no response
	DropWrites    float64 `json:"drop_writes"`  // share of writes whose connection is aborted before they take effect
	StaleReads    bool    `json:"stale_reads"`  // reads of one object return the version before the newest
	HostsLagMS    int     `json:"hosts_lag_ms"` // age of the list of hosts in milliseconds
	ReadRate      float64 `json:"read_rate"`    // limit in reads per second; 0 means none
	WriteRate     float64 `json:"write_rate"`   // limit in writes per second; 0 means none
}

// object is a stored value with the previous one, for stale reads.
type object struct {
	value           []byte
	version         uint64
	previous        []byte
	previousVersion uint64 // 0 if there is none
}

// hostsSnapshot is the list of upstreams as set at a time.
type hostsSnapshot struct {
	at   time.Time
	list []vane.Upstream
}

// Counts are the numbers of requests that the platform has received, including those
// refused by the rate limits. Requests whose connection was aborted do not count, except
// writes with a lost response.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Platform is a simulated platform. It implements http.Handler and is safe for
// concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	objects      map[string]object
	revision     uint64          // revision of the newest change
	changeLog    []vane.Object   // the last changes, oldest first, with consecutive revisions
	changed      chan struct{}   // closed and replaced at each change of objects or faults
	hosts        []hostsSnapshot // oldest first
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	counts       Counts
}

// Option configures New.
type Option func(*Platform)

// WithSeed sets the seed of the random choice of faults; the default is 1.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a platform without objects, upstreams and faults.
func New(opts ...Option) *Platform {
	p := &Platform{
		mux:          http.NewServeMux(),
		rng:          rand.New(rand.NewPCG(1, 1)),
		objects:      make(map[string]object),
		changed:      make(chan struct{}),
		readLimiter:  rate.NewLimiter(rate.Inf, 0),
		writeLimiter: rate.NewLimiter(rate.Inf, 0),
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

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	setRate(p.readLimiter, f.ReadRate)
	setRate(p.writeLimiter, f.WriteRate)
	p.wakeWatches()
}

// setRate sets the rate of l, with a burst of one second's worth. Zero removes the
// limit.
func setRate(l *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(1, int(perSecond)))
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the numbers of requests received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHosts replaces the list of upstreams. Readers see it after Faults.HostsLagMS.
func (p *Platform) SetHosts(ups []vane.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostsSnapshot{at: time.Now(), list: append([]vane.Upstream(nil), ups...)})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fake/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	f, drop, lose := p.drawFaults(r)
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
		p.mux.ServeHTTP(discardWriter{header: http.Header{}}, r)
		fake.AbortConnection(w)
	}
	p.mux.ServeHTTP(w, r)
}

// drawFaults returns the faults in effect for a request and, for writes, chooses at
// random whether to drop the request or to lose its response.
func (p *Platform) drawFaults(r *http.Request) (f Faults, drop, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		return p.faults, false, false
	}
	drop = p.rng.Float64() < p.faults.DropWrites
	lose = p.rng.Float64() < p.faults.LoseResponses
	return p.faults, drop, lose
}

// admit counts the request and reports whether the rate limits allow it.
func (p *Platform) admit(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		p.counts.Reads++
		return p.readLimiter.Allow()
	}
	p.counts.Writes++
	return p.writeLimiter.Allow()
}

// discardWriter is a ResponseWriter that drops what is written to it.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// wakeWatches makes all waiting watches check for changes and faults. The caller must
// hold p.mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// appendChange appends a change to the change log, drops the oldest ones above
// maxChanges and wakes the watches. The caller must hold p.mu.
func (p *Platform) appendChange(o vane.Object) {
	p.changeLog = append(p.changeLog, o)
	if len(p.changeLog) > maxChanges {
		p.changeLog = p.changeLog[len(p.changeLog)-maxChanges:]
	}
	p.wakeWatches()
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[r.PathValue("key")]
	if p.faults.StaleReads && o.previousVersion > 0 {
		o.value, o.version = o.previous, o.previousVersion
	}
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(o.version, 10))
	_, _ = w.Write(o.value)
}

// ifVersion returns the version that a write requires the object to have; 0 means that
// the object must not exist. It returns false if the header is missing or malformed.
func ifVersion(r *http.Request) (uint64, bool) {
	v, err := strconv.ParseUint(r.Header.Get(store.HeaderIfVersion), 10, 64)
	return v, err == nil
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	required, ok := ifVersion(r)
	b, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if !ok || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(b) > maxObjectBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.objects[key]
	if old.version != required {
		w.Header().Set(store.HeaderVersion, strconv.FormatUint(old.version, 10))
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.revision++
	p.objects[key] = object{value: b, version: p.revision, previous: old.value, previousVersion: old.version}
	p.appendChange(vane.Object{Key: key, Version: p.revision, Value: b})
	w.Header().Set(store.HeaderVersion, strconv.FormatUint(p.revision, 10))
}

func (p *Platform) del(w http.ResponseWriter, r *http.Request) {
	required, ok := ifVersion(r)
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
	if old.version != required {
		w.Header().Set(store.HeaderVersion, strconv.FormatUint(old.version, 10))
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.revision++
	delete(p.objects, key)
	p.appendChange(vane.Object{Key: key, Version: p.revision, Deleted: true})
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	batch := store.WireBatch{Revision: p.revision, Objects: []store.WireObject{}}
	for k, o := range p.objects {
		if strings.HasPrefix(k, prefix) {
			batch.Objects = append(batch.Objects, store.WireObject{Key: k, Version: o.version, Value: o.value})
		}
	}
	p.mu.Unlock()
	sort.Slice(batch.Objects, func(i, j int) bool { return batch.Objects[i].Key < batch.Objects[j].Key })
	reply.JSON(w, batch)
}

// changesSince returns the changes after a revision of objects whose key has the
// prefix. It returns false if the change log no longer holds all of them. The caller
// must hold p.mu.
func (p *Platform) changesSince(prefix string, after uint64) ([]store.WireObject, bool) {
	if len(p.changeLog) > 0 && after+1 < p.changeLog[0].Version {
		return nil, false
	}
	var out []store.WireObject
	for _, o := range p.changeLog {
		if o.Version > after && strings.HasPrefix(o.Key, prefix) {
			out = append(out, store.WireObject{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
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
	timeout := time.After(wait)
	for {
		p.mu.Lock()
		out, ok := p.changesSince(q.Get("prefix"), after)
		rev, ch, down := p.revision, p.changed, p.faults.Down
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
		case <-timeout:
			reply.JSON(w, store.WireBatch{Revision: rev, Objects: []store.WireObject{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	cutoff := time.Now().Add(-time.Duration(p.faults.HostsLagMS) * time.Millisecond)
	list := []vane.Upstream{}
	for _, h := range p.hosts {
		if !h.at.After(cutoff) {
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
