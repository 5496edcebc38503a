package weight

import (
	"cmp"
	"math"
	"slices"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/sched"
)

// Times and shares of the plan.
const (
	loadShare   = 6                       // one of so many engines loads at a time; more slow each other
	drainShare  = 6                       // one of so many more waits for its running requests to end
	busyEngine  = 4                       // requests in flight from which on an engine is busy
	usualLoad   = 2600 * time.Millisecond // from an order to its end, running requests included
	firstLook   = 1300 * time.Millisecond // a load takes at least as long
	nextLook    = 200 * time.Millisecond  // reports lag by about as much
	unsureLook  = 300 * time.Millisecond  // after an order without an answer
	retryPause  = time.Second             // after an order that was refused
	giveUpAfter = 10 * time.Second        // an engine that has not loaded by then is asked again
	// LoadTime bounds how long an engine is set aside by one order.
	LoadTime = 5 * time.Second
)

// ActionKind is what is to be done with an engine.
type ActionKind int

// The kinds of actions.
const (
	ActReport ActionKind = iota // ask for a report
	ActOrder                    // send an order
)

// Action is a call to an engine.
type Action struct {
	Kind     ActionKind
	Engine   vane.Upstream
	Weights  uint64
	Expected uint64
}

// job is the work on one engine.
type job struct {
	incarnation uint64
	weights     uint64
	known       bool   // orders is known
	orders      uint64 // accepted by the engine
	ordered     bool   // an order was sent
	accepted    bool
	calling     bool // an action is being carried out
	next        time.Time
	since       time.Time
}

// Planner holds the open work. It is not safe for concurrent use.
type Planner struct{ jobs map[string]*job }

// NewPlanner returns a planner without work.
func NewPlanner() *Planner { return &Planner{jobs: make(map[string]*job)} }

// Open returns the number of engines that are being worked on.
func (p *Planner) Open() int { return len(p.jobs) }

// Tick returns the actions that are due. named is the number of the weights that
// the engines are to serve, and left the time by which they must. Without the right
// to order, only the outcome of orders that were sent before is followed.
func (p *Planner) Tick(now time.Time, engines []sched.Engine, named uint64, left time.Duration, mayOrder bool) []Action {
	byName := make(map[string]sched.Engine, len(engines))
	for _, e := range engines {
		byName[e.Name] = e
	}
	p.prune(now, byName)
	if mayOrder {
		p.start(now, engines, named, left)
	}
	var out []Action
	for name, j := range p.jobs {
		if j.calling || now.Before(j.next) || !mayOrder && !j.ordered {
			continue
		}
		e := byName[name]
		if !j.ordered {
			j.weights = max(j.weights, named)
		}
		j.calling = true
		a := Action{Engine: e.Upstream, Weights: j.weights, Kind: ActReport}
		if j.known && !j.ordered {
			a.Kind, a.Expected, j.ordered = ActOrder, j.orders, true
		}
		out = append(out, a)
	}
	return out
}

// prune ends the work on engines that are gone, were replaced or are done.
func (p *Planner) prune(now time.Time, engines map[string]sched.Engine) {
	for name, j := range p.jobs {
		e, ok := engines[name]
		if !ok || e.Incarnation != j.incarnation || e.Weights >= j.weights || now.Sub(j.since) > giveUpAfter {
			delete(p.jobs, name)
		}
	}
}

// start begins the work on further engines: those with the oldest weights first,
// since their time is up first, and of these the least busy.
func (p *Planner) start(now time.Time, engines []sched.Engine, named uint64, left time.Duration) {
	limit := p.limit(engines, named, left)
	var due []sched.Engine
	for _, e := range engines {
		if _, open := p.jobs[e.Name]; !open && e.Weights < named && !e.Ejected {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b sched.Engine) int {
		return cmp.Or(cmp.Compare(a.Weights, b.Weights), cmp.Compare(a.InFlight, b.InFlight))
	})
	for _, e := range due {
		if len(p.jobs) >= limit {
			return
		}
		p.jobs[e.Name] = &job{incarnation: e.Incarnation, weights: named, since: now}
	}
}

// limit returns how many engines may be worked on at a time. While engines are busy
// it is as low as the time that is left allows, since each engine that loads is
// missed.
func (p *Planner) limit(engines []sched.Engine, named uint64, left time.Duration) int {
	least := (len(engines) + loadShare - 1) / loadShare
	most := least + len(engines)/drainShare
	behind, inFlight := 0, 0
	for _, e := range engines {
		inFlight += e.InFlight
		if e.Weights < named {
			behind++
		}
	}
	if inFlight <= busyEngine*len(engines) || left <= 0 {
		return most
	}
	need := int(math.Ceil(float64(behind) * float64(usualLoad) / float64(left)))
	return min(max(need, least), most)
}

// Answered takes the answer to an order.
func (p *Planner) Answered(now time.Time, name string, r vane.OrderResult) {
	j, ok := p.jobs[name]
	if !ok {
		return
	}
	j.calling = false
	switch r {
	case vane.OrderAccepted:
		j.accepted, j.next = true, now.Add(firstLook)
	case vane.OrderHolds:
		j.next = now
	case vane.OrderUnknown:
		j.next = now.Add(unsureLook)
	default:
		j.ordered, j.known, j.next = false, false, now.Add(retryPause)
	}
}

// Reported takes an engine's report, or its failure. It returns true if the engine
// serves the weights of its order.
func (p *Planner) Reported(now time.Time, name, model string, r vane.EngineReport, err error) bool {
	j, ok := p.jobs[name]
	if !ok {
		return false
	}
	j.calling = false
	j.next = now.Add(nextLook)
	if err != nil {
		return false
	}
	if r.Weights[model] >= j.weights && !r.Busy {
		delete(p.jobs, name)
		return true
	}
	if r.Busy {
		return false
	}
	if !j.ordered || !j.accepted || r.Orders == j.orders {
		// Nothing is under way: the order was not accepted, or not yet. Sending it
		// again with the same expected number is safe.
		if j.known && j.accepted && now.Sub(j.since) < firstLook+2*nextLook {
			return false // the report may lag behind the order
		}
		j.known, j.orders, j.ordered, j.accepted = true, r.Orders, false, false
		j.next = now
	}
	return false
}
