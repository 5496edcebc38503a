package hosts

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/event"
)

// loadPlacer counts the loads that it is told.
type loadPlacer struct {
	vane.Placer
	loads []vane.Load
}

// RecordLoad implements vane.Placer.
func (p *loadPlacer) RecordLoad(_ time.Time, _ string, l vane.Load) { p.loads = append(p.loads, l) }

// Update implements vane.Placer.
func (*loadPlacer) Update(time.Time, []vane.Upstream) {}

// An engine that does not state its load does not look idle.
func TestUnknownLoadLooksIdle(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int
		body   string
		known  bool
	}{
		{"whole", 200, `{"running":7,"waiting":2,"incarnation":1}`, true},
		{"idle", 200, `{"running":0,"waiting":0}`, true},
		{"empty", 200, `{}`, false},
		{"part", 200, `{"running":7`, false},
		{"one count", 200, `{"running":7,"incarnation":1}`, false},
		{"an error", 503, `{"error":"starting"}`, false},
		{"an error with counts", 500, `{"running":0,"waiting":0}`, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer srv.Close()
			p := &loadPlacer{}
			d := New(nil, p, event.NewRing("n1", 8))
			d.fetchLoad(t.Context(), vane.Upstream{Name: "e", Addr: strings.TrimPrefix(srv.URL, "http://")})
			is.Equal(len(p.loads) == 1, tt.known)
		})
	}
}
