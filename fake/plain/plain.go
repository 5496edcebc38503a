package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake"
)

// HeaderOperation names the operation that a caller asks for; the service counts runs
// by it.
const HeaderOperation = "X-Operation"

// Faults are the switchable faults of a plain service.
type Faults struct {
	CutBefore  bool `json:"cut_before"`  // cut before running
	CutAfter   bool `json:"cut_after"`   // run, then cut without an answer
	DelayMS    int  `json:"slow_ms"`     // added before running
	Fail       bool `json:"fail"`        // answer 500 without running
	RefuseBusy bool `json:"refuse_busy"` // answer 503 without running
}

// Response is what the service says about one run.
type Response struct {
	Service   string `json:"service"`
	Operation string `json:"op"`
	RunCount  int    `json:"run"` // how often the operation has run
	Body      string `json:"body"`
}

// Service is the stand-in. It implements http.Handler.
type Service struct {
	name    string
	service string
	mux     *http.ServeMux

	mu     sync.Mutex
	faults Faults
	runs   *RunCounter
	seen   []http.Header
}

// RunCounter counts runs over all instances of a service.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter { return &RunCounter{runs: make(map[string]int)} }

// Add counts a run of the operation and returns the count.
func (l *RunCounter) Add(op string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[op]++
	return l.runs[op]
}

// Runs returns how often the operation has run.
func (l *RunCounter) Runs(op string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[op]
}

// Option changes a service under construction.
type Option func(*Service)

// WithRunCounter shares the count of runs with other instances.
func WithRunCounter(l *RunCounter) Option { return func(s *Service) { s.runs = l } }

// New returns an instance called name of the given service.
func New(name, service string, opts ...Option) *Service {
	s := &Service{name: name, service: service, mux: http.NewServeMux(), runs: NewRunCounter()}
	for _, o := range opts {
		o(s)
	}
	s.mux.Handle("/fake/faults", fake.FaultsHandler(s.Faults, s.SetFaults))
	s.mux.HandleFunc("/", s.serve)
	return s
}

// SetFaults replaces the faults in effect.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in effect.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns how often the operation has run.
func (s *Service) Runs(op string) int { return s.runs.Runs(op) }

// Headers returns the headers of the requests that the service received.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}

// Upstream describes the service for the platform's list of hosts.
func (s *Service) Upstream(addr, dataCentre string) vane.Upstream {
	return vane.Upstream{
		Name: s.name, Addr: addr, DataCentre: dataCentre, Role: vane.RoleService,
		Service: s.service, Incarnation: 1,
	}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// serve runs one operation.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.seen = append(s.seen, r.Header.Clone())
	f := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	switch {
	case f.CutBefore:
		fake.AbortConnection(w)
	case f.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case f.RefuseBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	op := r.Header.Get(HeaderOperation)
	n := s.runs.Add(op)
	if f.CutAfter {
		fake.AbortConnection(w)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{Service: s.service, Operation: op, RunCount: n, Body: string(body)})
}
