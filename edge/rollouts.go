package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/rollout"
	"mustardvane.org/vane/sched"
)

// Durations and limits of the roll-outs.
const (
	rolloutInterval   = 50 * time.Millisecond  // between two rounds
	statusRetryDelay  = 300 * time.Millisecond // before a failed write of a state is retried
	statusLease       = 300 * time.Millisecond // lease time that must remain when a state is written
	maxReleaseResults = 256                    // results that wait for the next message; further ones are dropped
)

// rollouts moves services to new releases. Every node compares the releases and limits
// its own requests; the lease holder decides on the stages and records the states. Its
// methods are safe for concurrent use.
type rollouts struct {
	node *Node

	mu       sync.Mutex
	trackers map[string]*rollout.Tracker // by service
	begins   map[string]time.Time        // by service: recorded begin of a roll-out that began before this node learned of it, until correctBegins uses it
	writing  map[string]bool             // by service: a state is being written
	results  []mesh.ReleaseResult        // for the next message
}

func newRollouts(node *Node) *rollouts {
	return &rollouts{node: node, trackers: make(map[string]*rollout.Tracker), begins: make(map[string]time.Time), writing: make(map[string]bool)}
}

// orderID identifies the request for a roll-out, whatever its state.
func orderID(r vane.Rollout) string {
	return r.Target + "/" + strconv.FormatInt(r.Duration.Milliseconds(), 10)
}

// orderedAgain reports whether an order that a node knows to have ended was given again,
// by its recorded state. After a restore, a state from before the end comes from the copy.
func orderedAgain(known, r vane.Rollout) bool {
	return known.Ended() && !r.Ended() && r.Revision > known.Revision && vane.RestoresOf(r.Revision) == vane.RestoresOf(known.Revision)
}

// update takes the roll-outs of the view. It runs on each change of the view, so that an
// upstream of the new release never gets more than its share.
func (o *rollouts) update(now time.Time, v *mirror.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service := range o.trackers {
		if _, ok := v.Rollouts[service]; !ok {
			delete(o.trackers, service)
			delete(o.begins, service)
		}
	}
	for service, r := range v.Rollouts {
		t, ok := o.trackers[service]
		if ok && orderID(t.Rollout()) == orderID(r) && !orderedAgain(t.Rollout(), r) {
			t.SetRollout(now, r)
			continue
		}
		delete(o.begins, service)
		if !r.Began.IsZero() {
			o.begins[service] = r.Began
		}
		o.trackers[service] = rollout.New(r, now, rollout.Limits{Share: o.node.settings.ExposeShare})
		o.node.log.Info("rollout", "service", service, "release", r.Target, "state", r.State.String(), "duration_ms", r.Duration.Milliseconds())
	}
	o.applyShares(now)
}

// correctBegins counts the recorded begins of roll-outs from the present wall time on which most
// nodes agree. On a clock that was an hour ahead, a lease holder that started during a roll-out
// rolled it back at once. The caller must hold o.mu.
func (o *rollouts) correctBegins(now, wall time.Time) {
	for service, began := range o.begins {
		o.trackers[service].SetAge(now, wall.Sub(began))
	}
	clear(o.begins)
}

// applyShares passes the shares to the placer. The caller must hold o.mu.
func (o *rollouts) applyShares(now time.Time) {
	shares := make(map[string]sched.ReleaseShare, len(o.trackers))
	for service, t := range o.trackers {
		stage, _ := t.Stage()
		shares[service] = sched.ReleaseShare{Release: t.Rollout().Target, Share: t.Share(now), Faulty: stage == canary.StageRolledBack}
	}
	o.node.placer.SetReleaseShares(shares)
}

// Record adds the result of a request of this node, and queues it for the other nodes.
func (o *rollouts) Record(u vane.Upstream, service string, s canary.Sample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, ok := o.trackers[service]
	if !ok || t.Rollout().Ended() {
		return
	}
	if len(o.results) < maxReleaseResults {
		o.results = append(o.results, mesh.ReleaseResult{
			Service: service, Release: u.Release, Route: s.Route, Failed: s.Failed, Waited: s.Unanswered, FirstUS: microseconds(s.FirstToken),
			Uncached: uint32(max(0, s.UncachedTokens)), GapUS: microseconds(s.TokenGap),
		})
	}
	o.add(time.Now(), t, rollout.Result{Release: u.Release, Sample: s})
}

// microseconds returns d as a positive number of microseconds that fits the message.
func microseconds(d time.Duration) uint32 { return uint32(min(max(0, d.Microseconds()), 1<<31)) }

// add adds a result. If it makes the release faulty, this node stops sending to it and
// tells the others. The caller must hold o.mu.
func (o *rollouts) add(now time.Time, t *rollout.Tracker, r rollout.Result) {
	r.Sample.At = now
	if !t.Add(now, r) {
		return
	}
	o.applyShares(now)
	o.logStage(now, "release faulty", t, "own_evidence")
	o.node.mesh.SendNow()
}

