package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/rollout"
)

// Bounds of the roll-outs in these tests.
const (
	duration    = 15 * time.Second
	exposeShare = 0.1
	exposeSlack = 50
	rollback    = 5 * time.Second
	badAnswers  = 50 // the time limit of the rollback counts from this bad answer
)

var begin = time.Unix(5000, 0)

// fault is a simulated defect of the new release.
type fault struct {
	failureRate float64
	slowFactor  float64
	route       string        // the only affected route; empty for all
	onset       time.Duration // the defect begins this long after the order
	fromShare   float64       // the defect begins when the release gets this share, as under load
}

// message is what a node tells the others.
type message struct {
	to, from int
	at       time.Time
	results  []rollout.Result
	stage    canary.Stage
	holder   bool
	fence    uint64
}

// fleet simulates nodes, their messages and the results of their requests in virtual time.
type fleet struct {
	rnd      *rand.Rand
	nodes    []*rollout.Tracker
	dead     []bool
	cut      []bool // sends and receives no messages
	outbox   [][]rollout.Result
	holder   int
	fence    uint64
	messages []message
	pending  []answer
	order    vane.Rollout // as the store records it
	storeUp  bool
	loss     float64 // share of the messages that are lost
	// All upstreams are down between these times. They take several times as long for as long
	// afterwards, since their caches are empty.
	downFrom, downTo time.Time

	requests, exposed, bad int
	badAt, lastNew         time.Time // time of the bad answer that starts the time limit, and of the last request to the new release
	ended                  time.Time
}

// answer is the result of a request that arrives at a node.
type answer struct {
	at   time.Time
	node int
	bad  bool
	rollout.Result
}

func newFleet(seed uint64, nodes int) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 3)), dead: make([]bool, nodes), cut: make([]bool, nodes), outbox: make([][]rollout.Result, nodes), fence: 7,
		order: vane.Rollout{Key: "rollouts/s", Service: "s", Target: "v2", Duration: duration, Revision: 1}, storeUp: true, loss: 0.02,
	}
	for range nodes {
		f.nodes = append(f.nodes, rollout.New(f.order, begin, rollout.Limits{Share: exposeShare}))
	}
	return f
}

// request sends a request through a random node.
func (f *fleet) request(now time.Time, fl *fault) {
	i := f.rnd.IntN(len(f.nodes))
	if f.dead[i] {
		return
	}
	if !now.Before(f.downFrom) && now.Before(f.downTo) {
		return // no upstream accepts the request
	}
	f.requests++
	route := fmt.Sprint("r", f.rnd.IntN(3))
	uncached := 200 + f.rnd.IntN(8000)
	s := canary.Sample{Route: route, UncachedTokens: uncached}
	first := 0.09 + float64(uncached)/90_000 + 0.03*f.rnd.ExpFloat64()
	gap := 0.022 * (0.6 + f.rnd.Float64() + 0.3*f.rnd.ExpFloat64())
	if after := now.Sub(f.downTo); after >= 0 && after < f.downTo.Sub(f.downFrom) {
		first, gap = first*(1+4*f.rnd.Float64()), gap*(1+4*f.rnd.Float64())
	}
	a := answer{node: i, Result: rollout.Result{Release: "v1"}}
	if share := f.nodes[i].Share(now); f.rnd.Float64() < share {
		f.exposed++
		f.lastNew = now
		a.Release = "v2"
		if fl != nil && (fl.route == "" || fl.route == route) && now.Sub(begin) >= fl.onset && share >= fl.fromShare {
			s.Failed = f.rnd.Float64() < fl.failureRate
			if fl.slowFactor > 1 {
				first, gap = first*fl.slowFactor/2, gap*fl.slowFactor
			}
			a.bad = s.Failed || fl.slowFactor > 1
		}
	}
	d := first + 7*gap
	if s.Failed {
		d = 0.01
	} else {
		s.FirstToken, s.TokenGap = time.Duration(first*1e9), time.Duration(gap*1e9)
	}
	a.Sample, a.at = s, now.Add(time.Duration(d*1e9))
	f.pending = append(f.pending, a)
}

// send sends the message of a node to all others.
func (f *fleet) send(now time.Time, i int) {
	stage, fence := f.nodes[i].Stage()
	for j := range f.nodes {
		if j != i && !f.cut[i] && !f.cut[j] && f.rnd.Float64() >= f.loss {
			f.messages = append(f.messages, message{to: j, from: i, at: now.Add(5 * time.Millisecond), results: f.outbox[i], stage: stage, holder: i == f.holder, fence: fence})
		}
	}
	f.outbox[i] = nil
}

