package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake"
	"mustardvane.org/vane/internal/reply"
)

// HeaderOperation is the request header with the caller's name for an operation. The
// service counts runs by this name.
const HeaderOperation = "X-Operation"

// Faults are the faults that a plain service injects. The zero value injects none.
type Faults struct {
	CutBefore  bool `json:"cut_before"`  // abort the connection before running the operation
	CutAfter   bool `json:"cut_after"`   // run the operation, then abort the connection without a response
	Unframed   bool `json:"unframed"`    // respond with half of the body, without its length, and close the connection
	NoLoad     bool `json:"no_load"`     // do not state the incarnation
	DelayMS    int  `json:"slow_ms"`     // delay before running the operation, in milliseconds
	Fail       bool `json:"fail"`        // respond with status 500 without running the operation
	RefuseBusy bool `json:"refuse_busy"` // respond with status 503 without running the operation
}

// Response is the JSON body of the response to one run of an operation.
type Response struct {
	Service   string `json:"service"`
	Operation string `json:"op"`
	RunCount  int    `json:"run"`  // how often the operation has run, including this time
	Body      string `json:"body"` // body of the request
}

// Service is one simulated instance of a service. It implements http.Handler and is
// safe for concurrent use.
type Service struct {
	instance string
	service  string
	mux      *http.ServeMux

	mu              sync.Mutex
	faults          Faults
	runs            *RunCounter
	receivedHeaders []http.Header
}

// RunCounter counts the runs of each operation. Several instances of a service can
// share it.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{runs: make(map[string]int)} }

// Add counts one run of the operation and returns the number of its runs so far.
func (c *RunCounter) Add(op string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[op]++
	return c.runs[op]
}

// Runs returns how often the operation has run.
func (c *RunCounter) Runs(op string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[op]
}

// Option configures New.
type Option func(*Service)

// WithRunCounter sets the counter of runs, to share it between instances. By default
// each instance has its own.
func WithRunCounter(c *RunCounter) Option { return func(s *Service) { s.runs = c } }

// New returns an instance of the given service with the given instance name.
func New(name, service string, opts ...Option) *Service {
	s := &Service{instance: name, service: service, mux: http.NewServeMux(), runs: NewRunCounter()}
	for _, o := range opts {
		o(s)
	}
	s.mux.Handle("/fake/faults", fake.FaultsHandler(s.Faults, s.SetFaults))
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns how often the operation has run.
func (s *Service) Runs(op string) int { return s.runs.Runs(op) }

// Headers returns the headers of all requests that this instance has received, except
// on /fake/faults.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.receivedHeaders...)
}

// Upstream returns the instance's entry for the platform's list of hosts.
func (s *Service) Upstream(addr, dataCentre string) vane.Upstream {
	return vane.Upstream{
		Name: s.instance, Addr: addr, DataCentre: dataCentre, Role: vane.RoleService,
		Service: s.service, Incarnation: incarnation,
	}
}

// incarnation is that of all instances.
const incarnation = 1

// serveLoad states the instance's incarnation.
func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.Faults().NoLoad {
		http.NotFound(w, r)
		return
	}
	reply.JSON(w, map[string]int{"incarnation": incarnation})
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// serve runs the operation that the request names, unless a fault prevents it.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.receivedHeaders = append(s.receivedHeaders, r.Header.Clone())
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
	if f.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, `{"service":"`)
		return
	}
	_ = json.NewEncoder(w).Encode(Response{Service: s.service, Operation: op, RunCount: n, Body: string(body)})
}
