package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustardvane.org/vane/quota"
)

// load is the load of one workspace on the nodes of a site. Each node sends a message
// every period, which arrives after the delay.
type load struct {
	nodes         int
	rate          float64 // of the limit, whose burst is one second of it
	period, delay time.Duration
	interval      time.Duration // that the nodes are told, see SetInterval
	demand        float64       // average units per second that the callers ask for, as a multiple of rate
	at            int           // number of nodes that the callers use
	idle          time.Duration // time before the load begins
	lasts         time.Duration
}

// step is the time between two steps of a simulation.
const step = 10 * time.Millisecond

// mail delivers the messages of the nodes of a fleet to each other.
type mail struct {
	fleet         *fleet
	period, delay time.Duration
	queue         []message // oldest first
}

// message is a message on its way.
type message struct {
	from             int
	at               time.Time // time of its arrival
	admitted, levels map[string]float64
}

// step delivers the messages that arrive by now, in step n, and sends those that are due.
func (m *mail) step(now time.Time, n int) {
	for len(m.queue) > 0 && !now.Before(m.queue[0].at) {
		x := m.queue[0]
		m.queue = m.queue[1:]
		for j, o := range m.fleet.nodes {
			if j != x.from {
				o.Receive(now, m.fleet.names[x.from], m.fleet.boots[x.from], x.admitted, x.levels)
			}
		}
	}
	for i, b := range m.fleet.nodes {
		if (n+i)%int(m.period/step) == 0 {
			x := message{from: i, at: now.Add(m.delay), admitted: b.Admitted()}
			if b.LevelsReliable(now) {
				x.levels = b.Levels(now)
			}
			m.queue = append(m.queue, x)
		}
	}
}

// worstWindow returns the most units that were admitted within loadWindow.
func worstWindow(got []admission) float64 {
	sum, worst, first := 0.0, 0.0, 0
	for _, a := range got {
		sum += a.units
		for a.at.Sub(got[first].at) >= loadWindow {
			sum -= got[first].units
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// admission is an admitted request.
type admission struct {
	at    time.Time
	units float64
}

const (
	loadWindow = 8 * time.Second
	loadSlack  = 110_000.0
	minUnits   = 3000.0 // least size of a request
	rangeUnits = 11000.0
)

// bound is the highest number of units within loadWindow.
func (l load) bound() float64 { return (l.rate*loadWindow.Seconds()+l.rate)*1.1 + loadSlack }

// play runs the load and returns the largest number of units that were admitted within
// loadWindow, all that were admitted and all that were asked for.
func (l load) play(seed uint64) (worst, total, asked float64) {
	r := rand.New(rand.NewPCG(seed, 9))
	f := newFleet(l.nodes, quota.Limit{Rate: l.rate, Burst: l.rate})
	for _, b := range f.nodes {
		b.SetInterval(l.interval)
	}
	m := mail{fleet: f, period: l.period, delay: l.delay}
	var got []admission
	now, count := begin, 0
	perSecond := l.demand * l.rate / (minUnits + rangeUnits/2)
	for n := 0; now.Sub(begin) < l.idle+l.lasts; n++ {
		now = now.Add(step)
		m.step(now, n)
		for ; now.Sub(begin) > l.idle && float64(count) < perSecond*(now.Sub(begin)-l.idle).Seconds(); count++ {
			units := minUnits + rangeUnits*r.Float64()
			asked += units
			if _, ok := f.nodes[r.IntN(l.at)].Take(now, "ws", units); ok {
				got = append(got, admission{now, units})
			}
		}
	}
	for _, a := range got {
		total += a.units
	}
	return worstWindow(got), total, asked
}

// Guards against too many admissions when many nodes learn late what the others admit. One
// workspace sends five times its rate through 83 nodes from the first second of the load
// on, in prompts of some thousand tokens. Each node sends a message every half second,
// which arrives 0.8 s later. The load lasts from 14 s to 30 s after the start. In no window
// of eight seconds may more than the limit be admitted, and over the whole load at least
// nine tenths of the rate must be.
func TestHotWorkspaceAtManyNodes(t *testing.T) {
	l := load{
		nodes: 83, rate: 931_467, period: 500 * time.Millisecond, delay: 800 * time.Millisecond, interval: time.Second,
		demand: 4.8, at: 83, idle: 14 * time.Second, lasts: 16 * time.Second,
	}
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkLoad(t, l, seed, 0.9) })
	}
}

// checkLoad plays a load and fails the test if more than the limit was admitted, or less
// than the fraction of what was asked for within the rate.
func checkLoad(t *testing.T, l load, seed uint64, fraction float64) {
	t.Helper()
	worst, total, asked := l.play(seed)
	due := min(asked, l.rate*l.lasts.Seconds())
	t.Logf("worst window %.0f of %.0f, %.3f of what is due", worst, l.bound(), total/due)
	if worst > l.bound() {
		t.Errorf("%.0f units within a window, at most %.0f", worst, l.bound())
	}
	if total < fraction*due {
		t.Errorf("%.0f units admitted, of %.0f that are due", total, due)
	}
}

// Guards against refusals below the limit because each node admits only a share of it. The
// load lasts long enough for the nodes to learn where it arrives.
func TestShareOfTheLimit(t *testing.T) {
	large := load{nodes: 83, rate: 931_467, period: 500 * time.Millisecond, delay: 800 * time.Millisecond, interval: time.Second}
	small := load{nodes: 8, rate: 100_000, period: 250 * time.Millisecond, delay: 10 * time.Millisecond, interval: 250 * time.Millisecond}
	for _, site := range []struct {
		name string
		load
	}{{"large", large}, {"small", small}} {
		for _, at := range []int{1, site.nodes / 4, site.nodes} {
			for _, demand := range []float64{0.5, 0.8, 1, 2, 5} {
				l := site.load
				l.at, l.demand, l.idle, l.lasts = at, demand, 5*time.Second, 30*time.Second
				t.Run(fmt.Sprintf("%s site, %d nodes, %v of the rate", site.name, at, demand), func(t *testing.T) {
					checkLoad(t, l, 1, 0.9)
				})
			}
		}
	}
}
