package admit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// engines is a service whose capacity is 250 requests a second.
func engines(factor float64) load {
	return load{
		nodes: 20, upstreams: 20, role: vane.RoleEngine, slots: 64, queue: 192, work: 80 * time.Millisecond, base: 70 * time.Millisecond, objective: 800 * time.Millisecond, limit: 5 * time.Second,
		rate: 150, factor: factor, from: 4 * time.Second, to: 10 * time.Second, end: 16 * time.Second,
	}
}

// plain is a service whose capacity is 1,000 requests a second.
func plain(factor float64) load {
	return load{
		nodes: 20, upstreams: 5, role: vane.RoleService, slots: 6, queue: 24, work: 30 * time.Millisecond, objective: 200 * time.Millisecond, limit: 2 * time.Second,
		rate: 600, factor: factor, from: 4 * time.Second, to: 10 * time.Second, end: 16 * time.Second,
	}
}

// quick is a service whose requests take half of the time that nodes assume at first.
func quick(factor float64) load {
	l := plain(factor)
	l.work, l.objective, l.rate = 15*time.Millisecond, 150*time.Millisecond, 1200
	return l
}

// large has the nodes, engines and long prompts of the largest site, at whose rate a burst
// of 2.5 times the usual load was lost.
func large(factor float64) load {
	l := engines(factor)
	l.nodes, l.upstreams, l.rate = 59, 60, 450
	return l
}

// In calm, nothing waits or is refused. In a burst, the worth of the answers comes near to
// that of the best order, and is higher than without package admit. Guards against time
// limits that pass in the queues of upstreams, and against refusals while places are free.
func TestReplay(t *testing.T) {
	for _, tt := range []struct {
		name   string
		load   load
		least  float64 // share of the bound
		before float64 // least gain over the behaviour without package admit
	}{
		{"engines, usual rate", engines(1), 0.98, 0},
		{"engines, 1.5", engines(1.5), 0.95, -0.01},
		{"engines, 2.5", engines(2.5), 0.75, 0.3},
		{"engines, 5", engines(5), 0.66, 0.4},
		{"plain, usual rate", plain(1), 0.99, 0},
		{"plain, 1.5", plain(1.5), 0.97, -0.02},
		{"plain, 2.5", plain(2.5), 0.85, 0.01},
		{"plain, 5", plain(5), 0.85, 0.06},
		{"plain, work of 15 ms, usual rate", quick(1), 0.99, 0},
		{"plain, work of 15 ms, 1.5", quick(1.5), 0.98, -0.02},
		{"large, 2.5", large(2.5), 0.67, 0.15},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(max(1, 40/tt.load.nodes)) {
				f := replay(tt.load, seed)
				l := tt.load
				l.direct = true
				before := replay(l, seed)
				bound := l.bound(seed)
				t.Logf("seed %d: %s; before: %s; bound %.0f", seed, f.all, before.all, bound)
				is.True(f.all.value() >= tt.least*bound)
				is.True(f.all.value() >= (1+tt.before)*before.all.value())
				if tt.load.factor == 1 {
					is.Equal(f.all.waited, 0)
					is.Equal(f.all.refused, 0)
				}
			}
		})
	}
}

// A workspace at five times its rate must not push out the others.
func TestReplayBurstOfOneWorkspace(t *testing.T) {
	for _, tt := range []struct {
		name  string
		load  load
		least float64 // share of the others' requests that are answered in time
	}{{"engines", engines(2.5), 0.70}, {"plain", plain(2.5), 0.78}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := tt.load
			l.workspaces = func(r *rand.Rand, burst bool) string {
				n := 5.0
				if burst {
					n *= l.factor
				}
				if x := r.Float64() * n; x < 4 {
					return fmt.Sprint("w", int(x))
				}
				return "x"
			}
			f := replay(l, 1)
			l.direct = true
			before := replay(l, 1)
			for _, w := range []string{"w0", "w1", "w2", "w3", "x"} {
				t.Logf("%s: %s; before: %s", w, f.by[w], before.by[w])
				if w != "x" {
					is.True(float64(f.by[w].onTime) >= tt.least*float64(f.by[w].total))
				}
			}
		})
	}
}

// More urgent requests are answered in time at least as often as less urgent ones, and
// none starve.
func TestReplayRanks(t *testing.T) {
	for _, tt := range []struct {
		name string
		load load
	}{{"engines", engines(2.5)}, {"plain", plain(2.5)}, {"plain, 5", plain(5)}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := tt.load
			l.workspaces = func(r *rand.Rand, _ bool) string { return fmt.Sprint("w", r.IntN(3)) }
			l.rank = func(w string) int { return int(w[1] - '0') }
			f := replay(l, 1)
			last := 1.0
			for _, w := range []string{"w0", "w1", "w2"} {
				o := f.by[w]
				share := float64(o.onTime) / float64(o.total)
				t.Logf("%s: %s", w, o)
				is.True(share <= last)
				is.True(share > 0.1)
				last = share
			}
		})
	}
}

// Each fault happens in a burst. The nodes must not do much worse than without it, and
// never worse than without package admit.
func TestReplayFaults(t *testing.T) {
	for _, tt := range []struct {
		name  string
		edit  func(l *load)
		least float64 // share of the bound of the load without faults
	}{
		{"no reports", func(l *load) { l.noReports = true }, 0.65},
		{"a node joins", func(l *load) {
			l.fault = func(f *fleet) {
				f.at(6*time.Second, func() { f.addNode("n99") })
			}
		}, 0.70},
		{"engines crash with their queues", func(l *load) {
			l.fault = func(f *fleet) {
				for i := range 3 {
					f.at(time.Duration(6+i)*time.Second, func() { f.ups[fmt.Sprintf("u%02d", i)].crash(3 * time.Second) })
				}
			}
		}, 0.60},
		{"work taken for half as long", func(l *load) { l.assumed = 0.5 }, 0.55},
		{"work taken for twice as long", func(l *load) { l.assumed = 2 }, 0.55},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := engines(2.5)
			bound := l.bound(1)
			tt.edit(&l)
			f := replay(l, 1)
			l.direct = true
			before := replay(l, 1)
			t.Logf("%s; before: %s; bound %.0f", f.all, before.all, bound)
			is.True(f.all.value() >= tt.least*bound)
			is.True(f.all.value() >= before.all.value())
		})
	}
}

// If all upstreams of a service are gone, waiting and new requests are refused at once.
func TestReplayAllUpstreamsGone(t *testing.T) {
	is := is.New(t)
	l := engines(2.5)
	var waiting int
	l.fault = func(f *fleet) {
		f.at(8*time.Second, func() {
			for _, name := range slices.Sorted(maps.Keys(f.ups)) {
				f.ups[name].remove()
			}
			for _, n := range f.nodes {
				waiting += len(n.waiting)
			}
			f.all.heldMax = 0
		})
	}
	f := replay(l, 1)
	is.Equal(waiting, 0)
	is.Equal(f.all.heldMax, time.Duration(0))
	is.Equal(f.all.failed, 0)
}
