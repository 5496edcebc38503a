package budget_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mustardvane.org/vane/budget"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/wire"
)

// Sizes of the model.
const (
	modelNodes = 4
	modelRate  = 1000.0
	modelBurst = 8000.0
	modelWS    = "w"
)

// world is a fleet of accounts and one hub in virtual time, with all the faults
// that the protocol allows for. It holds no protocol logic of its own.
type world struct {
	rnd    *rand.Rand
	now    time.Time
	nodes  []*modelNode
	hub    *budget.Allocator
	former *budget.Allocator // a holder whose lease has ended and that goes on
	holder bool
	fence  uint64
	stored lease.Record // what the lease object holds
	log    []spend
	denied int
	valid  *bool // the newest holder's lease
	acts   []func(*modelNode)
}

// modelNode is one life of a node.
type modelNode struct {
	name  string
	boot  uint64
	acc   *budget.Account
	fence uint64
	opens []modelOpen
	late  []modelReply // answers that are still on their way
}

type modelOpen struct {
	mark budget.TakeID
	n    float64
	log  int
}

type modelReply struct {
	sent  time.Time
	fence uint64
	give  *wire.Give
}

func terms(string) (budget.Limits, bool) {
	return budget.Limits{Rate: modelRate, Burst: modelBurst}, true
}

func newWorld(seed uint64) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 7)), now: epoch}
	for i := range modelNodes {
		w.nodes = append(w.nodes, w.boot(fmt.Sprintf("n%d", i), 1))
	}
	w.takeOver()
	w.draw()
	return w
}

// boot begins a new life of a node.
func (w *world) boot(name string, boot uint64) *modelNode {
	t, _ := terms("")
	return &modelNode{name: name, boot: boot, acc: budget.NewAccount(w.now, t)}
}

// takeOver makes a new hub hold the shard, after the lease of the one before.
func (w *world) takeOver() {
	valid := true
	w.valid = &valid
	w.hub = budget.NewAllocator(1, terms, budget.AllocatorHooks{
		Holds:  func(int) (uint64, bool) { return 0, valid },
		Recall: func(budget.RecallTarget, string) {}, RenewSoon: func(int) {},
	})
	before := w.stored
	w.stored = lease.Record{Holder: "hub", Data: w.hub.LeaseData(0, lease.Acquire, before.Data)}
	w.fence++
	w.holder = true
	w.hub.Acquire(w.now, lease.Taken{Fence: w.fence, Before: before})
}

// write renews the lease; the answer may be lost after it took effect, or the
// write may never arrive.
func (w *world) write(p lease.Purpose) {
	if !w.holder {
		return
	}
	r := lease.Record{Holder: "hub", Released: p == lease.Release, Data: w.hub.LeaseData(0, p, w.stored.Data)}
	value, _ := json.Marshal(r)
	switch w.rnd.IntN(4) {
	case 0: // lost before it took effect
	case 1: // lost afterwards
		w.stored = r
	default:
		w.stored = r
		w.hub.LeaseWritten(0, value)
	}
}

// jumps are the times that may pass at once: a while, or about as long as a share
// lives.
var jumps = []time.Duration{
	5 * time.Second, time.Minute, budget.ShareTTL / 2, budget.ShareTTL * 96 / 100, budget.ShareTTL * 995 / 1000, budget.ShareTTL * 102 / 100,
}

// draw draws how often each thing happens in this schedule.
func (w *world) draw() {
	acts := []struct {
		most float64
		f    func(n *modelNode)
	}{
		{450, w.request}, {200, w.settle}, {300, w.exchange}, {60, w.deliver}, {40, w.lend},
		{3, func(n *modelNode) { n.acc.SetMinShare(w.rnd.Float64() / 4) }},
		{15, func(n *modelNode) { n.acc.Recall(w.rnd.Float64()) }},
		{40, func(*modelNode) { w.write(lease.Renew) }},
		{5, w.restart},
		{4, func(*modelNode) { w.loseHub() }},
		{3, w.outage},
		{4, w.release},
		{6, func(*modelNode) { w.now = w.now.Add(jumps[w.rnd.IntN(len(jumps))]) }},
	}
	for _, a := range acts {
		for range 1 + int(a.most*w.rnd.Float64()*w.rnd.Float64()) {
			w.acts = append(w.acts, a.f)
		}
	}
}

// step lets a random thing happen.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.rnd.IntN(400)) * time.Millisecond)
	w.acts[w.rnd.IntN(len(w.acts))](w.nodes[w.rnd.IntN(len(w.nodes))])
}

// request takes tokens on a node.
func (w *world) request(n *modelNode) {
	want := 10 + w.rnd.Float64()*modelBurst/16
	n.acc.RecordDemand(w.now, want)
	m, ok := n.acc.Take(w.now, want)
	if !ok {
		w.denied++
		return
	}
	w.log = append(w.log, spend{w.now, want})
	n.opens = append(n.opens, modelOpen{m, want, len(w.log) - 1})
}

