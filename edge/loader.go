package edge

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/weight"
)

// Times of the lease on orders and of the loader.
const (
	leaseTime   = 1800 * time.Millisecond
	renewTime   = 600 * time.Millisecond
	pollTime    = 300 * time.Millisecond
	loadTick    = 50 * time.Millisecond
	noticeTime  = 4 * time.Millisecond   // until the other nodes have heard that an engine will load
	orderMargin = 900 * time.Millisecond // an order must arrive while the lease lasts
	checkPause  = 500 * time.Millisecond // between two questions to an engine in doubt
	recordPause = 500 * time.Millisecond // before a record that was not written is tried again
	notLoading  = -1                     // in a note: the engine is not loading after all
	fenceMargin = 300 * time.Millisecond
)

// loader sends the orders to load weights while this node holds the lease.
type loader struct {
	n *Node

	mu       sync.Mutex
	planners map[string]*weight.Planner // by model
	recorded map[string]uint64          // newest weights whose naming was recorded, by model
	checked  map[string]time.Time       // last report of an engine whose weights were in doubt
	notUntil time.Time                  // on the clock that goes on while suspended
}

// newLoader returns a loader.
func newLoader(n *Node) *loader {
	return &loader{n: n, planners: make(map[string]*weight.Planner), recorded: make(map[string]uint64), checked: make(map[string]time.Time)}
}

// took notes that the lease was taken. Orders wait until those of another holder
// are long past.
func (l *loader) took(t lease.Taken) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planners = make(map[string]*weight.Planner)
	if t.Before.Holder != "" && t.Before.Holder != l.n.set.Node {
		l.notUntil = clock.Suspended().Add(l.n.set.FencePause + fenceMargin)
	}
	l.n.log.Info("lease taken", "fence", t.Fence, "before", t.Before.Holder, "released", t.Before.Released)
}

// Run implements kernel.Service.
func (l *loader) Run(ctx context.Context, ready func()) error {
	ready()
	var wg sync.WaitGroup
	for clock.Sleep(ctx, loadTick) {
		if w, ok := l.unrecorded(); ok {
			wg.Go(func() { l.record(ctx, w) })
		}
		for _, a := range l.due() {
			wg.Go(func() { l.carryOut(ctx, a) })
		}
	}
	wg.Wait()
	return nil
}

