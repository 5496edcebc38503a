package front_test

import (
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
