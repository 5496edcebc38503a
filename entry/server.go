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
	"mustardvane.org/vane/prefix"
	"mustardvane.org/vane/queue"
	"mustardvane.org/vane/route"
	"mustardvane.org/vane/stream"
	"mustardvane.org/vane/target"
)

// Deps are the services that the entry works with.
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
	EntryAddresses func(workspace string) []Address
	Metrics        prometheus.Registerer
	Targets        *target.Tracker
}

// CrashTracker knows the requests that were in flight when upstreams crashed.
type CrashTracker interface {
	// Check refuses a request that is known to crash upstreams.
	Check(workspace string, fingerprint uint64) error
	// Lost notes that the upstream crashed while it ran the request.
	Lost(workspace string, fingerprint uint64, u vane.Upstream)
	// Answered clears a request that got a whole answer.
	Answered(workspace string, fingerprint uint64)
}

// Address is one entry address that callers may use.
type Address struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// Server serves callers.
type Server struct {
	Deps
	bounds  config.CallerSettings
	ttl     time.Duration
	piece   int
	metrics *metrics

	mu       sync.Mutex
	inflight int
	idle     chan struct{} // closed when the last request ends during a drain
	leaving  bool
}

// Option changes a server under construction.
type Option func(*Server)

// WithBounds sets the bounds on what callers may send.
func WithBounds(b config.CallerSettings) Option { return func(s *Server) { s.bounds = b } }

// WithEntriesTTL sets the time to live of the list of entry addresses.
func WithEntriesTTL(d time.Duration) Option { return func(s *Server) { s.ttl = d } }

// WithPiece sets the size in tokens of the engines' cached pieces.
func WithPiece(tokens int) Option { return func(s *Server) { s.piece = tokens } }

// New returns a server.
func New(d Deps, opts ...Option) *Server {
	def := config.DefaultSettings()
	s := &Server{Deps: d, bounds: def.Callers, ttl: def.Drain.EntriesTTL, piece: prefix.DefaultPiece, metrics: newMetrics(d.Metrics)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the callers' mux.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/chat/completions", s.counted(s.method(s.chat, http.MethodPost)))
	mux.HandleFunc("/v1/models", s.counted(s.method(s.models, http.MethodGet)))
	mux.HandleFunc("/v1/entries", s.method(s.entries, http.MethodGet))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.counted(s.service))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, s.begin(r), vane.Refuse(vane.ReasonRouteUnknown, "no route %s; see docs/CALLERS.md for the paths", r.URL.Path))
	})
	return mux
}

// method lets only the given method through.
func (s *Server) method(h http.HandlerFunc, method string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			s.refuse(w, s.begin(r), vane.Refuse(vane.ReasonMethod, "method %s is not allowed; use %s", r.Method, method))
			return
		}
		h(w, r)
	}
}

// counted counts the requests in flight, so that a stop can wait for them.
func (s *Server) counted(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.inflight++
		s.mu.Unlock()
		defer s.left()
		h(w, r)
	}
}

// left counts the end of a request.
func (s *Server) left() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if s.idle != nil && s.inflight == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight
}

// StartDraining marks the node as leaving, so that callers are no longer sent to it.
// Requests that still come are served.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Draining says whether Leave was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Idle returns a channel that is closed when no request is in flight.
func (s *Server) Idle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan struct{})
	if s.inflight == 0 {
		close(ch)
		return ch
	}
	if s.idle == nil {
		s.idle = ch
	}
	return s.idle
}

// call is one request of a caller on its way through the entry.
type call struct {
	id        [16]byte
	begin     time.Time
	workspace string
	class     config.Class
	first     time.Duration // to the first token; zero before it
	waited    time.Duration // for a fair turn
}

// begin opens a call with a fresh id.
func (s *Server) begin(*http.Request) *call {
	return &call{id: uuid.New(), begin: time.Now()}
}

// requestID returns the call's id in hexadecimal form.
func (c *call) requestID() string { return hex.EncodeToString(c.id[:]) }

// authorize recognises the workspace of a request.
func (s *Server) authorize(c *call, r *http.Request) (config.Workspace, *config.View, error) {
	v := s.View()
	ws, err := auth.Workspace(r.Header, v, s.KeyFreshness)
	if err != nil {
		return ws, v, err
	}
	c.workspace, c.class = ws.Name, v.Fleet.ClassOf(ws)
	return ws, v, nil
}
