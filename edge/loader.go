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

// Durations of the lease on weight orders, and of the loader that sends them.
const (
	leaseDuration    = 1800 * time.Millisecond
	renewInterval    = 600 * time.Millisecond
	pollInterval     = 300 * time.Millisecond
	loadInterval     = 50 * time.Millisecond  // between two rounds of the loader
	announceDelay    = 4 * time.Millisecond   // lets other nodes hear that the engine will load before the order is sent
	orderMargin      = 900 * time.Millisecond // lease time that must remain when an order is sent, so that it arrives under the lease
	checkInterval    = 500 * time.Millisecond // shortest time between two reports requested from an engine whose weights are in doubt
	recordRetryDelay = 500 * time.Millisecond // before a failed write of a weights record is retried
	notLoading       = -1                     // value of EngineUpdate.LoadingMS for an engine that is not loading
	fenceMargin      = 300 * time.Millisecond // added to Settings.FencePause
	startWindow      = 2 * time.Second        // time after the start of a node within which it reads what was there before
)

// loader orders engines to load weights while this node holds the lease. Its methods
// are safe for concurrent use.
type loader struct {
	node *Node

	mu              sync.Mutex
	planners        map[string]*weight.Planner // by model
	recorded        map[string]uint64          // by model: highest weights number for which a record has been written
	lastCheck       map[string]time.Time       // by upstream: when its weights were last checked
	previous        *lease.Record              // record of the previous holder that boundAges is yet to evaluate; nil if there is none
	ordersNotBefore time.Time                  // value of clock.BootTime before which no order is sent; zero for no limit
}

func newLoader(node *Node) *loader {
	return &loader{node: node, planners: make(map[string]*weight.Planner), recorded: make(map[string]uint64), lastCheck: make(map[string]time.Time)}
}

// handleAcquired starts with new planners when the lease is taken. If another node held
// the lease before, orders wait until its last ones must have been processed.
func (l *loader) handleAcquired(t lease.Acquisition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planners = make(map[string]*weight.Planner)
	if t.Uncertain || t.Previous.Holder != "" && t.Previous.Holder != l.node.settings.Node {
		l.ordersNotBefore = clock.BootTime().Add(l.node.settings.FencePause + fenceMargin)
	}
	l.node.log.Info("lease taken", "fence", t.Fence, "before", t.Previous.Holder, "released", t.Previous.Released, "uncertain", t.Uncertain)
	l.previous = &t.Previous
	l.boundPending()
}

// leaseData is what a holder adds to its lease record.
type leaseData struct {
	WrittenMS int64 `json:"written_ms"` // wall time of the write in Unix milliseconds, on which the holder and most nodes agreed
}

// leaseData returns the data for a write of the lease record.
func (l *loader) leaseData() json.RawMessage {
	b, err := json.Marshal(leaseData{WrittenMS: clock.BootTime().Add(l.wallOffset()).UnixMilli()})
	if err != nil {
		l.node.log.Error("lease data not encoded", "err", err.Error())
		return nil
	}
	return b
}

// wallOffset returns the wall time minus the reading of clock.BootTime.
func (l *loader) wallOffset() time.Duration {
	offset, _ := l.node.mirror.WallOffset()
	return offset
}

// boundPending evaluates the record of the previous holder once the wall clock is confirmed. A
// clock that was an hour ahead made the weights of all engines look outdated. The caller must
// hold l.mu.
func (l *loader) boundPending() {
	if l.previous == nil {
		return
	}
	if _, confirmed := l.node.mirror.WallOffset(); confirmed {
		l.boundAges(*l.previous)
		l.previous = nil
	}
}

// boundAges corrects the ages of weights that were named while no node ran. A holder
// records new weights at once, so that unrecorded ones, which this node found at its
// start, were named after the previous holder's last write.
func (l *loader) boundAges(previous lease.Record) {
	var d leaseData
	if len(previous.Data) == 0 {
		return
	}
	if err := json.Unmarshal(previous.Data, &d); err != nil || d.WrittenMS == 0 {
		l.node.log.Warn("lease data of the previous holder not usable", "holder", previous.Holder)
		return
	}
	age := clock.BootTime().Add(l.wallOffset()).Sub(time.UnixMilli(d.WrittenMS))
	for model, w := range l.node.mirror.View().Weights {
		if !w.Since.Before(l.node.startedAt) && w.Since.Sub(l.node.startedAt) < startWindow && w.OutdatedFor(clock.BootTime(), w.Version-1) < age {
			l.node.log.Info("weights named while no node ran", "model", model, "weights", w.Version, "age_ms", age.Milliseconds())
			l.node.mirror.MergeAge(model, w.Version, age, false)
		}
	}
}

