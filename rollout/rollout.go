package rollout

import (
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
)

// Parameters of the decisions.
const (
	// slowTolerance is the factor by which the times of the new release may exceed those
	// of the old one. Its caches are empty, and its upstreams fill up as its share grows.
	slowTolerance = 1.25
	smallFraction = 0.5 // part of the allowed share that is used in the first stage, and while the stage is not known
	tenthFraction = 0.8 // part of the allowed share that is used in the second stage
	halfShare     = 0.5
	watchShare    = 0.9 // the rest shows whether the old release still works
	minStages     = 14  // a stage lasts at least the roll-out's duration divided by this
	// stageTTL is the age up to which the stage that another node announced counts.
	stageTTL = 2500 * time.Millisecond
)

// stageEnds are the earliest ends of the stages, and deadlines the times by which a
// decision is made, as fractions of the roll-out's duration.
var stageEnds = map[canary.Stage]float64{
	canary.StageSmall: 0.1, canary.StageTenth: 0.45, canary.StageHalf: 0.65, canary.StageWatch: 0.8,
}

const (
	rollBackDeadline = 0.88 // a roll-out that is not proven by then is rolled back
	completeDeadline = 0.93 // requests that still run at the old release are not waited for any longer
)

// minGoodResults are the successful results of the new release that are needed to leave a
// stage.
var minGoodResults = map[canary.Stage]int{canary.StageSmall: 5, canary.StageTenth: 15, canary.StageHalf: 30, canary.StageWatch: 15}

// minOldResults is the number of results of the old release that are needed before the
// share grows.
const minOldResults = 40

// Labels of the two sides of a comparison. All releases but the target are one side.
const (
	oldSide = "old"
	newSide = "new"
)

// Limits are the limits of a roll-out that the operator sets.
type Limits struct {
	Share float64 // share of a service's requests that a faulty release may get
}

// Result is the result of one request at an upstream of a release.
type Result struct {
	Release string
	canary.Sample
}

// Tracker is one node's state of a roll-out. It is not safe for concurrent use.
type Tracker struct {
	rollout    vane.Rollout
	limits     Limits
	learned    time.Time // time from which the duration counts
	comparison *canary.Comparison
	oldResults int

	endLost    bool // the store shows a state from before the recorded end
	stage      canary.Stage
	since      time.Time // time at which the stage began
	goodBefore int       // good results when the stage began
	heard      time.Time // time at which the lease holder last confirmed the stage
	fence      uint64    // fencing number of the node that decided on the stage
	lastResult time.Time
	regression canary.Regression // why the release is faulty; zero if unknown
}

// New returns the tracker of a roll-out that a node learns of at now.
func New(r vane.Rollout, now time.Time, l Limits) *Tracker {
	t := &Tracker{limits: l, comparison: canary.NewComparison(oldSide, newSide), learned: now, since: now}
	if !r.Began.IsZero() {
		// Added to now, so that later steps of the clock do not count.
		t.learned = now.Add(-max(0, now.Sub(r.Began)))
	}
	t.SetRollout(now, r)
	return t
}

// SetAge sets how long ago the roll-out began. It replaces an age that [New] has taken from the
// recorded begin and this node's wall clock, which may differ from that of the node that
// recorded it.
func (t *Tracker) SetAge(now time.Time, age time.Duration) { t.learned = now.Add(-max(0, age)) }

// Rollout returns the roll-out as last recorded.
func (t *Tracker) Rollout() vane.Rollout { return t.rollout }

// SetRollout takes the recorded state. An end that is recorded ends the move, whatever
// the stage. It is to be recorded again if the store has lost it.
func (t *Tracker) SetRollout(now time.Time, r vane.Rollout) {
	if r.Revision < t.rollout.Revision {
		return
	}
	if t.endLost = t.rollout.Ended() && !r.Ended(); t.endLost {
		t.rollout.Revision = r.Revision
		return
	}
	t.rollout = r
	switch r.State {
	case vane.RolloutRolledBack:
		t.enter(now, canary.StageRolledBack)
	case vane.RolloutCompleted:
		t.enter(now, canary.StageDone)
	}
}

// enter begins a stage.
func (t *Tracker) enter(now time.Time, s canary.Stage) {
	if t.stage == s {
		return
	}
	t.stage, t.since, t.goodBefore = s, now, t.comparison.Good()
}

