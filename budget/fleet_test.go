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

// Parameters of the simulated fleet.
const (
	simNodes     = 4
	simRate      = 1000.0
	simBurst     = 8000.0
	simWorkspace = "w"
)

// simulation is a fleet of accounts and one allocator in virtual time, with all
// faults that the protocol tolerates. It contains no protocol logic of its own.
type simulation struct {
	rnd       *rand.Rand
	now       time.Time
	nodes     []*simNode
	allocator *budget.Allocator
	former    *budget.Allocator // allocator whose lease has ended and that still answers; nil if none
	holder    bool              // the newest allocator holds its lease
	fence     uint64
	stored    lease.Record // content of the lease object
	log       []spend      // tokens taken at all nodes
	denied    int          // requests not admitted
	valid     *bool        // lease state seen by the newest allocator
	actions   []func(*simNode)
}

// simNode is one incarnation of a node.
type simNode struct {
	name        string
	incarnation uint64
	account     *budget.Account
	fence       uint64
	opens       []openRequest
	inFlight    []pendingReply // answers in flight
}

type openRequest struct {
	takeID budget.TakeID
	n      float64
	log    int
}

type pendingReply struct {
	sent  time.Time
	fence uint64
	give  *wire.Give
}

func limits(string) (budget.Limits, bool) {
	return budget.Limits{Rate: simRate, Burst: simBurst}, true
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 7)), now: epoch}
	for i := range simNodes {
		s.nodes = append(s.nodes, s.incarnation(fmt.Sprintf("n%d", i), 1))
	}
	s.takeOver()
	s.drawActions()
	return s
}

// incarnation returns a new incarnation of a node.
func (s *simulation) incarnation(name string, incarnation uint64) *simNode {
	t, _ := limits("")
	return &simNode{name: name, incarnation: incarnation, account: budget.NewAccount(s.now, t)}
}

// takeOver gives the shard to a new allocator after the former lease has ended.
func (s *simulation) takeOver() {
	valid := true
	s.valid = &valid
	s.allocator = budget.NewAllocator(1, limits, budget.AllocatorHooks{
		Holds:  func(int) (uint64, bool) { return 0, valid },
		Recall: func(budget.RecallTarget, string) {}, RenewSoon: func(int) {},
	})
	before := s.stored
	s.stored = lease.Record{Holder: "allocator", Data: s.allocator.LeaseData(0, lease.Acquire, before.Data)}
	s.fence++
	s.holder = true
	s.allocator.Acquire(s.now, lease.Acquisition{Fence: s.fence, Previous: before})
}

// write renews the lease. The write may be lost, or it takes effect and its answer
// is lost.
func (s *simulation) write(p lease.Purpose) {
	if !s.holder {
		return
	}
	r := lease.Record{Holder: "allocator", Released: p == lease.Release, Data: s.allocator.LeaseData(0, p, s.stored.Data)}
	value, _ := json.Marshal(r)
	switch s.rnd.IntN(4) {
	case 0: // the write is lost
	case 1: // the answer is lost
		s.stored = r
	default:
		s.stored = r
		s.allocator.LeaseWritten(0, value)
	}
}

// jumps are the time steps that a schedule may make at once: short ones, and ones
// close to the lifetime of a share.
var jumps = []time.Duration{
	5 * time.Second, time.Minute, budget.ShareTTL / 2, budget.ShareTTL * 96 / 100, budget.ShareTTL * 995 / 1000, budget.ShareTTL * 102 / 100,
}

// drawActions chooses how often each action occurs in this schedule.
func (s *simulation) drawActions() {
	choices := []struct {
		maxWeight float64
		f         func(n *simNode)
	}{
		{450, s.request}, {200, s.settle}, {300, s.exchange}, {60, s.deliver}, {40, s.lend},
		{3, func(n *simNode) { n.account.SetMinShare(s.rnd.Float64() / 4) }},
		{15, func(n *simNode) { n.account.Recall(s.rnd.Float64()) }},
		{40, func(*simNode) { s.write(lease.Renew) }},
		{5, s.restart},
		{4, func(*simNode) { s.loseHolder() }},
		{3, s.outage},
		{4, s.release},
		{6, func(*simNode) { s.now = s.now.Add(jumps[s.rnd.IntN(len(jumps))]) }},
	}
	for _, a := range choices {
		for range 1 + int(a.maxWeight*s.rnd.Float64()*s.rnd.Float64()) {
			s.actions = append(s.actions, a.f)
		}
	}
}

// step advances the time and runs a random action on a random node.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.rnd.IntN(400)) * time.Millisecond)
	s.actions[s.rnd.IntN(len(s.actions))](s.nodes[s.rnd.IntN(len(s.nodes))])
}

// request takes tokens at a node.
func (s *simulation) request(n *simNode) {
	want := 10 + s.rnd.Float64()*simBurst/16
	n.account.RecordDemand(s.now, want)
	m, ok := n.account.Take(s.now, want)
	if !ok {
		s.denied++
		return
	}
	s.log = append(s.log, spend{s.now, want})
	n.opens = append(n.opens, openRequest{m, want, len(s.log) - 1})
}

