package edge_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// startLog counts the upstreams of each start that a node has logged.
type startLog struct {
	slog.Handler
	mu     sync.Mutex
	starts map[uint64]int
}

// Enabled implements slog.Handler.
func (*startLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l *startLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "upstream" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "incarnation" {
			l.starts[a.Value.Uint64()]++
		}
		return true
	})
	return nil
}

// knows reports whether the node has logged n upstreams of the start.
func (l *startLog) knows(n int, start uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[start] >= n
}

// A part of a response that states no end is not whole if the store has named a later start of
// its upstream meanwhile, also if an answer at the upstream's address does not tell the two apart.
func TestAnswerOfAnEarlierStartLooksComplete(t *testing.T) {
	for _, tt := range []struct {
		name        string
		incarnation uint64 // that the store names when the response ends
		process     func(healthPath string) (uint64, vane.ProcessState)
		whole       bool
	}{
		{"the same start", 1, nil, true},
		{"a later start", 2, nil, false},
		{"a later start in the store alone", 2, func(string) (uint64, vane.ProcessState) { return 1, vane.ProcessRuns }, true},
		{"a later start that only the process states", 1, func(string) (uint64, vane.ProcessState) { return 2, vane.ProcessRuns }, false},
		{"another upstream", 1, func(string) (uint64, vane.ProcessState) { return 0, vane.ProcessReplaced }, false},
		{"no answer", 1, func(string) (uint64, vane.ProcessState) { return 0, vane.ProcessUnknown }, false},
		{"no path of a health check", 1, func(path string) (uint64, vane.ProcessState) {
			if path != "/health" {
				return 0, vane.ProcessUnknown
			}
			return 1, vane.ProcessRuns
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var f *fleet
			log := &startLog{Handler: slog.DiscardHandler, starts: make(map[uint64]int)}
			name := func(n uint64) {
				for i := range 4 {
					key := fmt.Sprintf("upstreams/e%d", i)
					o, err := f.storeClient.Get(t.Context(), key)
					is.NoErr(err)
					u, ok := decoder{}.Upstream(o)
					is.True(ok)
					f.put(key, u.WithIncarnation(n))
				}
			}
			// answer sends an event to a caller, and ends the response once the entries are changed.
			change := make(chan chan struct{})
			f = newFleet(t, 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nid: 1\n\n", r.Header.Get("Id"))
				if r.Header.Get("Id") != "id" {
					return
				}
				changed := make(chan struct{})
				select {
				case change <- changed:
					<-changed
				case <-time.After(waitTimeout):
				}
			}), withLog(log))
			f.engines.mu.Lock()
			f.engines.process = tt.process
			f.engines.mu.Unlock()
			name(1)
			f.configure(1)
			f.waitFor("the node is ready", func() bool { return len(f.entries(0)) == 1 })
			f.waitFor("the upstreams are known", func() bool { return log.knows(4, 1) })
			type outcome struct {
				body string
				err  error
			}
			done := make(chan outcome, 1)
			go func() {
				resp, err := f.request(0, "/r/x")
				if err != nil {
					done <- outcome{"", err}
					return
				}
				defer resp.Body.Close()
				b, err := io.ReadAll(resp.Body)
				done <- outcome{string(b), err}
			}()
			var changed chan struct{}
			select {
			case changed = <-change:
			case o := <-done:
				t.Fatalf("the request ended early: %q, %v", o.body, o.err)
			}
			name(tt.incarnation)
			f.waitFor("the change is known", func() bool { return log.knows(4, tt.incarnation) })
			close(changed)
			got := <-done
			if tt.whole {
				is.NoErr(got.err)
				is.Equal(got.body, "id: 1\n\n")
			} else {
				is.True(errors.Is(got.err, syscall.ECONNRESET)) // else the part looks whole
			}
		})
	}
}
