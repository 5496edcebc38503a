package edge

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// A roll-out whose recorded end the store has lost does not begin again; its end is recorded
// again. One that is ordered again does begin again.
func TestEndedRolloutBeginsAgain(t *testing.T) {
	order := vane.Rollout{Service: "s", Target: "v2", Duration: 10 * time.Second}
	at := func(version uint64, s vane.RolloutState) vane.Rollout {
		r := order.WithState(s)
		r.Revision = version
		return r
	}
	const ended = 20 // revision at which the end was recorded
	for _, tt := range []struct {
		name  string
		shown vane.Rollout // in a later view
		state vane.RolloutState
		due   bool
	}{
		{"a view from before the record", at(19, vane.RolloutRunning), vane.RolloutCompleted, false},
		{"recorded", at(ended, vane.RolloutCompleted), vane.RolloutCompleted, false},
		{"ordered again", at(21, vane.RolloutRequested), vane.RolloutRequested, true},
		{"lost", at(vane.VersionOf(1, 12), vane.RolloutRunning), vane.RolloutCompleted, true},
		{"lost with the order", at(vane.VersionOf(1, 25), vane.RolloutRequested), vane.RolloutCompleted, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			log := slog.New(slog.DiscardHandler)
			n := &Node{log: log, placer: sched.New("dc", newCacheWatcher(nil, log, func() bool { return false }))}
			o := newRollouts(n)
			now := time.Now()
			for _, r := range []vane.Rollout{at(12, vane.RolloutRunning), at(ended, vane.RolloutCompleted), tt.shown, tt.shown} {
				o.update(now, &mirror.View{Rollouts: map[string]vane.Rollout{"s": r}})
			}
			tr := o.trackers["s"]
			is.Equal(tr.Rollout().State, tt.state)
			r, due := tr.Due(now, 0)
			is.Equal(due, tt.due)
			if tt.state.String() == "completed" {
				is.True(!due || r.State == vane.RolloutCompleted && r.Revision == tt.shown.Revision)
				is.Equal(tr.Share(now), 1.0)
			}
		})
	}
}
