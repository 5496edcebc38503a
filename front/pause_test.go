package front_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against pauses that operators can't see: each whole stream counts with its longest
// pause, by route, and other answers don't count.
func TestPausesAreCounted(t *testing.T) {
	is := is.New(t)
	b := newTestFront(t, 5, newScriptedUpstream(t, respondRest))
	_, _, body, err := b.send(t.Context(), "/resume/x")
	is.NoErr(err)
	is.Equal(body, streamText)
	families, err := b.registry.Gather()
	is.NoErr(err)
	counted := map[string]uint64{}
	for _, f := range families {
		if f.GetName() == "vane_front_pause_seconds" {
			for _, m := range f.GetMetric() {
				counted[m.GetLabel()[0].GetValue()] += m.GetHistogram().GetSampleCount()
			}
		}
	}
	is.Equal(counted, map[string]uint64{"resume": 1})
}
