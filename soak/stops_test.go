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
	for _, tt := range []struct {
		name        string
		node        int
		sent, ended float64 // seconds after the signal
		whole       bool
		began, done float64 // of the run; both zero if it did not run
		lost        bool
	}{
		{"answered", 1, 7, 7.5, true, 7, 7.4, false},
		{"cut after it was sent on", 1, 7.4, 7.5, false, 7.4, 7.8, true},
		{"not sent on, closed at once", 1, 7.4, 7.5, false, 0, 0, false},
		{"not sent on, closed late", 1, 7.1, 7.5, false, 0, 0, true},
		{"early, upstream works near the end", 1, 2, 7.5, false, 2, 9, false},
		{"early, upstream is done before", 1, 2, 7.5, false, 2, 5, true},
		{"early, cut before the end", 1, 2, 5, false, 2, 9, true},
		{"late, upstream works near the end", 1, 3.5, 7.5, false, 3.5, 9, true},
		{"before the signal, upstream works near the end", 1, -1, 7.5, false, -1, 9, false},
		{"at a node that does not stop", 0, 2, 7.5, false, 2, 9, true},
		{"time limit", 1, -5, 5, false, -5, 9, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := keptResult{result: result{id: "a", sent: at(tt.sent), ended: at(tt.ended), err: io.EOF}, node: tt.node, limit: 10 * time.Second, whole: tt.whole}
			var runs []stand.Run
			if tt.began != 0 || tt.done != 0 {
				runs = []stand.Run{{ID: "a", Began: at(tt.began), Ended: at(tt.done)}}
			}
			is.Equal(len(checkStops([]keptResult{r}, runs, stops)) > 0, tt.lost)
		})
	}
}
