package soak

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/platform/stand"
)

// TestCheckStops checks which requests count as lost.
func TestCheckStops(t *testing.T) {
	term := time.Unix(100, 0)
	at := func(s float64) time.Time { return term.Add(time.Duration(s * float64(time.Second))) }
	stops := []plannedStop{{node: 1, term: term, ended: at(8)}}
	pause := func(node int, begin, end float64) incident {
		return incident{node: node, begin: at(begin), end: at(end)}
	}
	for _, tt := range []struct {
		name        string
		node        int
		sent, ended float64 // seconds after the signal
		whole       bool
		began, done float64 // of the run; both zero if it did not run
		brokenOff   bool    // by the upstream
		incidents   []incident
		lost        bool
	}{
		{"answered", 1, 7, 7.5, true, 7, 7.4, false, nil, false},
		{"cut after it was sent on", 1, 7.4, 7.5, false, 7.4, 7.8, false, nil, true},
		{"not sent on, closed at once", 1, 7.4, 7.5, false, 0, 0, false, nil, false},
		{"not sent on, closed late", 1, 7.1, 7.5, false, 0, 0, false, nil, true},
		{"early, upstream works near the end", 1, 2, 7.5, false, 2, 9, false, nil, false},
		{"early, upstream is done before", 1, 2, 7.5, false, 2, 5, false, nil, true},
		{"early, cut before the end", 1, 2, 5, false, 2, 9, false, nil, true},
		{"late, upstream works near the end", 1, 3.5, 7.5, false, 3.5, 9, false, nil, true},
		{"before the signal, upstream works near the end", 1, -1, 7.5, false, -1, 9, false, nil, false},
		{"at a node that does not stop", 0, 2, 7.5, false, 2, 9, false, nil, true},
		{"time limit", 1, -5, 5, false, -5, 9, false, nil, false},
		{"broken off by the upstream", 1, 2, 5, false, 2, 5, true, nil, false},
		{"at a node that is paused", 1, 2, 5, false, 2, 9, false, []incident{pause(1, 4, 4.5)}, false},
		{"at a node that was killed", 1, 2, 5, false, 2, 9, false, []incident{pause(1, 5, 5)}, false},
		{"after a pause of the node", 1, 2, 5, false, 2, 9, false, []incident{pause(1, 1, 1.5)}, true},
		{"during a pause of another node", 1, 2, 5, false, 2, 9, false, []incident{pause(0, 4, 4.5)}, true},
		{"while its upstream's process crashes after the run", 1, 2, 5, false, 2, 3, false, []incident{pause(-1, 4, 4.5)}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := keptResult{result: result{id: "a", sent: at(tt.sent), ended: at(tt.ended), err: io.EOF}, node: tt.node, limit: 10 * time.Second, whole: tt.whole}
			var runs []stand.Run
			if tt.began != 0 || tt.done != 0 {
				runs = []stand.Run{{ID: "a", Began: at(tt.began), Ended: at(tt.done), BrokenOff: tt.brokenOff}}
			}
			is.Equal(len(checkStops([]keptResult{r}, runs, stops, tt.incidents)) > 0, tt.lost)
		})
	}
}

// TestUnknownStart checks that a broken response that states no end is not lost if nodes could
// not know that its upstream was started again, and is in all other cases.
func TestUnknownStart(t *testing.T) {
	base := time.Unix(100, 0)
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	restart := incident{node: -1, server: "i", begin: at(0), end: at(1), known: at(1.5)}
	renamed := restart
	renamed.known = time.Time{}
	for _, tt := range []struct {
		name   string
		began  float64
		server string
		stated bool
		status int
		x      incident
		lost   bool
	}{
		{"before its start is known", 1.2, "i", false, 200, restart, false},
		{"once its start is known", 1.6, "i", false, 200, restart, true},
		{"before the crash", -0.1, "i", false, 200, restart, true},
		{"response that states its end", 1.2, "i", true, 200, restart, true},
		{"no response", 1.2, "i", false, 0, restart, true},
		{"another upstream", 1.2, "j", false, 200, restart, true},
		{"back under another ID", 1.2, "i", false, 200, renamed, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := keptResult{result: result{id: "a", sent: at(tt.began), ended: at(tt.began + 0.3), err: io.EOF, status: tt.status, stated: tt.stated}, limit: 10 * time.Second}
			runs := []stand.Run{{ID: "a", Server: tt.server, Began: at(tt.began), Ended: at(tt.began + 0.2)}}
			is.Equal(len(checkStops([]keptResult{r}, runs, nil, []incident{tt.x})) > 0, tt.lost)
		})
	}
}

// TestLastRunBrokenOff checks that a request counts as lost if an upstream has broken it off
// but not the one where it ran last.
func TestLastRunBrokenOff(t *testing.T) {
	is := is.New(t)
	at := time.Unix(100, 0)
	r := keptResult{result: result{id: "a", sent: at, ended: at.Add(time.Second), err: io.EOF}, limit: 10 * time.Second}
	first, second := stand.Run{ID: "a", Began: at, BrokenOff: true}, stand.Run{ID: "a", Began: at.Add(time.Millisecond)}
	is.Equal(len(checkStops([]keptResult{r}, []stand.Run{first, second}, nil, nil)), 1)
	is.Equal(len(checkStops([]keptResult{r}, []stand.Run{second, first}, nil, nil)), 0)
}

// TestStopsWithCrashes stops nodes in series while upstreams crash and come back, nodes are
// killed and paused, and requests and responses vary.
func TestStopsWithCrashes(t *testing.T) {
	t.Parallel()
	bin := buildNode(t)
	for _, seed := range []uint64{1, 3} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			res, err := RunStops(t.Context(), Options{Binary: bin, Dir: t.TempDir(), Seed: seed, Length: 2 * time.Second, Crashes: true})
			is.NoErr(err)
			for _, v := range res.Violations {
				t.Error(v)
			}
			t.Logf("%d requests, %d answered, %d stops, %d crashes", res.Requests, res.Answered, res.Stops, res.Crashes)
			is.True(res.Answered > 0)
			is.True(res.Crashes > 0)
		})
	}
}
