package route

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/hosts"
)

// loadPlacer counts the loads that it is told.
type loadPlacer struct {
	noPlacer
	loads []vane.Load
}

// RecordLoad implements vane.Placer.
func (p *loadPlacer) RecordLoad(_ time.Time, _ string, l vane.Load) { p.loads = append(p.loads, l) }

// An engine whose header states no load does not look idle.
func TestMalformedLoadLooksIdle(t *testing.T) {
	for _, tt := range []struct {
		load, draining string
		known, leaving bool
	}{
		{"7/2", "", true, false},
		{"7/2", "1", true, true},
		{"", "1", false, true},
		{"", "", false, false},
		{"/", "", false, false},
		{"7/", "", false, false},
		{"x/y", "", false, false},
		{"x/y", "1", false, true},
	} {
		t.Run(tt.load+" "+tt.draining, func(t *testing.T) {
			is := is.New(t)
			p := &loadPlacer{}
			dir := hosts.New(nil, p, event.NewRing("n1", 8))
			u := vane.Upstream{Name: "e", Incarnation: 1}
			dir.SetUpstreams([]vane.Upstream{u})
			New(p, dir, event.NewRing("n1", 8)).learnFromHeader(u, http.Header{headerLoad: {tt.load}, headerDraining: {tt.draining}})
			is.Equal(len(p.loads) == 1, tt.known)
			is.Equal(dir.All()[0].State == vane.UpstreamLeaving, tt.leaving)
		})
	}
}
