package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/platform/stand"
)

// TestWithIncidents checks that a violation names the incidents of the request's node and of
// the upstreams where it ran, while it was in flight.
func TestWithIncidents(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(100+int64(s), 0) }
	r := keptResult{result: result{id: "a", sent: at(0), ended: at(5)}, node: 1}
	runs := []stand.Run{{ID: "a", Server: "i-1"}, {ID: "b", Server: "i-2"}}
	for _, tt := range []struct {
		name string
		x    incident
		want bool
	}{
		{"its node", incident{node: 1, begin: at(4), end: at(9)}, true},
		{"its node, before", incident{node: 1, begin: at(-2), end: at(-1)}, false},
		{"its node, after", incident{node: 1, begin: at(6), end: at(7)}, false},
		{"another node", incident{node: 2, begin: at(1), end: at(2)}, false},
		{"its upstream", incident{node: -1, server: "i-1", begin: at(1), end: at(2)}, true},
		{"another upstream", incident{node: -1, server: "i-2", begin: at(1), end: at(2)}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.x.text = "incident"
			vs := withIncidents([]Violation{{Request: "a"}, {Request: "n1"}}, []keptResult{r}, runs, []incident{tt.x})
			is.Equal(strings.Contains(vs[0].Detail, "incident"), tt.want)
			is.Equal(vs[1].Detail, "")
		})
	}
}