// settle ends a random open request.
func (w *world) settle(n *modelNode) {
	if len(n.opens) == 0 {
		return
	}
	i := w.rnd.IntN(len(n.opens))
	o := n.opens[i]
	used := o.n * w.rnd.Float64()
	n.acc.Settle(w.now, o.mark, o.n, used)
	w.log[o.log].n = used
	n.opens = append(n.opens[:i], n.opens[i+1:]...)
}

// exchange asks the hub. The ask or its answer may be lost; the answer may come
// late, but not after the node has stopped to wait for it.
func (w *world) exchange(n *modelNode) {
	ask := n.acc.BuildAsk(w.now, modelWS, w.rnd.Float64()*modelBurst/2, n.fence)
	req := &wire.ExchangeRequest{Node: n.name, Incarnation: n.boot, Fence: n.fence, Asks: []*wire.Ask{ask}}
	if w.rnd.IntN(10) == 0 {
		return
	}
	hub := w.hub
	if w.former != nil && w.rnd.IntN(3) == 0 {
		hub = w.former
	}
	reply := hub.Exchange(w.now, req)
	if !reply.GetHolder() || w.rnd.IntN(10) == 0 {
		return
	}
	n.late = append(n.late[:0], modelReply{w.now, reply.GetFence(), reply.GetGives()[0]})
	if w.rnd.IntN(3) > 0 {
		w.deliver(n)
	}
}

// deliver hands a node the answer that is on its way, unless it is void by now.
func (w *world) deliver(n *modelNode) {
	for _, r := range n.late {
		if w.now.Sub(r.sent) < time.Second && r.fence >= n.fence {
			n.fence = r.fence
			n.acc.ApplyGive(w.now, r.sent, r.give)
		}
	}
	n.late = n.late[:0]
}

// lend lets a node borrow from a peer, the answer of which may be lost.
func (w *world) lend(n *modelNode) {
	p := w.nodes[w.rnd.IntN(len(w.nodes))]
	if p == n {
		return
	}
	sent := w.now
	g := p.acc.Lend(w.now, &wire.Ask{Workspace: modelWS, Want: w.rnd.Float64() / 2})
	if w.rnd.IntN(5) > 0 {
		n.acc.Borrow(w.now, sent, g)
	}
}

// restart ends a life of a node and begins the next one.
func (w *world) restart(n *modelNode) {
	*n = *w.boot(n.name, n.boot+1)
}

// loseHub lets the holder crash, or stop renewing, and another one take over when
// its lease is over.
func (w *world) loseHub() {
	w.end()
	if w.rnd.IntN(2) == 0 {
		w.now = w.now.Add(7 * time.Second)
	}
	w.former = nil // it crashed
	if w.rnd.IntN(2) == 0 {
		w.former = w.hub // it only could not renew
	}
	w.takeOver()
}

// end lets the newest holder's lease end.
func (w *world) end() {
	*w.valid, w.holder = false, false
	w.hub.LeaseExpired(0, w.now)
}

// outage lets the lease end with no other holder, and later either be taken again
// by the same holder or not.
func (w *world) outage(*modelNode) {
	if w.holder {
		w.end()
		return
	}
	if w.rnd.IntN(3) > 0 {
		*w.valid, w.holder = true, true
		w.hub.Acquire(w.now, lease.Taken{Fence: w.fence + 1, Before: w.stored, Resumed: true})
		w.fence++
		return
	}
	w.loseHub()
}

// release hands the shard over on a planned stop. A node's ask may reach the
// holder while it does.
func (w *world) release(n *modelNode) {
	if !w.holder {
		return
	}
	r := lease.Record{Holder: "hub", Released: true, Data: w.hub.LeaseData(0, lease.Release, w.stored.Data)}
	w.exchange(n)
	w.end()
	w.stored, w.former = r, nil
	w.takeOver()
}

// shares returns the sum of all shares that can be used, the pool's included, and
// the sum of the tokens in them.
func (w *world) shares() (share, tokens float64) {
	for _, n := range w.nodes {
		tokens += max(0, n.acc.Level(w.now))
		share += n.acc.Share()
	}
	if w.holder {
		for _, p := range w.hub.Positions(w.now) {
			share += p.Pool
			tokens += p.Tokens
		}
	}
	return share, tokens
}

// TestFleetNeverExceedsItsBudget runs random schedules of every fault and checks
// rate and burst in every window.
func TestFleetNeverExceedsItsBudget(t *testing.T) {
	const seeds, steps = 1200, 2500
	served, denied := 0, 0
	for seed := range uint64(seeds) {
		w := newWorld(seed)
		for i := range steps {
			w.step()
			if share, tokens := w.shares(); share > 1+1e-6 || tokens > modelBurst+tolerance {
				t.Fatalf("seed %d, step %d: shares add up to %.6f and hold %.1f tokens", seed, i, share, tokens)
			}
		}
		slices.SortStableFunc(w.log, func(a, b spend) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if over := measure(modelRate, modelBurst, w.log); over > tolerance {
			t.Fatalf("seed %d: %.3f tokens over the limit", seed, over)
		}
		served += len(w.log)
		denied += w.denied
	}
	t.Logf("%d seeds: %d requests served, %d denied", seeds, served, denied)
	if served < seeds*steps/20 {
		t.Fatalf("only %d requests were served; the test shows nothing", served)
	}
}
