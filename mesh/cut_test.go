package mesh

import (
	"testing"

	"github.com/matryer/is"
)

// A message that is cut after any byte is none, except between its fields and its
// extension, where messages of earlier builds end. There the length of the envelope shows
// the cut.
func TestCutMessage(t *testing.T) {
	is := is.New(t)
	in := &Message{
		Name: "n1", Boot: 7, Seq: 3, InFlight: map[string]int{"e": 2}, QuotaSpent: map[string]float64{"ws": 1.5},
		Engines: []EngineUpdate{{Upstream: "e", Weights: 3}}, PromptParts: map[string][]uint64{"e": {1 << 62}}, WeightsVersion: 4,
		Extension: Extension{
			RolloutVersion: 8, Rollouts: []RolloutUpdate{{Service: "s", Order: "v2", Stage: 2, Fence: 6}},
			Convictions: []Conviction{{Part: 7, Workspaces: []uint64{1, 2}}}, Leaving: []UpstreamStart{{"e", 1}, {"f", 2}},
		},
	}
	fields, err := encode(in)
	is.NoErr(err)
	b, err := encodeMessage(in)
	is.NoErr(err)
	for n := range len(b) {
		if out, err := decodeMessage(b[:n]); err == nil && n != len(fields) {
			t.Errorf("cut after %d of %d bytes: %+v", n, len(b), out.Extension)
		}
	}
	e, err := encode(&envelope{Messages: [][]byte{b, b}})
	is.NoErr(err)
	for n := range len(e) {
		if decode(e[:n], &envelope{}) == nil {
			t.Errorf("envelope cut after %d of %d bytes", n, len(e))
		}
	}
}