// Run implements kernel.Service.
func (l *loader) Run(ctx context.Context, ready func()) error {
	ready()
	var wg sync.WaitGroup
	for clock.Sleep(ctx, loadInterval) {
		l.mu.Lock()
		l.boundPending()
		l.mu.Unlock()
		if w, ok := l.nextUnrecorded(); ok {
			wg.Go(func() { l.writeWeightsRecord(ctx, w) })
		}
		for _, a := range l.dueActions() {
			wg.Go(func() { l.execute(ctx, a) })
		}
	}
	wg.Wait()
	return nil
}

// nextUnrecorded returns target weights for which this node, as the lease holder, has
// yet to write a record, and marks them as recorded. There are none until other nodes have
// confirmed the wall clock, whose times a record holds.
func (l *loader) nextUnrecorded() (mirror.Weights, bool) {
	if _, ok := l.node.leases.Holds(0); !ok {
		return mirror.Weights{}, false
	}
	if _, confirmed := l.node.mirror.WallOffset(); !confirmed {
		return mirror.Weights{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for model, w := range l.node.mirror.View().Weights {
		if w.Version > l.recorded[model] {
			l.recorded[model] = w.Version
			return w, true
		}
	}
	return mirror.Weights{}, false
}

// forgetRecorded makes this node write the records of all weights again when it holds the
// lease.
func (l *loader) forgetRecorded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.recorded)
}

// writeWeightsRecord stores when the weights were designated, so that nodes that start
// later know. After a failure the weights count as unrecorded again.
func (l *loader) writeWeightsRecord(ctx context.Context, w mirror.Weights) {
	key := mirror.WeightsRecordKey(w.Model)
	value, err := json.Marshal(w.Record(l.wallOffset()))
	if err == nil {
		err = l.node.overwrite(ctx, key, value)
	}
	if err != nil {
		l.node.log.Warn("weights record not written; will retry", "model", w.Model, "weights", w.Version, "err", err.Error())
		clock.Sleep(ctx, recordRetryDelay)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.recorded[w.Model] = min(l.recorded[w.Model], w.Version-1) // retry in a later round
	}
}

// dueActions returns the actions of all planners that are due. Without the lease, no
// new orders are planned, but those already sent are still followed up.
func (l *loader) dueActions() []weight.Action {
	allowed := l.mayOrder()
	now := clock.BootTime()
	v := l.node.mirror.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []weight.Action
	for model, w := range v.Weights {
		p, ok := l.planners[model]
		if !ok && !allowed {
			continue
		}
		if !ok {
			p = weight.NewPlanner()
			l.planners[model] = p
		}
		out = append(out, p.Tick(now, l.node.placer.Engines(now, model), w.Version, l.timeLeft(now, w), allowed)...)
	}
	return out
}

// timeLeft returns the time that is left for all engines to load the weights, with a
// margin. It is negative if the limit has passed.
func (l *loader) timeLeft(now time.Time, w mirror.Weights) time.Duration {
	oldest := w.Version
	for _, e := range l.node.placer.Engines(now, w.Model) {
		oldest = min(oldest, e.Weights)
	}
	return l.node.settings.WeightsLimit - sched.StartMargin - w.OutdatedFor(now, oldest)
}

// mayOrder reports whether an order sent now arrives while the lease lasts and well
// after the orders of the previous holder.
func (l *loader) mayOrder() bool {
	if _, ok := l.node.leases.HoldsFor(0, orderMargin); !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !clock.BootTime().Before(l.ordersNotBefore)
}

// withPlanner calls f with the planner of the model under the lock. It does nothing if
// the model has no planner.
func (l *loader) withPlanner(model string, f func(p *weight.Planner)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.planners[model]; ok {
		f(p)
	}
}

