package weight_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/weight"
)

var begin = time.Unix(7000, 0)

// engine is a simulated engine.
type engine struct {
	weights uint64
	orders  uint64    // number of accepted orders
	loading uint64    // number of the weights that it is loading; zero if none
	doneAt  time.Time // end of the current load
	inUse   int       // requests in flight
}

// site is a set of simulated engines. Up to three engines that load at the same time do so
// at full speed; more slow each other.
type site struct {
	engines []*engine
	loads   int                   // total number of orders that the engines accepted
	lose    func() bool           // returns true if the answer to an order is lost and the order is carried out late
	late    []func(now time.Time) // orders that are carried out late; an entry is nil once it was carried out
	lateAt  []time.Time           // times at which the late orders are carried out
}

// newSite returns a site of n engines that serve the weights 1.
func newSite(n int) *site {
	s := &site{lose: func() bool { return false }}
	for range n {
		s.engines = append(s.engines, &engine{weights: 1})
	}
	return s
}

// name returns the name of the engine i.
func name(i int) string { return fmt.Sprintf("e%02d", i) }

// view returns the engines as the planner sees them.
func (s *site) view() []sched.Engine {
	var out []sched.Engine
	for i, e := range s.engines {
		out = append(out, sched.Engine{Upstream: vane.Upstream{Name: name(i), Weights: e.weights, Model: "m"}, InFlight: e.inUse})
	}
	return out
}

// busy returns the number of engines that are loading.
func (s *site) busy() (n int) {
	for _, e := range s.engines {
		if e.loading > 0 {
			n++
		}
	}
	return n
}

// tick carries out the late orders that are due and ends finished loads.
func (s *site) tick(now time.Time) {
	for i := range s.late {
		if s.late[i] != nil && !now.Before(s.lateAt[i]) {
			s.late[i](now)
			s.late[i] = nil
		}
	}
	for _, e := range s.engines {
		if e.loading > 0 && !now.Before(e.doneAt) {
			e.weights, e.loading = e.loading, 0
		}
	}
}

// order gives the engine i an order and returns its answer.
func (s *site) order(now time.Time, i int, weights, expected uint64) vane.OrderResult {
	e := s.engines[i]
	if e.loading > 0 || e.orders != expected {
		return vane.OrderBusy
	}
	e.orders++
	e.loading = weights
	e.doneAt = now.Add(1300 * time.Millisecond * time.Duration(max(3, s.busy())) / 3)
	s.loads++
	return vane.OrderAccepted
}

// run lets the planner control the site until all engines serve the target weights. It
// returns the time that this took, or the limit and false if the limit was reached.
func (s *site) run(p *weight.Planner, target func(now time.Time) uint64, limit time.Duration) (time.Duration, bool) {
	for now := begin; now.Sub(begin) < limit; now = now.Add(50 * time.Millisecond) {
		s.tick(now)
		for _, a := range p.Tick(now, s.view(), target(now), 10*time.Second-now.Sub(begin), true) {
			var i int
			_, _ = fmt.Sscanf(a.Engine.Name, "e%d", &i)
			e := s.engines[i]
			if a.Kind == weight.ActReport {
				p.HandleReport(now, a.Engine.Name, "m", vane.EngineReport{Weights: map[string]uint64{"m": e.weights}, Busy: e.loading > 0, AcceptedOrders: e.orders}, nil)
				continue
			}
			if s.lose() {
				s.late = append(s.late, func(now time.Time) { s.order(now, i, a.Weights, a.Expected) })
				s.lateAt = append(s.lateAt, now.Add(3*time.Second))
				p.HandleOrderResult(now, a.Engine.Name, vane.OrderUnknown)
				continue
			}
			p.HandleOrderResult(now, a.Engine.Name, s.order(now, i, a.Weights, a.Expected))
		}
		done := true
		for _, e := range s.engines {
			done = done && e.weights >= target(now) && e.loading == 0
		}
		if done && now.Sub(begin) > time.Second {
			return now.Sub(begin), true
		}
	}
	return limit, false
}

