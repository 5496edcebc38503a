package edge

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// Events of the lease and of the crash registry are written to the log.
func TestRecorderWritesEvents(t *testing.T) {
	for _, tt := range []struct {
		name string
		e    vane.Event
		want []string
	}{
		{"lease", vane.Event{Kind: vane.EventLeaseLost, Subject: "vane-leases/0", Observed: 12}, []string{`"msg":"lease_lost"`, `"subject":"vane-leases/0"`, `"have":12`}},
		{"suspect", vane.Event{Kind: vane.EventRequestSuspect, Reason: vane.ReasonSuspectRequest, Workspace: "ws", Subject: "e1", Observed: 1, Threshold: 2},
			[]string{`"msg":"request_suspect"`, `"workspace":"ws"`, `"want":2`}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			recorder{slog.New(slog.NewJSONHandler(&b, nil))}.Record(tt.e)
			for _, w := range tt.want {
				is.True(strings.Contains(b.String(), w))
			}
		})
	}
}
