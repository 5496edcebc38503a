package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	vane "mustardvane.org/vane"
)

// engines is a service whose capacity is 250 requests a second.
func engines(factor float64) load {
	return load{
		nodes: 20, upstreams: 20, role: vane.RoleEngine, slots: 64, queue: 192, work: 80 * time.Millisecond, objective: 800 * time.Millisecond, limit: 5 * time.Second,
		rate: 150, factor: factor, from: 4 * time.Second, to: 10 * time.Second, end: 16 * time.Second,
	}
}

// plain is a service whose capacity is 1000 requests a second.
func plain(factor float64) load {
	return load{
		nodes: 20, upstreams: 5, role: vane.RoleService, slots: 6, queue: 24, work: 30 * time.Millisecond, objective: 200 * time.Millisecond, limit: 2 * time.Second,
		rate: 600, factor: factor, from: 4 * time.Second, to: 10 * time.Second, end: 16 * time.Second,
	}
}

func TestTrial(t *testing.T) {
	for _, factor := range []float64{1, 1.5, 2.5, 5} {
		for _, l := range []load{engines(factor), plain(factor)} {
			for _, direct := range []bool{true, false} {
				l.direct = direct
				begin := time.Now()
				f := replay(l, 1)
				t.Log(l.role, factor, direct, f.all, "bound", l.bound(1), "held", f.all.heldMax, time.Since(begin))
			}
		}
	}
}

func TestRanks(t *testing.T) {
	for _, l := range []load{engines(2.5), plain(2.5), plain(5), engines(5)} {
		for _, direct := range []bool{true, false} {
			l.direct = direct
			// bursting workspace
			l.workspaces = func(r *rand.Rand, burst bool) string {
				n := 5.0
				if burst {
					n = 5 * l.factor
				}
				if x := r.Float64() * n; x < 4 {
					return fmt.Sprint("w", int(x))
				}
				return "x"
			}
			l.rank = nil
			f := replay(l, 1)
			t.Log(l.role, l.factor, direct, "burst of x", f.all)
			for _, w := range []string{"w0", "w1", "w2", "w3", "x"} {
				t.Log("       ", w, f.by[w])
			}
			l.workspaces = func(r *rand.Rand, burst bool) string { return fmt.Sprint("w", r.IntN(3)) }
			l.rank = func(w string) int { return int(w[1] - '0') }
			f = replay(l, 1)
			t.Log(l.role, l.factor, direct, "ranks", f.all)
			for _, w := range []string{"w0", "w1", "w2"} {
				t.Log("       ", w, f.by[w])
			}
		}
	}
}