// logStage logs a stage with the evidence for it.
func (o *rollouts) logStage(now time.Time, msg string, t *rollout.Tracker, cause string) {
	r, e := t.Rollout(), t.Evidence(now)
	stage, fence := t.Stage()
	o.node.log.Info(msg, "service", r.Service, "release", r.Target, "stage", stage.String(), "cause", cause, "fence", fence, "share", t.Share(now),
		"old_results", e.OldResults, "new_results", e.NewResults, "good", e.Good, "evidence_age_ms", e.Age.Milliseconds(),
		"reason", e.Regression.Reason.String(), "route", e.Regression.Route, "observed", e.Regression.Observed, "expected", e.Regression.Expected)
}

// fill adds the stages and the queued results to a message. Nodes that do not hold the
// lease announce only that a release is faulty.
func (o *rollouts) fill(m *mesh.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, t := range o.trackers {
		r := t.Rollout()
		stage, _ := t.Stage()
		if r.Ended() || m.Fence == 0 && stage != canary.StageRolledBack {
			continue
		}
		m.Rollouts = append(m.Rollouts, mesh.RolloutUpdate{Service: service, Order: orderID(r), Stage: int(stage), Fence: m.Fence})
	}
	m.ReleaseResults, o.results = o.results, nil
}

// receive takes the stages and the results of another node.
func (o *rollouts) receive(now time.Time, m *mesh.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, u := range m.Rollouts {
		t, ok := o.trackers[u.Service]
		if !ok || orderID(t.Rollout()) != u.Order {
			continue
		}
		before, _ := t.Stage()
		if canary.Stage(u.Stage) == canary.StageRolledBack {
			if t.Stop(now) {
				o.logStage(now, "release faulty", t, "told_by "+m.Name)
				o.node.mesh.SendNow()
			}
		} else {
			t.Follow(now, canary.Stage(u.Stage), u.Fence)
		}
		if after, _ := t.Stage(); after != before {
			o.applyShares(now)
		}
	}
	for _, x := range m.ReleaseResults {
		if t, ok := o.trackers[x.Service]; ok && !t.Rollout().Ended() {
			o.add(now, t, rollout.Result{Release: x.Release, Sample: canary.Sample{
				Route: x.Route, Failed: x.Failed, Unanswered: x.Waited, FirstToken: time.Duration(x.FirstUS) * time.Microsecond,
				UncachedTokens: int(x.Uncached), TokenGap: time.Duration(x.GapUS) * time.Microsecond,
			}})
		}
	}
}

// Run implements kernel.Service.
func (o *rollouts) Run(ctx context.Context, ready func()) error {
	ready()
	var wg sync.WaitGroup
	for clock.Sleep(ctx, rolloutInterval) {
		for _, r := range o.tick(time.Now()) {
			wg.Go(func() { o.writeStatus(ctx, r) })
		}
	}
	wg.Wait()
	return nil
}

// tick advances the stages at the lease holder, renews the shares, and returns the states
// to record.
func (o *rollouts) tick(now time.Time) []vane.Rollout {
	fence, holds := o.node.leases.HoldsFor(0, statusLease)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.trackers) == 0 {
		return nil
	}
	offset, confirmed := o.node.mirror.WallOffset()
	if !confirmed {
		o.applyShares(now)
		return nil
	}
	wall := clock.BootTime().Add(offset)
	o.correctBegins(now, wall)
	var due []vane.Rollout
	for service, t := range o.trackers {
		if !holds {
			continue
		}
		if !t.Rollout().Ended() && t.Decide(now, fence) {
			o.logStage(now, "rollout stage", t, "decided")
			o.node.mesh.SendNow()
		}
		if o.writing[service] {
			continue
		}
		if r, ok := t.Due(now, o.node.placer.InFlightElsewhere(service, t.Rollout().Target)); ok {
			if t.Rollout().Began.IsZero() {
				r = r.WithBegan(wall.Add(-now.Sub(r.Began)))
			}
			o.writing[service] = true
			due = append(due, r)
		}
	}
	o.applyShares(now)
	return due
}

// writeStatus records a state. The write is conditional, so that a holder that has lost
// the lease can't overwrite a newer state.
func (o *rollouts) writeStatus(ctx context.Context, r vane.Rollout) {
	var version uint64
	status, err := o.node.adapter.Rollouts.EncodeRolloutStatus(r)
	if err == nil {
		version, err = o.node.storeClient.PutStatus(ctx, r.Key, r.Revision, status)
	}
	now := time.Now()
	if err != nil {
		o.node.log.Warn("rollout state not recorded; will retry", "service", r.Service, "release", r.Target, "state", r.State.String(), "err", err.Error())
		clock.Sleep(ctx, statusRetryDelay)
	} else {
		o.node.log.Info("rollout state recorded", "service", r.Service, "release", r.Target, "state", r.State.String(), "revision", version)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.writing, r.Service)
	if t, ok := o.trackers[r.Service]; ok && err == nil && orderID(t.Rollout()) == orderID(r) {
		r.Revision = version
		t.SetRollout(now, r)
		o.applyShares(now)
	}
}