// Add adds a result. It reports whether the result makes the new release faulty. Times
// count only while the old release gets as many requests as the new one, since they
// depend on the load.
func (t *Tracker) Add(now time.Time, r Result) bool {
	s := r.Sample
	s.Version = oldSide
	if r.Release == t.rollout.Target {
		s.Version = newSide
		s.FirstToken = time.Duration(float64(s.FirstToken) / slowTolerance)
		s.TokenGap = time.Duration(float64(s.TokenGap) / slowTolerance)
	} else {
		t.oldResults++
	}
	if t.stage > canary.StageHalf {
		s.FirstToken, s.TokenGap = 0, 0
	}
	t.comparison.Add(s)
	t.lastResult = now
	v, bad := t.comparison.Regression()
	if !bad || t.stage >= canary.StageDone {
		return false
	}
	t.regression = v
	t.enter(now, canary.StageRolledBack)
	return true
}

// Stop rolls the move back because another node found the release faulty. It reports
// whether this node did not know yet. A completed roll-out stays completed: the old
// release is gone.
func (t *Tracker) Stop(now time.Time) bool {
	if t.stage == canary.StageRolledBack || t.rollout.State == vane.RolloutCompleted {
		return false
	}
	t.enter(now, canary.StageRolledBack)
	return true
}

// Follow takes the stage that the holder of the lease with the fencing number announced.
func (t *Tracker) Follow(now time.Time, s canary.Stage, fence uint64) {
	if t.stage == canary.StageRolledBack || fence < t.fence || s < 0 || s > canary.StageDone {
		return
	}
	t.fence, t.heard = fence, now
	t.enter(now, s)
}

// Stage returns the stage and the fencing number of the node that decided on it.
func (t *Tracker) Stage() (canary.Stage, uint64) { return t.stage, t.fence }

// Share returns the share of the service's requests that may go to the new release.
func (t *Tracker) Share(now time.Time) float64 {
	s := t.stage
	if s < canary.StageRolledBack && t.rollout.State != vane.RolloutCompleted && now.Sub(t.heard) > stageTTL {
		s = canary.StageSmall
	}
	switch s {
	case canary.StageSmall:
		return smallFraction * t.limits.Share
	case canary.StageTenth:
		return tenthFraction * t.limits.Share
	case canary.StageHalf:
		return halfShare
	case canary.StageWatch:
		return watchShare
	case canary.StageDone:
		return 1
	}
	return 0
}

// Decide advances the stage at the node that holds the lease with the fencing number. It
// reports whether the stage has changed. A node that takes the lease goes on from the
// stage that it knows, since it has the results of all nodes too.
func (t *Tracker) Decide(now time.Time, fence uint64) bool {
	t.fence, t.heard = fence, now
	if t.stage >= canary.StageDone {
		return false
	}
	passed := now.Sub(t.learned).Seconds() / max(t.rollout.Duration.Seconds(), 1)
	good := t.comparison.Good() - t.goodBefore
	switch {
	case passed > rollBackDeadline && t.proven():
		t.enter(now, canary.StageDone)
	case passed > rollBackDeadline:
		t.enter(now, canary.StageRolledBack)
	case passed < stageEnds[t.stage], now.Sub(t.since) < t.rollout.Duration/minStages:
		return false
	case t.oldResults < minOldResults, good < minGoodResults[t.stage]:
		return false
	default:
		t.enter(now, t.stage+1)
	}
	return true
}

// proven reports whether the new release has had the results in the half stage that are
// needed to leave it. Up to then times count, which show most faults under load.
func (t *Tracker) proven() bool {
	good := t.comparison.Good() - t.goodBefore
	return t.oldResults >= minOldResults && (t.stage > canary.StageHalf || t.stage == canary.StageHalf && good >= minGoodResults[canary.StageHalf])
}

// Due returns the roll-out in the state that is to be recorded, and true if it differs
// from the recorded one. A completed state is due once no requests run at the old
// release, whose upstreams stop at once, or at the deadline.
func (t *Tracker) Due(now time.Time, oldInFlight int) (vane.Rollout, bool) {
	want := vane.RolloutRunning
	switch {
	case t.rollout.Ended():
		return t.rollout, t.endLost
	case t.stage == canary.StageRolledBack:
		want = vane.RolloutRolledBack
	case t.stage == canary.StageDone && (oldInFlight == 0 || now.Sub(t.learned).Seconds() > completeDeadline*t.rollout.Duration.Seconds()):
		want = vane.RolloutCompleted
	}
	r := t.rollout.WithState(want)
	if r.Began.IsZero() {
		r = r.WithBegan(t.learned)
	}
	return r, want != t.rollout.State
}

// Evidence describes what a stage rests on, for the log.
type Evidence struct {
	OldResults int
	NewResults int
	Good       int
	Age        time.Duration // time since the last result
	Regression canary.Regression
}

// Evidence returns what is known of the two releases.
func (t *Tracker) Evidence(now time.Time) Evidence {
	e := Evidence{OldResults: t.oldResults, NewResults: t.comparison.Results(), Good: t.comparison.Good(), Regression: t.regression}
	if !t.lastResult.IsZero() {
		e.Age = now.Sub(t.lastResult)
	}
	return e
}
