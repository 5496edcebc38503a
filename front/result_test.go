package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResults checks what the attempts of a request tell about the releases.
func TestResults(t *testing.T) {
	long := strings.Repeat("id: 1\n\n", 20)
	for _, tt := range []struct {
		name, path string
		up         responder
		failed     []bool // of each result
	}{
		{"answer", "/unsafe/x", respondSigned(200, "ok"), []bool{false}},
		{"failure", "/unsafe/x", respondSigned(500, "no"), []bool{true}},
		{"failure that is repeated", "/safe/x", respondSigned(500, "no"), []bool{true}},
		{"not run", "/unsafe/x", respondNotRun(), nil},
		{"unsigned answer", "/unsafe/x", respond(200, "ok"), []bool{true}},
		{"connection closed", "/unsafe/x", stall(0), []bool{true}},
		{"short stream", "/once/x", respondEvents("id: 1\n\nid: 2\n\n", -1), []bool{false}},
		{"long stream counts once", "/once/x", respondEvents(long, -1), []bool{false}},
		{"stream broken off late", "/once/x", respondEvents(long, 80), []bool{false, true}},
		{"no answer in time", "/unsafe/x", stall(3 * time.Second), []bool{false}}, // the time limit is one second
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestFront(t, 0, newScriptedUpstream(t, tt.up))
			_, _, _, _ = b.send(t.Context(), tt.path, "Limit-Ms", "1000") // the answer is the subject of other tests
			b.mu.Lock()
			defer b.mu.Unlock()
			var failed []bool
			for _, s := range b.results {
				failed = append(failed, s.Failed)
				is.True(s.Failed || s.FirstToken > 0)
				is.True(s.Route != "")
			}
			is.Equal(failed, tt.failed)
		})
	}
}

// Guards against roll-outs that are rolled back because the new release runs on a machine
// that is slow at the moment. Slowness beyond what the machine states still counts.
func TestSlowMachineIsNotTheRelease(t *testing.T) {
	const works = 300 * time.Millisecond
	for _, tt := range []struct {
		slowdown string
		factor   float64
	}{{"", 1}, {"1", 1}, {"0.5", 1}, {"2.5", 2.5}, {"90", 4}} {
		t.Run(tt.slowdown, func(t *testing.T) {
			is := is.New(t)
			b := newTestFront(t, 0, newScriptedUpstream(t, func(_ int, w io.Writer, id string, _ *http.Request) bool {
				time.Sleep(works)
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSig: s\r\nSlowdown: %s\r\nContent-Length: 2\r\n\r\nok", id, tt.slowdown)
				return true
			}))
			began := time.Now()
			_, _, _, _ = b.send(t.Context(), "/unsafe/x")
			took := time.Since(began)
			b.mu.Lock()
			defer b.mu.Unlock()
			is.Equal(len(b.results), 1)
			first := b.results[0].FirstToken.Seconds() * tt.factor
			is.True(first >= works.Seconds()-0.001 && first <= took.Seconds()+0.001)
		})
	}
}