func TestAllEnginesLoadWithinTheLimit(t *testing.T) {
	is := is.New(t)
	s := newSite(18)
	took, ok := s.run(weight.NewPlanner(), func(time.Time) uint64 { return 2 }, 12*time.Second)
	is.True(ok)
	is.True(took <= 10*time.Second)
	is.Equal(s.loads, 18) // each engine loads once
}

// While engines are busy, only as many load at a time as the time limit requires, and all
// load within it.
func TestBusyEnginesLoadInTime(t *testing.T) {
	is := is.New(t)
	s := newSite(12)
	for _, e := range s.engines {
		e.inUse = 10
	}
	p := weight.NewPlanner()
	p.Tick(begin, s.view(), 2, 11*time.Second, true)
	is.Equal(p.Active(), 3)
	for _, e := range s.engines {
		e.inUse = 1
	}
	p = weight.NewPlanner()
	p.Tick(begin, s.view(), 2, 11*time.Second, true)
	is.Equal(p.Active(), 4)
	for _, e := range s.engines {
		e.inUse = 10
	}
	took, ok := s.run(weight.NewPlanner(), func(time.Time) uint64 { return 2 }, 12*time.Second)
	is.True(ok)
	is.True(took <= 11*time.Second)
}

// Newer weights are announced while engines load. Engines with the oldest weights load
// first, so that none serves them for too long, and no engine is ordered to load weights
// that were replaced before the order.
func TestOldestWeightsFirst(t *testing.T) {
	is := is.New(t)
	s := newSite(18)
	var oldest time.Time // last time at which an engine served the oldest weights
	target := func(now time.Time) uint64 {
		outdated := 0
		for _, e := range s.engines {
			if e.weights == 1 {
				outdated++
			}
		}
		if outdated > 0 {
			oldest = now
		}
		if now.Sub(begin) > 4*time.Second {
			return 3
		}
		return 2
	}
	_, ok := s.run(weight.NewPlanner(), target, 30*time.Second)
	is.True(ok)
	is.True(oldest.Sub(begin) <= 12*time.Second)
}

// A planner that may no longer give orders, because its node lost the lease, still learns
// the outcome of the orders that it gave before.
func TestWithoutTheRightToOrder(t *testing.T) {
	is := is.New(t)
	s := newSite(6)
	p := weight.NewPlanner()
	for _, a := range p.Tick(begin, s.view(), 2, 10*time.Second, true) {
		p.HandleReport(begin, a.Engine.Name, "m", vane.EngineReport{}, nil)
	}
	sent := p.Tick(begin, s.view(), 2, 10*time.Second, true)
	is.True(len(sent) > 0)
	for _, a := range sent {
		is.Equal(a.Kind, weight.ActOrder)
		p.HandleOrderResult(begin, a.Engine.Name, vane.OrderAccepted)
	}
	for now := begin; now.Sub(begin) < 5*time.Second; now = now.Add(50 * time.Millisecond) {
		for _, a := range p.Tick(now, s.view(), 2, 10*time.Second, false) {
			is.Equal(a.Kind, weight.ActReport)
			p.HandleReport(now, a.Engine.Name, "m", vane.EngineReport{Weights: map[string]uint64{"m": 2}, AcceptedOrders: 1}, nil)
		}
	}
	is.Equal(p.Active(), 0)
}

// Guards against orders whose answers are lost and that engines carry out seconds later.
// Such an order never replaces newer weights, and no engine loads the same weights twice.
func TestLateOrders(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 1))
			s := newSite(12)
			s.lose = func() bool { return r.IntN(2) == 0 }
			_, ok := s.run(weight.NewPlanner(), func(time.Time) uint64 { return 2 }, 40*time.Second)
			is.True(ok)
			s.tick(begin.Add(time.Minute))
			s.tick(begin.Add(2 * time.Minute))
			for _, e := range s.engines {
				is.Equal(e.weights, uint64(2))
				is.Equal(e.orders, uint64(1))
			}
		})
	}
}
