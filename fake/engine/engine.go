package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake"
)

// Defaults of the stand-in.
const (
	defaultSlots       = 16
	defaultPieceTokens = 4000
	defaultCachePieces = 64
	defaultPrefillRate = 40_000.0 // tokens a second
	defaultGap         = 5 * time.Millisecond
	defaultMaxTokens   = 32
)

// Faults are the switchable faults of an engine.
type Faults struct {
	FailShare       float64 `json:"fail_share"`  // share of requests answered 500
	EmptyShare      float64 `json:"empty_share"` // share answered 200 with nothing
	WrongIDShare    float64 `json:"cross_share"` // share answered with another request's id
	CutAfterTokens  int     `json:"cut_after"`   // cut each stream after so many tokens
	MalformedEvent  bool    `json:"bad_line"`    // send a broken event in each stream
	SlowFactor      float64 `json:"slow"`        // factor on prefill and decode; zero means one
	Hang            bool    `json:"hang"`        // take requests and never answer
	Draining        bool    `json:"draining"`    // refuse new work, as a leaving engine does
	CrashOn         string  `json:"crash_on"`    // crash when a prompt holds this text
	OnlyPromptsWith string  `json:"only_route"`  // the faults meet only prompts that hold this text
	LoadLagMS       int     `json:"load_lag_ms"` // age of the load report
	EventsHeldBack  int     `json:"event_lag"`   // cache events held back
	EventLossShare  float64 `json:"event_gaps"`  // share of cache events lost
	IgnoreFence     bool    `json:"skip_fence"`  // orders with an old fencing number are obeyed
}

// LogEntry is one request in the engine's own log.
type LogEntry struct {
	ArrivedAt       time.Time `json:"at"` // arrival
	RequestID       string    `json:"request_id"`
	Workspace       string    `json:"workspace"`
	PromptTokens    int       `json:"prompt"`    // tokens
	CachedTokens    int       `json:"cached"`    // tokens
	GeneratedTokens int       `json:"generated"` // tokens
	ResumeOffset    int       `json:"offset"`    // where a resumed stream began
}

// Engine is the stand-in. It implements http.Handler.
type Engine struct {
	name    string
	model   string
	slots   int
	piece   int
	prefill float64
	gap     time.Duration
	onCrash func()

	mux   *http.ServeMux
	batch *batch
	cache *cache

	mu          sync.Mutex
	rnd         *rand.Rand
	faults      Faults
	version     string
	incarnation uint64
	fence       uint64
	log         []LogEntry
	seen        []http.Header
	loads       []loadAt
}

// loadAt is a load report of the past.
type loadAt struct {
	at   time.Time
	load vane.Load
}

// Option changes an engine under construction.
type Option func(*Engine)

// WithModel sets the model and the version of its weights.
func WithModel(model, version string) Option {
	return func(e *Engine) { e.model, e.version = model, version }
}

// WithSlots sets the number of requests batched at once.
func WithSlots(n int) Option { return func(e *Engine) { e.slots = n } }

// WithCache sets the piece size in tokens and the number of pieces kept.
func WithCache(pieceTokens, pieces int) Option {
	return func(e *Engine) { e.piece, e.cache = pieceTokens, newCache(pieces) }
}

// WithSpeed sets the prefill rate in tokens a second and the time between
// generated tokens.
func WithSpeed(prefill float64, gap time.Duration) Option {
	return func(e *Engine) { e.prefill, e.gap = prefill, gap }
}

// WithSeed sets the seed of the random faults.
func WithSeed(seed uint64) Option {
	return func(e *Engine) { e.rnd = rand.New(rand.NewPCG(seed, seed)) }
}

// WithIncarnation sets the incarnation that the engine reports.
func WithIncarnation(n uint64) Option { return func(e *Engine) { e.incarnation = n } }

// WithCrashFunc sets what a crash does, for example closing the server.
func WithCrashFunc(f func()) Option { return func(e *Engine) { e.onCrash = f } }

// New returns an engine of the given name.
func New(name string, opts ...Option) *Engine {
	e := &Engine{
		name: name, model: "model", version: "v1", slots: defaultSlots, piece: defaultPieceTokens,
		prefill: defaultPrefillRate, gap: defaultGap, onCrash: func() {},
		mux: http.NewServeMux(), rnd: rand.New(rand.NewPCG(1, 1)), incarnation: 1,
		cache: newCache(defaultCachePieces),
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
	e.seen = append(e.seen, r.Header.Clone())
	if len(e.seen) > 10_000 {
		e.seen = e.seen[1:]
	}
	e.mu.Unlock()
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults in effect.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the faults in effect.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Log returns the requests that the engine ran.
func (e *Engine) Log() []LogEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]LogEntry(nil), e.log...)
}

// InFlight returns the requests that the engine works on.
func (e *Engine) InFlight() int {
	running, waiting := e.batch.load()
	return running + waiting
}

// Headers returns the headers of the requests that the engine received.
func (e *Engine) Headers() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header(nil), e.seen...)
}

// Restart empties the cache and takes a new incarnation, as a new process does.
func (e *Engine) Restart() {
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
}

// SetVersion loads other weights and empties the cache.
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

// Upstream describes the engine for the platform's list of hosts.
func (e *Engine) Upstream(addr, dataCentre string) vane.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return vane.Upstream{
		Name: e.name, Addr: addr, DataCentre: dataCentre, Role: vane.RoleEngine,
		Model: e.model, Version: e.version, Incarnation: e.incarnation, Slots: e.slots,
	}
}

// record appends an entry and returns its index.
func (e *Engine) record(n LogEntry) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = append(e.log, n)
	return len(e.log) - 1
}

// generated sets the number of tokens of an entry.
func (e *Engine) generated(i, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log[i].GeneratedTokens = n
}

// chance draws whether a fault of the given share occurs.
func (e *Engine) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rnd.Float64() < share
}
