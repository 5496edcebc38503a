package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustardvane.org/vane/quota"
)

// Guards against too many admissions when many nodes learn late what the others admit. One
// workspace sends five times its rate through 83 nodes from the first second of the load
// on, in prompts of some thousand tokens. Each node sends a message every half second,
// which arrives 0.8 s later. The load lasts from 14 s to 30 s after the start. In no window
// of eight seconds may more than the limit be admitted, and over the whole load at least
// nine tenths of the rate must be.
func TestHotWorkspaceAtManyNodes(t *testing.T) {
	const (
		nodes, rate, burst = 83, 931_467.0, 931_467.0
		window, slack      = 8 * time.Second, 110_000.0
		step               = 10 * time.Millisecond
		period, delay      = 500 * time.Millisecond, 800 * time.Millisecond
		requestsPerSecond  = 525
	)
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 9))
			f := newFleet(nodes, quota.Limit{Rate: rate, Burst: burst})
			for _, b := range f.nodes {
				b.SetInterval(2 * period)
			}
			type message struct {
				from     int
				at       time.Time
				admitted map[string]float64
				levels   map[string]float64
			}
			type admission struct {
				at    time.Time
				units float64
			}
			var queue []message
			var got []admission
			now, asked := begin, 0
			for n := 0; now.Sub(begin) < 30*time.Second; n++ {
				now = now.Add(step)
				for len(queue) > 0 && !now.Before(queue[0].at) {
					m := queue[0]
					queue = queue[1:]
					for j, o := range f.nodes {
						if j != m.from {
							o.Receive(now, f.names[m.from], f.boots[m.from], m.admitted, m.levels)
						}
					}
				}
				for i, b := range f.nodes {
					if (n+i)%int(period/step) == 0 {
						m := message{from: i, at: now.Add(delay), admitted: b.Admitted()}
						if b.LevelsReliable(now) {
							m.levels = b.Levels(now)
						}
						queue = append(queue, m)
					}
				}
				for ; now.Sub(begin) > 14*time.Second && float64(asked) < requestsPerSecond*(now.Sub(begin)-14*time.Second).Seconds(); asked++ {
					units := 3000 + 11000*r.Float64()
					if _, ok := f.nodes[r.IntN(nodes)].Take(now, "ws", units); ok {
						got = append(got, admission{now, units})
					}
				}
			}
			total, worst := 0.0, 0.0
			for i, a := range got {
				sum := 0.0
				for _, b := range got[i:] {
					if b.at.Sub(a.at) < window {
						sum += b.units
					}
				}
				worst, total = max(worst, sum), total+a.units
			}
			bound := (rate*window.Seconds()+burst)*1.1 + slack
			t.Logf("worst window %.0f of %.0f, used %.2f of the rate", worst, bound, total/(rate*16))
			if worst > bound {
				t.Errorf("%.0f units within a window, at most %.0f", worst, bound)
			}
			if total < 0.9*rate*16 {
				t.Errorf("%.0f units admitted, of %.0f that the rate yields", total, rate*16)
			}
		})
	}
}