// run plays the roll-out to the end of its duration. each is called in every step.
func (f *fleet) run(fl *fault, each func(now time.Time)) {
	const step = 10 * time.Millisecond
	for now := begin; now.Before(begin.Add(duration)); now = now.Add(step) {
		each(now)
		if f.rnd.Float64() < 0.9 { // 110 requests/s with the next
			f.request(now, fl)
		}
		if f.rnd.Float64() < 0.2 {
			f.request(now, fl)
		}
		f.answers(now)
		f.deliver(now)
		for i := range f.nodes {
			if !f.dead[i] && now.Sub(begin)%(250*time.Millisecond) == time.Duration(i)*step {
				f.send(now, i)
			}
		}
		f.hold(now)
	}
}

// answers hands arrived results to their nodes.
func (f *fleet) answers(now time.Time) {
	f.pending = slices.DeleteFunc(f.pending, func(a answer) bool {
		if a.at.After(now) {
			return false
		}
		if a.bad {
			if f.bad++; f.bad == badAnswers {
				f.badAt = now
			}
		}
		if !f.dead[a.node] {
			f.outbox[a.node] = append(f.outbox[a.node], a.Result)
			if f.nodes[a.node].Add(now, a.Result) {
				f.send(now, a.node)
			}
		}
		return true
	})
}

// deliver hands arrived messages to their nodes.
func (f *fleet) deliver(now time.Time) {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		t := f.nodes[m.to]
		switch {
		case m.at.After(now):
			f.messages = append(f.messages, m)
			continue
		case f.dead[m.to]:
			continue
		case m.stage == canary.StageRolledBack:
			t.Stop(now)
		case m.holder:
			t.Follow(now, m.stage, m.fence)
		}
		for _, r := range m.results {
			t.Add(now, r)
		}
	}
}

// hold does the work of the lease holder. All nodes read the recorded state at once.
func (f *fleet) hold(now time.Time) {
	if f.holder < 0 || f.dead[f.holder] {
		return
	}
	t := f.nodes[f.holder]
	if t.Decide(now, f.fence) {
		f.send(now, f.holder)
	}
	if r, due := t.Due(now, 0); due && f.storeUp {
		r.Revision = f.order.Revision + 1
		f.order = r
		for i, n := range f.nodes {
			if !f.dead[i] && !f.cut[i] {
				n.SetRollout(now, r)
			}
		}
		if r.Ended() {
			f.ended = now
		}
	}
}

// faults are the faults of the bad releases.
var faults = []struct {
	name string
	fault
}{
	{"slow", fault{slowFactor: 5}},
	{"errors", fault{failureRate: 0.4}},
	{"errors later", fault{failureRate: 0.4, onset: 3 * time.Second}},
	{"errors under load", fault{failureRate: 0.4, fromShare: 0.3}},
	{"errors on one route", fault{failureRate: 0.9, route: "r1"}},
	{"slow later", fault{slowFactor: 5, onset: 4 * time.Second}},
}

// TestFaultyReleaseStaysWithinItsShare checks the number of requests that a faulty
// release gets, and the time of the last one.
func TestFaultyReleaseStaysWithinItsShare(t *testing.T) {
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				f := newFleet(seed, 8)
				f.run(&tt.fault, func(time.Time) {})
				f.check(t)
				is.Equal(f.order.State, vane.RolloutRolledBack)
			}
		})
	}
}

// A faulty release is not completed for want of results: after all upstreams were down for
// some time, there are few, and those of the old release are slow, too.
func TestSlowReleaseIsCompletedAfterACrashOfAll(t *testing.T) {
	for _, tt := range faults {
		for _, down := range []time.Duration{3 * time.Second, 6 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprint(tt.name, " ", down), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(20) {
					f := newFleet(seed, 8)
					f.downFrom, f.downTo = begin.Add(800*time.Millisecond), begin.Add(800*time.Millisecond+down)
					f.run(&tt.fault, func(time.Time) {})
					f.check(t)
					is.True(f.order.State != vane.RolloutCompleted)
				}
			})
		}
	}
}

// check checks the bounds that hold whatever happens to the nodes.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	if allowed := exposeShare*float64(f.requests) + exposeSlack; float64(f.exposed) > allowed {
		t.Errorf("%d of %d requests went to the faulty release, %.0f are allowed", f.exposed, f.requests, allowed)
	}
	if late := f.lastNew.Sub(f.badAt); !f.badAt.IsZero() && late > rollback {
		t.Errorf("a request went to the faulty release %v after the bad answer that starts the limit", late)
	}
}

