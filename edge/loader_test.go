package edge

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// A node that is stopping removed its record itself, and does not write it again.
func TestLeavingNodeIsNotForgotten(t *testing.T) {
	is := is.New(t)
	is.True(!(&Node{leaving: true}).forgotten())
}

// Load: a third of the engines crash and are started anew at their addresses, while the
// store's history is lost, so that their entries stay for seconds. Each request that is
// sent to one of them is turned away and uses up the share of repeats.
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
			n := &Node{log: log, placer: sched.New("dc", newCacheWatch(nil, log, func() bool { return false })), notes: newNotes()}
			n.mesh = mesh.New(vane.PeerRecord{Name: "n"}, mesh.Deps{Log: log})
			n.placer.Update(&mirror.View{Upstreams: map[string]vane.Upstream{"e": u}})
			now := time.Now()
			sent := 0
			for i := range 20 {
				at := now.Add(time.Duration(i) * 160 * time.Millisecond) // a little longer than a full upstream is passed over
				q := sched.Query{ID: fmt.Sprint(i), Service: "llm", Model: "m", PromptTokens: 100}
				c, ok := n.placer.Pick(at, q)
				if !ok {
					continue
				}
				sent++
				if tt.usable && c.Upstream.Weights == tt.serves {
					continue // served
				}
				n.placer.Observe(at, "e", vane.AnswerMeta{NotRun: true, Wrong: true})
				n.placer.MarkFull(at, "e")
				newLoader(n).judge(at, c.Upstream, vane.EngineReport{Weights: map[string]uint64{"m": tt.serves}})
			}
			m := &mesh.Message{}
			n.notes.fill(now, m)
			if tt.usable {
				is.Equal(len(m.Aside), 0)
				return
			}
			is.Equal(m.Aside, []string{"e"}) // the other nodes are told
			is.True(sent <= 3)
		})
	}
}
