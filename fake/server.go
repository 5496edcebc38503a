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

// Server is an HTTP server of a stand-in on an address of its own.
type Server struct {
	srv  *http.Server
	addr string
}

// Listen serves h on addr; port 0 takes a free port.
func Listen(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "fake: listen")
	}
	s := &Server{srv: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, addr: l.Addr().String()}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// Addr returns the IP number and port that the server listens on.
func (s *Server) Addr() string { return s.addr }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.addr }

// Close cuts all connections, as a crash does.
func (s *Server) Close() { _ = s.srv.Close() }

// Step is one entry of a fault schedule: after At, the faults are in effect.
type Step[F any] struct {
	AtMS   int64 `json:"at_ms"` // milliseconds after the start
	Faults F     `json:"faults"`
}

// ReadSchedule reads a JSON file with a list of steps.
func ReadSchedule[F any](file string) ([]Step[F], error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "fake: schedule")
	}
	var steps []Step[F]
	if err := json.Unmarshal(b, &steps); err != nil {
		return nil, errors.Wrapf(err, "fake: schedule %s", file)
	}
	return steps, nil
}

// RunSchedule applies the steps at their times until ctx ends.
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

// FaultsHandler returns a handler that reads the faults with GET and sets them with
// PUT.
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

// AbortConnection cuts the caller's connection without an answer.
func AbortConnection(w http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
