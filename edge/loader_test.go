package edge

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// A stopping node removes its own record and must not write it again.
func TestLeavingNodeIsNotForgotten(t *testing.T) {
	is := is.New(t)
	is.True(!(&Node{leaving: true}).recordMissing())
}

// When a third of the engines crash and restart at their old addresses while the store
// has lost its history, the stale entries stay for seconds. Each request sent to such
// an engine is rejected and consumes retry budget, so the upstream must be set aside
// after few tries.
func TestReplacedEngineIsSetAside(t *testing.T) {
	for _, tt := range []struct {
		name   string
		serves uint64
		usable bool
	}{
		{"another engine at the address", 1, false},
		{"other weights", 2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			log := slog.New(slog.DiscardHandler)
			u := vane.Upstream{Name: "e", Addr: "a:1", Role: vane.RoleEngine, Service: "llm", Model: "m", Weights: 1, Slots: 4, Incarnation: 1}
			n := &Node{log: log, placer: sched.New("dc", newCacheWatcher(nil, log, func() bool { return false })), pendingUpdates: newPendingUpdates()}
			n.mesh = mesh.New(vane.PeerRecord{Name: "n"}, mesh.Deps{Log: log})
			n.placer.Update(&mirror.View{Upstreams: map[string]vane.Upstream{"e": u}})
			now := time.Now()
			sent := 0
			for i := range 20 {
				at := now.Add(time.Duration(i) * 160 * time.Millisecond) // slightly longer than the time for which a full upstream is skipped
				q := sched.Query{ID: fmt.Sprint(i), Service: "llm", Model: "m", PromptTokens: 100}
				c, ok := n.placer.Pick(at, q)
				if !ok {
					continue
				}
				sent++
				if tt.usable && c.Upstream.Weights == tt.serves {
					continue // request served
				}
				n.placer.Observe(at, "e", vane.ResponseMeta{NotRun: true, WrongUpstream: true})
				n.placer.MarkFull(at, "e")
				newLoader(n).handleReport(at, c.Upstream, vane.EngineReport{Weights: map[string]uint64{"m": tt.serves}})
			}
			m := &mesh.Message{}
			n.pendingUpdates.fill(now, m)
			if tt.usable {
				is.Equal(len(m.Unresponsive), 0)
				return
			}
			is.Equal(m.Unresponsive, []string{"e"}) // reported to the other nodes
			is.True(sent <= 3)
		})
	}
}

// weightsOnly decodes weights and nothing else.
type weightsOnly struct{ mirror.Decoder }

func (weightsOnly) ConfigPrefix() string   { return "c/" }
func (weightsOnly) UpstreamPrefix() string { return "u/" }
func (weightsOnly) RolloutPrefix() string  { return "r/" }
func (weightsOnly) WeightsPrefix() string  { return "w/" }
func (weightsOnly) Weights(o vane.Object) (vane.TargetWeights, bool) {
	return vane.TargetWeights{Model: "m", Version: uint64(len(o.Value))}, true
}

// Weights that were named while no node ran count from the last sign of a holder. Counted
// from the start of the nodes, the replaced ones would be in use for too long.
func TestWeightsNamedWhileNoNodeRan(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name     string
		data     string
		recorded time.Duration // age in the record of the weights; zero if there is none
		age      time.Duration
	}{
		{"first start", "", 0, 0},
		{"unrecorded", fmt.Sprintf(`{"written_ms":%d}`, now.Add(-5*time.Second).UnixMilli()), 0, 5 * time.Second},
		{"recorded before the last write", fmt.Sprintf(`{"written_ms":%d}`, now.Add(-5*time.Second).UnixMilli()), 9 * time.Second, 9 * time.Second},
		{"unusable data", `{"written_ms":"x"}`, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			log := slog.New(slog.DiscardHandler)
			n := &Node{log: log, startedAt: clock.BootTime(), mirror: mirror.NewService(nil, weightsOnly{})}
			n.mirror.Import([]vane.Object{{Key: "w/m", Value: []byte("12"), Version: 8}})
			if tt.recorded > 0 {
				r := fmt.Sprintf(`{"model":"m","numbers":[2],"at_ms":[%d]}`, now.Add(-tt.recorded).UnixMilli())
				n.mirror.Import([]vane.Object{{Key: mirror.WeightsRecordKey("m"), Value: []byte(r), Version: 7}})
			}
			newLoader(n).boundAges(lease.Record{Holder: "before", Data: []byte(tt.data)})
			got := n.mirror.View().Weights["m"].OutdatedFor(clock.BootTime(), 1)
			is.True(got >= tt.age && got < tt.age+4*time.Second)
		})
	}
}

// Orders wait until those of an earlier holder have been processed, also if the record of
// that holder was lost when the store came back from a copy.
func TestOrdersWaitForThoseOfALostLease(t *testing.T) {
	for _, tt := range []struct {
		name  string
		taken lease.Acquisition
		waits bool
	}{
		{"own lease", lease.Acquisition{Previous: lease.Record{Holder: "n"}}, false},
		{"first lease", lease.Acquisition{}, false},
		{"lease of another node", lease.Acquisition{Previous: lease.Record{Holder: "o"}}, true},
		{"own lease before a restore", lease.Acquisition{Previous: lease.Record{Holder: "n"}, Uncertain: true}, true},
		{"no lease after a restore", lease.Acquisition{Uncertain: true}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := &Node{settings: Settings{Node: "n", FencePause: time.Second}, log: slog.New(slog.DiscardHandler)}
			n.mirror = mirror.NewService(nil, weightsOnly{})
			l := newLoader(n)
			l.handleAcquired(tt.taken)
			is.Equal(l.ordersNotBefore.After(clock.BootTime()), tt.waits)
		})
	}
}
