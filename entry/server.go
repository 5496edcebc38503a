package entry

import (
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/auth"
	"mustardvane.org/vane/claim"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/prefix"
	"mustardvane.org/vane/queue"
	"mustardvane.org/vane/route"
	"mustardvane.org/vane/stream"
	"mustardvane.org/vane/target"
)

// Deps are the dependencies of a [Server]. All fields but Metrics and Memory are
// required; with nil Metrics, the collectors are not registered.
type Deps struct {
	View           func() *config.View
	KeyFreshness   auth.Freshness
	Router         *route.Router
	Gate           *queue.Gate
	Limiter        vane.Limiter
	Claims         *claim.Registry
	Crashes        CrashTracker
	Signer         *stream.Signer
	Recorder       vane.Recorder
	EntryAddresses func(workspace string) []Address // returns the addresses for a workspace; the name is empty for callers without a valid key
	Metrics        prometheus.Registerer
	Targets        *target.Tracker
	Memory         *memory.Budget // bytes held for callers; nil for no limit
}

// CrashTracker records the requests that were running when upstreams crashed.
// Requests are identified by their workspace and the hash of their content.
type CrashTracker interface {
	// Check returns a refusal if the request is known to crash upstreams.
	Check(workspace string, fingerprint uint64) error
	// RecordCrash records that u crashed while it may have been running the request.
	RecordCrash(workspace string, fingerprint uint64, u vane.Upstream)
	// RecordSuccess clears the crashes of a request that got a complete response.
	RecordSuccess(workspace string, fingerprint uint64)
}

// Address is the address of a node to which callers may send requests.
type Address struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	Deps
	bounds      config.CallerSettings // limits of callers' requests
	entriesTTL  time.Duration         // time for which callers may use a list of entry addresses
	pieceTokens int                   // size of a piece, see WithPieceTokens
	metrics     *metrics

	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // closed when no request is in flight; nil until Idle is called
	draining bool
}

// Option configures a Server.
type Option func(*Server)

// WithBounds sets the limits of callers' requests and the write timeout. The default
// is that of [config.DefaultSettings].
func WithBounds(b config.CallerSettings) Option { return func(s *Server) { s.bounds = b } }

// WithEntriesTTL sets the time for which callers may use a list of entry addresses.
func WithEntriesTTL(d time.Duration) Option { return func(s *Server) { s.entriesTTL = d } }

// WithPieceTokens sets the size of a piece, the unit in which engines cache prompts.
// The default is [prefix.DefaultPieceTokens].
func WithPieceTokens(tokens int) Option { return func(s *Server) { s.pieceTokens = tokens } }

// New returns a Server. Its collectors are registered with d.Metrics, so only one
// Server can be created for each registerer.
func New(d Deps, opts ...Option) *Server {
	def := config.DefaultSettings()
	s := &Server{Deps: d, bounds: def.Callers, entriesTTL: def.Drain.EntriesTTL, pieceTokens: prefix.DefaultPieceTokens, metrics: newMetrics(d.Metrics)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the handler for all paths that callers may use.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/chat/completions", s.countInFlight(s.method(s.handleChat, http.MethodPost)))
	mux.HandleFunc("/v1/models", s.countInFlight(s.method(s.handleModels, http.MethodGet)))
	mux.HandleFunc("/v1/entries", s.method(s.handleEntries, http.MethodGet))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.countInFlight(s.handleService))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, s.newRequest(r), vane.Refuse(vane.ReasonRouteUnknown, "no route %s; see docs/CALLERS.md for the paths", r.URL.Path))
	})
	return mux
}

// method wraps h so that requests with another method are refused.
func (s *Server) method(h http.HandlerFunc, method string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			s.refuse(w, s.newRequest(r), vane.Refuse(vane.ReasonMethodNotAllowed, "method %s is not allowed; use %s", r.Method, method))
			return
		}
		h(w, r)
	}
}

// countInFlight wraps h so that its requests are counted as in flight, which lets a
// shutdown wait for them.
func (s *Server) countInFlight(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.inFlight++
		s.mu.Unlock()
		defer s.requestDone()
		h(w, r)
	}
}

// requestDone removes a request from those in flight, and closes the channel of Idle
// if it was the last one.
func (s *Server) requestDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.idle != nil && s.inFlight == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// StartDraining marks the node as draining, so that callers are no longer sent to
// it. Requests that still arrive are served.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Draining reports whether StartDraining was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Idle returns a channel that is closed as soon as no request is in flight. Requests
// that arrive after that have no effect on it.
func (s *Server) Idle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan struct{})
	if s.inFlight == 0 {
		close(ch)
		return ch
	}
	if s.idle == nil {
		s.idle = ch
	}
	return s.idle
}

// request is the state of one request of a caller.
type request struct {
	id         [16]byte
	arrived    time.Time
	workspace  string
	class      config.Class
	firstToken time.Duration // time from arrival to the first token; zero before the first token
	queueWait  time.Duration // time spent in the fair queue
	body       *memory.Hold  // memory of the request's body; nil if it has none
	response   *memory.Hold  // memory of a response that is held whole; nil if there is none
}

// newRequest returns the state of a request that arrives now, with a new id.
func (s *Server) newRequest(*http.Request) *request {
	return &request{id: uuid.New(), arrived: time.Now()}
}

// close returns the memory that is held for the request.
func (c *request) close() {
	c.body.Close()
	c.response.Close()
}

// holdPriority returns the priority of the memory of a request; 0 is the highest. Callers that are
// not known come last.
func (c *request) holdPriority() int {
	if c.workspace == "" {
		return memory.Unidentified
	}
	return c.class.Priority
}

// openResponse opens the hold of the response.
func (s *Server) openResponse(c *request) *memory.Hold {
	c.response = s.Memory.Open(memory.Class{Kind: memory.KindResponse, Priority: c.holdPriority()})
	_ = c.response.Pin() // a new hold is not evicted
	return c.response
}

// requestID returns the request's id in hexadecimal form.
func (c *request) requestID() string { return hex.EncodeToString(c.id[:]) }

// authenticate identifies the workspace of a request by its key. It returns the
// configuration against which the key was checked.
func (s *Server) authenticate(c *request, r *http.Request) (config.Workspace, *config.View, error) {
	v := s.View()
	ws, err := auth.Workspace(r.Header, v, s.KeyFreshness)
	if err != nil {
		return ws, v, err
	}
	c.workspace, c.class = ws.Name, v.Fleet.ClassOf(ws)
	return ws, v, nil
}
