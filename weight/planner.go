package weight

import (
	"cmp"
	"math"
	"slices"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/sched"
)

// Parameters of the plan.
const (
	loadDivisor       = 6                       // number of engines per job that is always allowed; engines that load at the same time slow each other
	drainDivisor      = 6                       // number of engines per additional job, since some engines with a job still wait for running requests to end
	busyInFlight      = 4                       // mean requests in flight per engine above which the engines are busy
	typicalLoadTime   = 2600 * time.Millisecond // time from an order to the end of loading, including the wait for running requests
	firstReportDelay  = 1300 * time.Millisecond // pause after an accepted order, since loading takes at least as long
	reportInterval    = 200 * time.Millisecond  // time between two requests for a report, since reports are delayed by about as much
	unknownOrderDelay = 300 * time.Millisecond  // pause after an order without an answer
	rejectedDelay     = time.Second             // pause after an order that was rejected
	jobTimeout        = 10 * time.Second        // time after which a job is abandoned if its engine has not loaded the weights

	// MaxLoadTime is the longest time for which an order keeps an engine from getting
	// requests.
	MaxLoadTime = 5 * time.Second
)

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	ActReport ActionKind = iota // ask the engine for a report
	ActOrder                    // order the engine to load weights
)

// Action is a call to an engine that the caller of [Planner.Tick] is to make.
type Action struct {
	Kind     ActionKind
	Engine   vane.Upstream
	Weights  uint64 // number of the weights to load
	Expected uint64 // number of orders that the engine must have accepted before; zero for ActReport
}

// job is the state of loading weights on one engine.
type job struct {
	incarnation uint64    // incarnation of the engine at the start of the job
	weights     uint64    // number of the weights to load
	ordersKnown bool      // orders holds a number that the engine reported
	orders      uint64    // number of orders that the engine has accepted, by its last report
	ordered     bool      // an order was sent
	accepted    bool      // the engine accepted the order
	calling     bool      // the caller of Tick is carrying out an action and has not passed its result
	next        time.Time // earliest time of the next action
	since       time.Time // start of the job
}

// Planner holds the jobs of one model's engines. It is not safe for concurrent use.
type Planner struct{ jobs map[string]*job }

// NewPlanner returns a planner without jobs.
func NewPlanner() *Planner { return &Planner{jobs: make(map[string]*job)} }

// Active returns the number of engines with a job.
func (p *Planner) Active() int { return len(p.jobs) }

// Tick returns the actions that are due, at most one for each engine. The caller must
// pass the result of each to [Planner.HandleReport] or [Planner.HandleOrderResult];
// until then there is no further action for the engine. target is the number of the
// weights that the engines are to serve, and left is the time until all of them must
// serve these weights. If mayOrder is false, Tick starts no jobs and only asks for
// reports on orders that were sent before.
func (p *Planner) Tick(now time.Time, engines []sched.Engine, target uint64, left time.Duration, mayOrder bool) []Action {
	byName := make(map[string]sched.Engine, len(engines))
	for _, e := range engines {
		byName[e.Name] = e
	}
	p.prune(now, byName)
	if mayOrder {
		p.start(now, engines, target, left)
	}
	var out []Action
	for name, j := range p.jobs {
		if j.calling || now.Before(j.next) || !mayOrder && !j.ordered {
			continue
		}
		e := byName[name]
		if !j.ordered {
			// Weights that were replaced before the order is sent are not loaded at all.
			j.weights = max(j.weights, target)
		}
		j.calling = true
		a := Action{Engine: e.Upstream, Weights: j.weights, Kind: ActReport}
		if j.ordersKnown && !j.ordered {
			a.Kind, a.Expected, j.ordered = ActOrder, j.orders, true
		}
		out = append(out, a)
	}
	return out
}

// prune deletes the jobs of engines that are gone, were restarted or serve the weights,
// and those that timed out.
func (p *Planner) prune(now time.Time, engines map[string]sched.Engine) {
	for name, j := range p.jobs {
		e, ok := engines[name]
		if !ok || e.Incarnation != j.incarnation || e.Weights >= j.weights || now.Sub(j.since) > jobTimeout {
			delete(p.jobs, name)
		}
	}
}

// start adds jobs up to the limit: first for engines with the oldest weights, whose time
// limit ends first, and among these for the least busy.
func (p *Planner) start(now time.Time, engines []sched.Engine, target uint64, left time.Duration) {
	limit := p.limit(engines, target, left)
	var due []sched.Engine
	for _, e := range engines {
		if _, active := p.jobs[e.Name]; !active && e.Weights < target && !e.Ejected {
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
		p.jobs[e.Name] = &job{incarnation: e.Incarnation, weights: target, since: now}
	}
}

// limit returns the maximum number of jobs at a time. If the engines are busy, it is the
// smallest number, within the bounds that loadDivisor and drainDivisor set, with which
// all engines load in the time that is left, because each loading engine reduces the
// capacity for requests.
func (p *Planner) limit(engines []sched.Engine, target uint64, left time.Duration) int {
	least := (len(engines) + loadDivisor - 1) / loadDivisor
	most := least + len(engines)/drainDivisor
	behind, inFlight := 0, 0
	for _, e := range engines {
		inFlight += e.InFlight
		if e.Weights < target {
			behind++
		}
	}
	if inFlight <= busyInFlight*len(engines) || left <= 0 {
		return most
	}
	need := int(math.Ceil(float64(behind) * float64(typicalLoadTime) / float64(left)))
	return min(max(need, least), most)
}

// HandleOrderResult records the engine's answer to an order. It does nothing if the
// engine has no job.
func (p *Planner) HandleOrderResult(now time.Time, name string, r vane.OrderResult) {
	j, ok := p.jobs[name]
	if !ok {
		return
	}
	j.calling = false
	switch r {
	case vane.OrderAccepted:
		j.accepted, j.next = true, now.Add(firstReportDelay)
	case vane.OrderAlreadyLoaded:
		j.next = now
	case vane.OrderUnknown:
		j.next = now.Add(unknownOrderDelay)
	default:
		j.ordered, j.ordersKnown, j.next = false, false, now.Add(rejectedDelay)
	}
}

// HandleReport records an engine's report, or the error of asking for it. It reports
// whether the engine serves the weights of its job, which is then done. It returns false
// and does nothing if the engine has no job.
func (p *Planner) HandleReport(now time.Time, name, model string, r vane.EngineReport, err error) bool {
	j, ok := p.jobs[name]
	if !ok {
		return false
	}
	j.calling = false
	j.next = now.Add(reportInterval)
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
	if !j.ordered || !j.accepted || r.AcceptedOrders == j.orders {
		// The engine is not loading: it has not accepted the order, or not yet. Sending
		// the order again with the same expected number is safe.
		if j.ordersKnown && j.accepted && now.Sub(j.since) < firstReportDelay+2*reportInterval {
			return false // the report may be older than the order
		}
		j.ordersKnown, j.orders, j.ordered, j.accepted = true, r.AcceptedOrders, false, false
		j.next = now
	}
	return false
}