// TestFaultyReleaseWithoutHolderAndStore kills the lease holder early while the store is
// down, and cuts another node off from the others.
func TestFaultyReleaseWithoutHolderAndStore(t *testing.T) {
	for _, tt := range faults {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				f := newFleet(seed, 8)
				f.run(&tt.fault, func(now time.Time) {
					if d := now.Sub(begin); d == 2*time.Second {
						f.dead[0], f.cut[3], f.storeUp = true, true, false
					}
				})
				f.check(t)
			}
		})
	}
}

// TestGoodReleaseIsCompletedInTime lets a node that starts in the middle take the lease
// in half of the runs.
func TestGoodReleaseIsCompletedInTime(t *testing.T) {
	const runs = 200
	completed := 0
	for seed := range uint64(runs) {
		f := newFleet(seed, 8)
		f.run(nil, func(now time.Time) {
			switch d := now.Sub(begin); {
			case seed%2 == 0:
			case d == 4*time.Second:
				f.dead[0] = true
				f.nodes[1] = rollout.New(f.order, now, rollout.Limits{Share: exposeShare})
			case d == 6500*time.Millisecond: // after the lease of the dead node
				f.holder, f.fence = 1, f.fence+1
			}
		})
		if f.order.State == vane.RolloutCompleted {
			completed++
		}
	}
	t.Logf("%d of %d good releases completed", completed, runs)
	is.New(t).True(completed >= runs*99/100)
}

func TestRestartedNodeBeginsWithTheSmallShare(t *testing.T) {
	is := is.New(t)
	r := vane.Rollout{Service: "s", Target: "v2", Duration: duration, Revision: 4, State: vane.RolloutRunning, Began: begin}
	now := begin.Add(9 * time.Second)
	n := rollout.New(r, now, rollout.Limits{Share: exposeShare})
	is.True(n.Share(now) <= exposeShare)
	n.Follow(now, canary.StageHalf, 3)
	is.Equal(n.Share(now), 0.5)
	n.Follow(now, canary.StageTenth, 2) // an earlier holder
	is.Equal(n.Share(now), 0.5)
	is.True(n.Share(now.Add(5*time.Second)) <= exposeShare) // the holder is not heard any more
	n.SetRollout(now, r.WithState(vane.RolloutRolledBack))
	is.Equal(n.Share(now), 0.0)
	n.Follow(now, canary.StageHalf, 9)
	is.Equal(n.Share(now), 0.0)
}

// TestOldReleaseEndsBeforeCompletion checks that requests at the old release are waited
// for, but not beyond the time limit.
func TestOldReleaseEndsBeforeCompletion(t *testing.T) {
	is := is.New(t)
	r := vane.Rollout{Service: "s", Target: "v2", Duration: duration, State: vane.RolloutRunning, Began: begin}
	n := rollout.New(r, begin, rollout.Limits{Share: exposeShare})
	n.Follow(begin, canary.StageDone, 1)
	_, due := n.Due(begin.Add(12*time.Second), 1)
	is.True(!due)
	got, due := n.Due(begin.Add(12*time.Second), 0)
	is.True(due)
	is.Equal(got.State, vane.RolloutCompleted)
	got, due = n.Due(begin.Add(14500*time.Millisecond), 1)
	is.True(due)
	is.Equal(got.State, vane.RolloutCompleted)
}

// TestUnknownReleaseIsRolledBack checks that a release without results is not completed.
func TestUnknownReleaseIsRolledBack(t *testing.T) {
	is := is.New(t)
	n := rollout.New(vane.Rollout{Service: "s", Target: "v2", Duration: duration}, begin, rollout.Limits{Share: exposeShare})
	for d := time.Duration(0); d < duration; d += 100 * time.Millisecond {
		n.Decide(begin.Add(d), 1)
	}
	r, due := n.Due(begin.Add(duration), 0)
	is.True(due)
	is.Equal(r.State, vane.RolloutRolledBack)
}

// The clock of the node that recorded the begin may be wrong.
func TestBeginRecordedByAWrongClock(t *testing.T) {
	for _, skew := range []time.Duration{-duration, -time.Second, time.Second, duration} {
		t.Run(skew.String(), func(t *testing.T) {
			is := is.New(t)
			r := vane.Rollout{Service: "s", Target: "v2", Duration: duration, Revision: 4}
			n := rollout.New(r, begin, rollout.Limits{Share: exposeShare})
			r.Revision++
			n.SetRollout(begin.Add(time.Second), r.WithState(vane.RolloutRunning).WithBegan(begin.Add(skew)))
			is.Equal(n.Decide(begin.Add(duration*87/100), 9), false)
			is.True(n.Decide(begin.Add(duration*89/100), 9))
		})
	}
}
