package fake

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Server is an HTTP server with its own listener for one simulator.
type Server struct {
	srv  *http.Server
	addr string
}

// Listen starts serving h on addr in the background. Port 0 selects a free port. It
// fails if addr cannot be bound.
func Listen(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "fake: listen")
	}
	s := &Server{srv: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, addr: l.Addr().String()}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// Addr returns the address that the server listens on, as host:port.
func (s *Server) Addr() string { return s.addr }

// URL returns the server's base URL without a trailing slash.
func (s *Server) URL() string { return "http://" + s.addr }

// Close stops listening and closes all connections at once, as a crash would.
func (s *Server) Close() { _ = s.srv.Close() }

// Step is one entry of a fault schedule. Faults replace the earlier ones AtMS
// milliseconds after the start of the schedule.
type Step[F any] struct {
	AtMS   int64 `json:"at_ms"` // time in milliseconds after the start of the schedule
	Faults F     `json:"faults"`
}

// ReadSchedule reads a JSON file with an array of steps.
func ReadSchedule[F any](file string) ([]Step[F], error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "fake: read schedule")
	}
	var steps []Step[F]
	if err := json.Unmarshal(b, &steps); err != nil {
		return nil, errors.Wrapf(err, "fake: decode schedule %s", file)
	}
	return steps, nil
}

// RunSchedule passes each step's faults to set at the step's time. It returns after the
// last step or when ctx ends. The steps must be in the order of their times.
func RunSchedule[F any](ctx context.Context, steps []Step[F], set func(F)) {
	start := time.Now()
	for _, s := range steps {
		t := time.NewTimer(time.Until(start.Add(time.Duration(s.AtMS) * time.Millisecond)))
		select {
		case <-t.C:
			set(s.Faults)
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// FaultsHandler returns a handler that answers every request with the current faults
// as JSON. A PUT first replaces them by the JSON in its body; malformed JSON gets
// status 400.
func FaultsHandler[F any](get func() F, set func(F)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			var f F
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			set(f)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get())
	})
}

// AbortConnection closes the client's connection without a response. It panics with
// http.ErrAbortHandler, which the HTTP server recovers, and so does not return.
func AbortConnection(w http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
