package target_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/target"
)

var epoch = time.Unix(1_000_020, 0)

// add adds n results, of which the first late ones miss the first-token target because
// of the cause.
func add(t *target.Tracker, at time.Time, ws string, n, late int, cause vane.Reason) {
	for i := range n {
		r := target.Result{Class: "c", Workspace: ws, FirstToken: 100 * time.Millisecond, FirstTokenTarget: 820 * time.Millisecond}
		if i < late {
			r.FirstToken, r.Cause = time.Second, cause
		}
		t.Add(at, r)
	}
}

// find returns the report of the first-token target in a window.
func find(rs []target.Report, minutes int) target.Report {
	for _, r := range rs {
		if r.Kind == target.KindFirstToken && r.Minutes == minutes {
			return r
		}
	}
	return target.Report{}
}

func TestMet(t *testing.T) {
	for _, tt := range []struct {
		late int
		met  bool
	}{{0, true}, {5, true}, {6, false}, {100, false}} {
		t.Run(fmt.Sprint(tt.late), func(t *testing.T) {
			is := is.New(t)
			tr := target.NewTracker()
			add(tr, epoch, "a", 100, tt.late, vane.ReasonQueueDeadline)
			r := find(tr.Reports(epoch), 5)
			is.Equal(r.Results, 100)
			is.Equal(r.Met(), tt.met)
		})
	}
}

// TestWindows checks that a minute of misses leaves the short window, and then the
// long one.
func TestWindows(t *testing.T) {
	is := is.New(t)
	tr := target.NewTracker()
	add(tr, epoch, "a", 10, 10, vane.ReasonUpstreamFailed)
	later := epoch.Add(6 * time.Minute)
	add(tr, later, "a", 10, 0, vane.ReasonNone)
	rs := tr.Reports(later)
	is.True(find(rs, 5).Met())
	is.True(!find(rs, 60).Met())
	is.Equal(find(rs, 60).Cause(), vane.ReasonUpstreamFailed)
	is.Equal(len(tr.Reports(epoch.Add(3*time.Hour))), 0)
}

func TestWorstAndCause(t *testing.T) {
	is := is.New(t)
	tr := target.NewTracker()
	add(tr, epoch, "good", 90, 1, vane.ReasonUpstreamFailed)
	add(tr, epoch, "bad", 10, 8, vane.ReasonQueueDeadline)
	r := find(tr.Reports(epoch), 5)
	is.Equal(r.WorstWorkspace, "bad")
	is.Equal(r.WorstMissRatio, 0.8)
	is.Equal(r.Cause(), vane.ReasonQueueDeadline)
}

// TestOwnRefusals checks that a refusal because of the workspace's rate does not count
// as a missed target, and that one because of a full queue does.
func TestOwnRefusals(t *testing.T) {
	is := is.New(t)
	tr := target.NewTracker()
	for _, r := range []vane.Reason{vane.ReasonLimitRate, vane.ReasonBadRequest, vane.ReasonNone, vane.ReasonQueueDeadline} {
		tr.Add(epoch, target.Result{Class: "c", Workspace: "a", Refused: r})
	}
	rs := tr.Reports(epoch)
	is.Equal(rs[0].Kind, target.KindRefused)
	is.Equal(rs[0].Results, 2)
	is.Equal(rs[0].Missed, 1)
}

func TestMergeOverNodes(t *testing.T) {
	is := is.New(t)
	a, b := target.NewTracker(), target.NewTracker()
	add(a, epoch, "x", 100, 0, vane.ReasonNone)
	add(b, epoch, "y", 100, 30, vane.ReasonNoUpstream)
	raw, err := json.Marshal(append(a.Reports(epoch), b.Reports(epoch)...)) // as sent by the nodes
	is.NoErr(err)
	var all []target.Report
	is.NoErr(json.Unmarshal(raw, &all))
	r := find(target.Merge(all), 5)
	is.Equal(r.Results, 200)
	is.Equal(r.Missed, 30)
	is.Equal(r.WorstWorkspace, "y")
	is.Equal(r.Cause(), vane.ReasonNoUpstream)
}

func ExampleTracker() {
	t := target.NewTracker()
	t.Add(epoch, target.Result{Class: "quoting", Workspace: "w", FirstToken: time.Second, FirstTokenTarget: 820 * time.Millisecond, Cause: vane.ReasonQueueDeadline})
	for _, r := range t.Reports(epoch) {
		if r.Minutes == 5 {
			fmt.Println(r.Kind, r.Met(), r.Cause())
		}
	}
	// Output:
	// first_token false queue_deadline
	// refused true none
}
