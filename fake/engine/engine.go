package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake"
)

// Defaults of the simulated engine.
const (
	defaultSlots       = 16
	defaultBlockTokens = 4000
	defaultCacheBlocks = 64
	defaultPrefillRate = 40_000.0 // tokens per second
	defaultTokenGap    = 5 * time.Millisecond
	defaultMaxTokens   = 32
)

// Faults are the faults that an engine injects. Shares are probabilities from 0 to 1.
// The zero value injects none.
type Faults struct {
	FailShare       float64 `json:"fail_share"`  // share of requests answered with status 500
	EmptyShare      float64 `json:"empty_share"` // share of requests answered with status 200 and an empty body
	WrongIDShare    float64 `json:"cross_share"` // share of requests answered with another request's completion id
	CutAfterTokens  int     `json:"cut_after"`   // number of tokens after which each stream breaks off; 0 for never
	MalformedEvent  bool    `json:"bad_line"`    // send malformed JSON in the middle of each stream
	SlowFactor      float64 `json:"slow"`        // factor on prefill and decode times; 0 means 1
	Hang            bool    `json:"hang"`        // accept requests and never respond
	Draining        bool    `json:"draining"`    // refuse new requests, as an engine that is about to stop does
	CrashOn         string  `json:"crash_on"`    // crash on prompts that contain this text; empty for never
	OnlyPromptsWith string  `json:"only_route"`  // if not empty, only prompts that contain this text are affected, except by Draining and CrashOn
	LoadLagMS       int     `json:"load_lag_ms"` // age of the load report in milliseconds
	EventsHeldBack  int     `json:"event_lag"`   // number of newest cache events not reported yet
	EventLossShare  float64 `json:"event_gaps"`  // share of cache events that are never reported
	IgnoreFence     bool    `json:"skip_fence"`  // obey orders with an outdated fencing number
}

// LogEntry describes one request whose prefill the engine has begun.
type LogEntry struct {
	ArrivedAt       time.Time `json:"at"` // when the engine received the request
	RequestID       string    `json:"request_id"`
	Workspace       string    `json:"workspace"`
	PromptTokens    int       `json:"prompt"`
	CachedTokens    int       `json:"cached"`    // part of PromptTokens found in the prefix cache
	GeneratedTokens int       `json:"generated"` // tokens generated so far, without those before ResumeOffset
	ResumeOffset    int       `json:"offset"`    // number of tokens skipped by a resumed stream; 0 for a new one
}

// Engine is a simulated model engine. It implements http.Handler and is safe for
// concurrent use.
type Engine struct {
	name         string
	model        string
	slots        int           // number of requests that the engine batches
	blockTokens  int           // tokens in a block of the prefix cache
	prefillRate  float64       // tokens per second
	baseTokenGap time.Duration // time between tokens with a full batch
	onCrash      func()        // simulates a crash

	mux   *http.ServeMux
	batch *batch
	cache *cache

	mu              sync.Mutex
	rng             *rand.Rand
	faults          Faults
	version         string // version of the weights
	incarnation     uint64
	fence           uint64 // highest fencing number of an accepted order
	log             []LogEntry
	receivedHeaders []http.Header
	loadHistory     []loadSample // oldest first
}

// loadSample is the load at a time in the past.
type loadSample struct {
	at   time.Time
	load vane.Load
}

// Option configures New.
type Option func(*Engine)

// WithModel sets the names of the model and of the version of its weights.
func WithModel(model, version string) Option {
	return func(e *Engine) { e.model, e.version = model, version }
}

// WithSlots sets the number of requests that the engine batches.
func WithSlots(n int) Option { return func(e *Engine) { e.slots = n } }

// WithCache sets the size in tokens of a block of the prefix cache, and the number of
// blocks that the cache holds.
func WithCache(blockTokens, blocks int) Option {
	return func(e *Engine) { e.blockTokens, e.cache = blockTokens, newCache(blocks) }
}

// WithSpeed sets the prefill rate in tokens per second and the time between generated
// tokens with a full batch.
func WithSpeed(prefill float64, gap time.Duration) Option {
	return func(e *Engine) { e.prefillRate, e.baseTokenGap = prefill, gap }
}

// WithSeed sets the seed of the random choice of faults; the default is 1.
func WithSeed(seed uint64) Option {
	return func(e *Engine) { e.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithIncarnation sets the incarnation number that the engine reports; the default is 1.
func WithIncarnation(n uint64) Option { return func(e *Engine) { e.incarnation = n } }

// WithCrashFunc sets the function that simulates a crash, for example by closing the
// server. The default only aborts the connection of the request.
func WithCrashFunc(f func()) Option { return func(e *Engine) { e.onCrash = f } }

// New returns an engine with the given name and no faults.
func New(name string, opts ...Option) *Engine {
	e := &Engine{
		name: name, model: "model", version: "v1", slots: defaultSlots, blockTokens: defaultBlockTokens,
		prefillRate: defaultPrefillRate, baseTokenGap: defaultTokenGap, onCrash: func() {},
		mux: http.NewServeMux(), rng: rand.New(rand.NewPCG(1, 1)), incarnation: 1,
		cache: newCache(defaultCacheBlocks),
	}
	for _, o := range opts {
		o(e)
	}
	e.batch = newBatch(e.slots)
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/load", e.getLoad)
	e.mux.HandleFunc("GET /v1/cache_events", e.getEvents)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.Handle("/fake/faults", fake.FaultsHandler(e.Faults, e.SetFaults))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.receivedHeaders = append(e.receivedHeaders, r.Header.Clone())
	if len(e.receivedHeaders) > 10_000 {
		e.receivedHeaders = e.receivedHeaders[1:]
	}
	e.mu.Unlock()
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Log returns a copy of the log, one entry per request whose prefill has begun.
func (e *Engine) Log() []LogEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]LogEntry(nil), e.log...)
}

// InFlight returns the number of requests that run or wait in the engine.
func (e *Engine) InFlight() int {
	running, waiting := e.batch.load()
	return running + waiting
}

// Headers returns the headers of the last 10 000 requests that the engine received,
// on all paths.
func (e *Engine) Headers() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header(nil), e.receivedHeaders...)
}

// Restart empties the cache and increments the incarnation, as a new process would.
func (e *Engine) Restart() {
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
}

// SetVersion changes the version of the weights and empties the cache.
func (e *Engine) SetVersion(v string) {
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = v
}

// Version returns the version of the weights.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Upstream returns the engine's entry for the platform's list of hosts.
func (e *Engine) Upstream(addr, dataCentre string) vane.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return vane.Upstream{
		Name: e.name, Addr: addr, DataCentre: dataCentre, Role: vane.RoleEngine,
		Model: e.model, Version: e.version, Incarnation: e.incarnation, Slots: e.slots,
	}
}

// appendLog appends an entry to the log and returns its index.
func (e *Engine) appendLog(n LogEntry) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = append(e.log, n)
	return len(e.log) - 1
}

// setGenerated sets the number of generated tokens of log entry i.
func (e *Engine) setGenerated(i, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log[i].GeneratedTokens = n
}

// chance reports at random, with probability share, whether a fault occurs.
func (e *Engine) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < share
}
