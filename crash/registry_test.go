package crash_test

import (
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/crash"
)

// discardRecorder discards events.
type discardRecorder struct{}

func (discardRecorder) Record(vane.Event) {}

// A request is refused after crashes of two upstreams, or of two processes of one upstream.
// A report that arrives twice, as those of other nodes can, counts once. A complete answer
// clears the request.
func TestRefusedAfterTwoCrashes(t *testing.T) {
	up := func(name string, incarnation uint64) vane.Upstream {
		return vane.Upstream{Name: name, Incarnation: incarnation}
	}
	for _, tt := range []struct {
		name    string
		lost    []vane.Upstream
		clear   bool
		refused bool
	}{
		{"one crash", []vane.Upstream{up("a", 1)}, false, false},
		{"the same crash again", []vane.Upstream{up("a", 1), up("a", 1)}, false, false},
		{"two upstreams", []vane.Upstream{up("a", 1), up("b", 1)}, false, true},
		{"two processes", []vane.Upstream{up("a", 1), up("a", 2)}, false, true},
		{"answered since", []vane.Upstream{up("a", 1), up("b", 1)}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			broadcasts := 0
			r := crash.NewRegistry(discardRecorder{}, crash.WithBroadcast(func(crash.Report) { broadcasts++ }, func(crash.RequestKey) {}))
			seen := map[vane.Upstream]bool{}
			for _, u := range tt.lost {
				r.RecordCrash("ws", 7, u)
				seen[u] = true
			}
			is.Equal(broadcasts, len(seen))
			if tt.clear {
				r.RecordSuccess("ws", 7)
			}
			is.Equal(r.Check("ws", 7) != nil, tt.refused)
			is.NoErr(r.Check("other", 7))
			is.NoErr(r.Check("ws", 8))
		})
	}
}