// unrecorded returns weights whose naming the holder of the lease has to record.
func (l *loader) unrecorded() (mirror.Weights, bool) {
	if _, ok := l.n.keeper.Holds(0); !ok {
		return mirror.Weights{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for model, w := range l.n.mirror.View().Weights {
		if w.Number > l.recorded[model] {
			l.recorded[model] = w.Number
			return w, true
		}
	}
	return mirror.Weights{}, false
}

// record writes when weights were named, so that nodes that start later know it.
func (l *loader) record(ctx context.Context, w mirror.Weights) {
	key := mirror.WeightsRecordKey(w.Model)
	value, err := json.Marshal(w.Record())
	if err == nil {
		err = l.n.write(ctx, key, value)
	}
	if err != nil {
		l.n.log.Warn("naming of weights not recorded", "model", w.Model, "weights", w.Number, "err", err.Error())
		clock.Sleep(ctx, recordPause)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.recorded[w.Model] = min(l.recorded[w.Model], w.Number-1) // to be written again
	}
}

// due returns the actions that are due. Without the lease, orders that were sent
// before are still followed.
func (l *loader) due() []weight.Action {
	may := l.allowed()
	now := time.Now()
	v := l.n.mirror.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []weight.Action
	for model, w := range v.Weights {
		p, ok := l.planners[model]
		if !ok && !may {
			continue
		}
		if !ok {
			p = weight.NewPlanner()
			l.planners[model] = p
		}
		out = append(out, p.Tick(now, l.n.placer.Engines(now, model), w.Number, l.left(now, w), may)...)
	}
	return out
}

// left returns the time by which all engines must have the weights.
func (l *loader) left(now time.Time, w mirror.Weights) time.Duration {
	oldest := w.Number
	for _, e := range l.n.placer.Engines(now, w.Model) {
		oldest = min(oldest, e.Weights)
	}
	return l.n.set.WeightsLimit - sched.StartMargin - w.OutdatedFor(now, oldest)
}

// allowed says whether an order that is sent now arrives while the lease lasts and
// well after those of the holder before.
func (l *loader) allowed() bool {
	if _, ok := l.n.keeper.HoldsFor(0, orderMargin); !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !clock.Suspended().Before(l.notUntil)
}

// planner returns the planner of a model.
func (l *loader) planner(model string, f func(p *weight.Planner)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.planners[model]; ok {
		f(p)
	}
}

// carryOut performs an action.
func (l *loader) carryOut(ctx context.Context, a weight.Action) {
	model := a.Engine.Model
	if a.Kind == weight.ActReport {
		r, err := l.n.ad.Control.Report(ctx, a.Engine)
		done := false
		l.planner(model, func(p *weight.Planner) { done = p.Reported(time.Now(), a.Engine.Name, model, r, err) })
		if done {
			l.loaded(a.Engine.Name, r.Weights[model])
		}
		return
	}
	l.announce(a.Engine.Name, a.Engine.Weights)
	clock.Sleep(ctx, noticeTime)
	fence, ok := l.n.keeper.HoldsFor(0, orderMargin)
	res, err := vane.OrderInvalid, error(nil)
	if ok && l.allowed() {
		res, err = l.n.ad.Control.Order(ctx, a.Engine, vane.WeightsOrder{
			Model: model, Weights: a.Weights, Holder: l.n.set.Node, Fence: fence, Expected: a.Expected,
		})
	}
	l.n.log.Info("order", "upstream", a.Engine.Name, "weights", a.Weights, "before", a.Engine.Weights, "fence", fence, "expected", a.Expected, "result", res.String(), "err", errText(err))
	l.planner(model, func(p *weight.Planner) { p.Answered(time.Now(), a.Engine.Name, res) })
	if res != vane.OrderAccepted && res != vane.OrderUnknown {
		l.n.placer.SetLoading(a.Engine.Name, time.Time{})
		l.n.notes.addEngine(mesh.EngineNote{Upstream: a.Engine.Name, LoadingMS: notLoading})
	}
}

// check asks an engine which weights it serves, after it turned a request away
// because of them.
func (l *loader) check(u vane.Upstream) {
	l.mu.Lock()
	now := time.Now()
	due := u.Role == vane.RoleEngine && now.Sub(l.checked[u.Name]) > checkPause
	if due {
		l.checked[u.Name] = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	go func() {
		r, err := l.n.ad.Control.Report(context.Background(), u)
		if err != nil {
			l.n.log.Warn("weights in doubt", "upstream", u.Name, "believed", u.Weights, "err", err.Error())
			return
		}
		l.judge(time.Now(), u, r)
	}()
}

// judge takes the report of an engine that turned a request away. If the weights are
// what they were believed to be, it did so because another engine has its address now:
// it crashed and was started anew, and its entry is not replaced yet.
func (l *loader) judge(now time.Time, u vane.Upstream, r vane.EngineReport) {
	serves := r.Weights[u.Model]
	l.n.log.Info("weights in doubt", "upstream", u.Name, "believed", u.Weights, "serves", serves, "busy", r.Busy)
	if serves != u.Weights {
		l.n.placer.CorrectWeights(u.Name, serves)
		return
	}
	aside := l.n.placer.RecordFailure(now, u.Name)
	l.n.log.Warn("upstream set aside", "upstream", u.Name, "cause", "replaced", "aside_ms", aside.Milliseconds())
	l.n.failed(u)
}

// announce sets an engine aside on all nodes.
func (l *loader) announce(name string, weights uint64) {
	l.n.placer.SetLoading(name, time.Now().Add(weight.LoadTime))
	l.n.notes.addEngine(mesh.EngineNote{Upstream: name, Weights: weights, LoadingMS: int(weight.LoadTime.Milliseconds())})
	l.n.mesh.SendNow()
}

// loaded tells all nodes that an engine serves new weights.
func (l *loader) loaded(name string, weights uint64) {
	l.n.log.Info("weights loaded", "upstream", name, "weights", weights)
	l.n.placer.SetLoading(name, time.Time{})
	l.n.placer.RecordWeights(name, weights)
	l.n.notes.addEngine(mesh.EngineNote{Upstream: name, Weights: weights})
	l.n.mesh.SendNow()
}

// errText returns the text of an error, or nothing.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
