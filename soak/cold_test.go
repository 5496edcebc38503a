package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/platform/stand"
)

// TestColdViolations checks that requests beyond the bound and in evacuated data centres are
// found, and no others.
func TestColdViolations(t *testing.T) {
	begin := time.Unix(100, 0)
	// A second that begins with a request holds one more than fit between its ends.
	const bound = stand.ColdPerS*stand.ColdOver + stand.ColdSlack - 1
	runs := func(n int, d time.Duration) []stand.Run {
		var out []stand.Run
		for i := range n {
			out = append(out, stand.Run{ID: fmt.Sprint(i), Server: "i", Began: begin.Add(time.Duration(i+1) * d)})
		}
		return out
	}
	during := []span{{"i", begin, begin.Add(time.Minute)}}
	stall := []span{{"", begin, begin.Add(time.Second)}}
	zone := []span{{"z", begin.Add(time.Second), begin.Add(2 * time.Second)}}
	for _, tt := range []struct {
		name               string
		runs               []stand.Run
		cold, evac, stalls []span
		want               int
	}{
		{"within the bound", runs(200, time.Second/bound), during, nil, nil, 0},
		{"just above the bound", runs(200, time.Second/(bound+1)), during, nil, nil, 1},
		{"above the bound", runs(200, time.Second/40), during, nil, nil, 1},
		{"above the bound while warm", runs(200, time.Second/40), nil, nil, nil, 0},
		{"above the bound after a standstill", runs(39, time.Second/40), during, nil, stall, 0},
		{"evacuated", runs(30, 100*time.Millisecond), nil, zone, nil, 9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(coldViolations(tt.runs, map[string]string{"i": "z"}, tt.cold, tt.evac, tt.stalls)), tt.want)
		})
	}
}

// TestColdStarts runs short soaks with cold upstreams and evacuations. A seed whose soak has
// failed once is added to the list.
func TestColdStarts(t *testing.T) {
	bin := buildNode(t)
	for _, seed := range []uint64{1, 2} {
		t.Run("", func(t *testing.T) {
			is := is.New(t)
			res, err := RunCold(t.Context(), Options{Binary: bin, Dir: t.TempDir(), Seed: seed, Length: 15 * time.Second})
			is.NoErr(err)
			for _, v := range res.Violations {
				t.Error(v)
			}
			t.Logf("%d requests, %d answered, %d faults", res.Requests, res.Answered, len(res.Faults))
			is.True(res.Answered > 0)
		})
	}
}