// execute performs an action: it requests a report from the engine, or announces and
// sends an order to load weights.
func (l *loader) execute(ctx context.Context, a weight.Action) {
	model := a.Engine.Model
	if a.Kind == weight.ActReport {
		r, err := l.node.adapter.Control.Report(ctx, a.Engine)
		done := false
		l.withPlanner(model, func(p *weight.Planner) { done = p.HandleReport(clock.BootTime(), a.Engine.Name, model, r, err) })
		if done {
			l.announceLoaded(a.Engine.Name, r.Weights[model])
		}
		return
	}
	l.announceLoading(a.Engine.Name, a.Engine.Weights)
	clock.Sleep(ctx, announceDelay)
	fence, ok := l.node.leases.HoldsFor(0, orderMargin)
	// OrderInvalid also stands for an order that is not sent, because the lease or mayOrder
	// no longer allows it.
	res, err := vane.OrderInvalid, error(nil)
	if ok && l.mayOrder() {
		res, err = l.node.adapter.Control.Order(ctx, a.Engine, vane.WeightsOrder{
			Model: model, Weights: a.Weights, Holder: l.node.settings.Node, Fence: fence, ExpectedOrders: a.Expected,
		})
	}
	l.node.log.Info("order", "upstream", a.Engine.Name, "weights", a.Weights, "before", a.Engine.Weights, "fence", fence, "expected", a.Expected, "result", res.String(), "err", errText(err))
	l.withPlanner(model, func(p *weight.Planner) { p.HandleOrderResult(clock.BootTime(), a.Engine.Name, res) })
	if res != vane.OrderAccepted && res != vane.OrderUnknown {
		l.node.placer.SetLoading(a.Engine.Name, time.Time{})
		l.node.pendingUpdates.addEngine(mesh.EngineUpdate{Upstream: a.Engine.Name, LoadingMS: notLoading})
	}
}

// checkWeights requests a report from an engine that rejected a request because of its
// weights. It does not wait for the report, and ignores engines that were checked
// recently.
func (l *loader) checkWeights(u vane.Upstream) {
	l.mu.Lock()
	now := clock.BootTime()
	due := u.Role == vane.RoleEngine && now.Sub(l.lastCheck[u.Name]) > checkInterval
	if due {
		l.lastCheck[u.Name] = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	go func() {
		r, err := l.node.adapter.Control.Report(context.Background(), u)
		if err != nil {
			l.node.log.Warn("weights in doubt", "upstream", u.Name, "believed", u.Weights, "err", err.Error())
			return
		}
		l.handleReport(clock.BootTime(), u, r)
	}()
}

// handleReport evaluates the report of an engine that rejected a request because of its
// weights. If the weights are the expected ones, another engine has taken over the
// address: the previous one crashed and was restarted, and its entry in the store is
// still the old one. The upstream is then set aside on all nodes.
func (l *loader) handleReport(now time.Time, u vane.Upstream, r vane.EngineReport) {
	serves := r.Weights[u.Model]
	l.node.log.Info("weights in doubt", "upstream", u.Name, "believed", u.Weights, "serves", serves, "busy", r.Busy)
	if serves != u.Weights {
		l.node.placer.CorrectWeights(u.Name, serves)
		return
	}
	aside := l.node.placer.RecordFailure(now, u.Name)
	l.node.log.Warn("upstream set aside", "upstream", u.Name, "cause", "replaced", "aside_ms", aside.Milliseconds())
	l.node.reportUnresponsive(u)
}

// announceLoading makes this and all other nodes avoid the engine while it may be
// loading.
func (l *loader) announceLoading(name string, weights uint64) {
	l.node.placer.SetLoading(name, clock.BootTime().Add(weight.MaxLoadTime))
	l.node.pendingUpdates.addEngine(mesh.EngineUpdate{Upstream: name, Weights: weights, LoadingMS: int(weight.MaxLoadTime.Milliseconds())})
	l.node.mesh.SendNow()
}

// announceLoaded tells all nodes that an engine serves new weights.
func (l *loader) announceLoaded(name string, weights uint64) {
	l.node.log.Info("weights loaded", "upstream", name, "weights", weights)
	l.node.placer.SetLoading(name, time.Time{})
	l.node.placer.RecordWeights(name, weights)
	l.node.pendingUpdates.addEngine(mesh.EngineUpdate{Upstream: name, Weights: weights})
	l.node.mesh.SendNow()
}

// errText returns the text of an error, or "" for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