// settle ends a random open request of a node.
func (s *simulation) settle(n *simNode) {
	if len(n.opens) == 0 {
		return
	}
	i := s.rnd.IntN(len(n.opens))
	o := n.opens[i]
	used := o.n * s.rnd.Float64()
	n.account.Settle(s.now, o.takeID, o.n, used)
	s.log[o.log].n = used
	n.opens = append(n.opens[:i], n.opens[i+1:]...)
}

// exchange sends an ask to the allocator. The ask or its answer may be lost; the
// answer may be late, but not after the node has stopped waiting for it.
func (s *simulation) exchange(n *simNode) {
	ask := n.account.BuildAsk(s.now, simWorkspace, s.rnd.Float64()*simBurst/2, n.fence)
	req := &wire.ExchangeRequest{Node: n.name, Incarnation: n.incarnation, Fence: n.fence, Asks: []*wire.Ask{ask}}
	if s.rnd.IntN(10) == 0 {
		return
	}
	allocator := s.allocator
	if s.former != nil && s.rnd.IntN(3) == 0 {
		allocator = s.former
	}
	reply := allocator.Exchange(s.now, req)
	if !reply.GetHolder() || s.rnd.IntN(10) == 0 {
		return
	}
	n.inFlight = append(n.inFlight[:0], pendingReply{s.now, reply.GetFence(), reply.GetGives()[0]})
	if s.rnd.IntN(3) > 0 {
		s.deliver(n)
	}
}

// deliver applies the answers in flight to a node, except those that have timed out
// or have an older fence.
func (s *simulation) deliver(n *simNode) {
	for _, r := range n.inFlight {
		if s.now.Sub(r.sent) < time.Second && r.fence >= n.fence {
			n.fence = r.fence
			n.account.ApplyGive(s.now, r.sent, r.give)
		}
	}
	n.inFlight = n.inFlight[:0]
}

// lend makes a node borrow from a peer. The answer may be lost.
func (s *simulation) lend(n *simNode) {
	p := s.nodes[s.rnd.IntN(len(s.nodes))]
	if p == n {
		return
	}
	sent := s.now
	g := p.account.Lend(s.now, &wire.Ask{Workspace: simWorkspace, Want: s.rnd.Float64() / 2})
	if s.rnd.IntN(5) > 0 {
		n.account.Borrow(s.now, sent, g)
	}
}

// restart replaces a node by its next incarnation.
func (s *simulation) restart(n *simNode) {
	*n = *s.incarnation(n.name, n.incarnation+1)
}

// loseHolder ends the lease because the allocator crashes or fails to renew, and
// another allocator takes over.
func (s *simulation) loseHolder() {
	s.endLease()
	if s.rnd.IntN(2) == 0 {
		s.now = s.now.Add(7 * time.Second)
	}
	s.former = nil // the allocator has crashed
	if s.rnd.IntN(2) == 0 {
		s.former = s.allocator // the allocator failed to renew and still answers
	}
	s.takeOver()
}

// endLease ends the lease of the newest allocator.
func (s *simulation) endLease() {
	*s.valid, s.holder = false, false
	s.allocator.LeaseExpired(0, s.now)
}

// outage ends the lease while no other allocator holds it. Later the same allocator
// acquires it again, or another one takes over.
func (s *simulation) outage(*simNode) {
	if s.holder {
		s.endLease()
		return
	}
	if s.rnd.IntN(3) > 0 {
		*s.valid, s.holder = true, true
		s.allocator.Acquire(s.now, lease.Acquisition{Fence: s.fence + 1, Previous: s.stored, Resumed: true})
		s.fence++
		return
	}
	s.loseHolder()
}

// release hands the shard over on a planned stop. An ask of a node may reach the
// allocator during the release.
func (s *simulation) release(n *simNode) {
	if !s.holder {
		return
	}
	r := lease.Record{Holder: "allocator", Released: true, Data: s.allocator.LeaseData(0, lease.Release, s.stored.Data)}
	s.exchange(n)
	s.endLease()
	s.stored, s.former = r, nil
	s.takeOver()
}

// shares returns the sum of all usable shares, including the pool's, and the sum of
// the tokens in them.
func (s *simulation) shares() (share, tokens float64) {
	for _, n := range s.nodes {
		tokens += max(0, n.account.Level(s.now))
		share += n.account.Share()
	}
	if s.holder {
		for _, p := range s.allocator.LedgerStatuses(s.now) {
			share += p.Pool
			tokens += p.Tokens
		}
	}
	return share, tokens
}

// TestFleetNeverExceedsItsBudget runs random schedules of all faults and checks rate
// and burst in every window.
func TestFleetNeverExceedsItsBudget(t *testing.T) {
	const seeds, steps = 1200, 2500
	served, denied := 0, 0
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		for i := range steps {
			s.step()
			if share, tokens := s.shares(); share > 1+1e-6 || tokens > simBurst+tolerance {
				t.Fatalf("seed %d, step %d: shares add up to %.6f and hold %.1f tokens", seed, i, share, tokens)
			}
		}
		slices.SortStableFunc(s.log, func(a, b spend) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if over := measure(simRate, simBurst, s.log); over > tolerance {
			t.Fatalf("seed %d: %.3f tokens over the limit", seed, over)
		}
		served += len(s.log)
		denied += s.denied
	}
	t.Logf("%d seeds: %d requests served, %d denied", seeds, served, denied)
	if served < seeds*steps/20 {
		t.Fatalf("only %d requests were served; too few for the check to be meaningful", served)
	}
}
