package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"mustardvane.org/vane/member"
	"mustardvane.org/vane/wire"
)

var epoch = time.Unix(1_000_000, 0)

// tickInterval is the virtual time between two calls of State.Tick.
const tickInterval = 200 * time.Millisecond

// network simulates a network of state machines in virtual time.
type network struct {
	now         time.Time
	rnd         *rand.Rand
	loss        float64                  // fraction of messages that are lost
	nodes       map[string]*member.State // by address
	order       []string                 // addresses in the order in which the nodes were added
	crashed     map[string]bool          // by address
	partitioned func(from, to string) bool
	queue       []delivery
	bytes       int // bytes of all messages sent
	changes     []statusChange
	pausedUntil map[string]time.Time // by address
}

// delivery is a message in transit.
type delivery struct {
	at       time.Time
	from, to string
	msg      *wire.Gossip
}

// statusChange is a change of a member's status in a node's view.
type statusChange struct {
	at     time.Time
	node   string
	change member.Change
}

func newNetwork(n int, seed uint64) *network {
	w := &network{
		now: epoch, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*member.State{},
		crashed: map[string]bool{}, partitioned: func(string, string) bool { return false }, pausedUntil: map[string]time.Time{},
	}
	for i := range n {
		w.add(i, 1)
	}
	return w
}

// addr returns the address of node i.
func addr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// add starts node i with the given incarnation.
func (w *network) add(i int, incarnation uint64) {
	a := addr(i)
	if w.nodes[a] == nil {
		w.order = append(w.order, a)
	}
	self := &wire.Member{Name: fmt.Sprintf("n%d", i), Addr: a, Callers: a, Incarnation: incarnation}
	w.nodes[a] = member.New(self, member.WithRandSeed(uint64(i)), member.WithSeeds([]string{addr(0), addr(1)}),
		member.WithChangeFunc(func(c member.Change) { w.changes = append(w.changes, statusChange{w.now, self.Name, c}) }))
	delete(w.crashed, a)
}

// send queues packets with a delay of 1 to 3 ms, unless they are lost or dropped by
// the partition.
func (w *network) send(from string, ps []member.Packet) {
	for _, p := range ps {
		b, _ := proto.Marshal(p.Msg)
		w.bytes += len(b)
		if w.rnd.Float64() < w.loss || w.partitioned(from, p.Addr) {
			continue
		}
		d := time.Duration(1+w.rnd.IntN(3)) * time.Millisecond
		w.queue = append(w.queue, delivery{w.now.Add(d), from, p.Addr, p.Msg})
	}
}

// run advances the virtual time by d.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(tickInterval)
		for _, a := range w.order {
			if !w.stopped(a) {
				w.send(a, w.nodes[a].Tick(w.now))
			}
		}
		for len(w.queue) > 0 {
			q := w.queue
			w.queue = nil
			for _, m := range q {
				if s := w.nodes[m.to]; s != nil && !w.stopped(m.to) {
					w.send(m.to, s.Handle(w.now, m.msg))
				}
			}
		}
	}
}

// stopped reports whether the node at the address has crashed or is paused.
func (w *network) stopped(a string) bool { return w.crashed[a] || w.now.Before(w.pausedUntil[a]) }

// statusOf returns the status of node k in the view of node i.
func (w *network) statusOf(i, k int) (wire.Status, bool) {
	for _, m := range w.nodes[addr(i)].Members() {
		if m.Addr == addr(k) {
			return m.Status, true
		}
	}
	return 0, false
}

// allSee reports whether node k has the status in the views of all other running
// nodes.
func (w *network) allSee(k int, st wire.Status) bool {
	for i := range len(w.order) {
		if i == k || w.crashed[addr(i)] {
			continue
		}
		if got, ok := w.statusOf(i, k); !ok || got != st {
			return false
		}
	}
	return true
}

// countSuspicions returns how many times any node suspected another or declared it
// dead.
func (w *network) countSuspicions() (suspect, dead int) {
	for _, e := range w.changes {
		switch e.change.Member.Status {
		case wire.Status_STATUS_SUSPECT:
			suspect++
		case wire.Status_STATUS_DEAD:
			dead++
		}
	}
	return suspect, dead
}

func TestJoin(t *testing.T) {
	for _, n := range []int{2, 8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newNetwork(n, 1)
			w.run(8 * time.Second)
			for k := range n {
				if !w.allSee(k, wire.Status_STATUS_ALIVE) {
					t.Fatalf("node %d is not alive in the views of all nodes", k)
				}
			}
		})
	}
}

// TestCrash checks that all nodes declare a crashed node dead within a minute, and
// that the node can rejoin with a new incarnation.
func TestCrash(t *testing.T) {
	for _, n := range []int{8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(n, 2)
			w.run(8 * time.Second)
			w.crashed[addr(3)] = true
			begin := w.now
			for !w.allSee(3, wire.Status_STATUS_DEAD) {
				w.run(tickInterval)
				if w.now.Sub(begin) > time.Minute {
					t.Fatal("crashed node not declared dead by all nodes after 1 minute")
				}
			}
			t.Logf("%d nodes: declared dead by all after %s", n, w.now.Sub(begin))
			w.add(3, 2) // the restarted node has a new incarnation
			w.run(5 * time.Second)
			is.True(w.allSee(3, wire.Status_STATUS_ALIVE))
		})
	}
}

// TestLoss checks that no node is declared dead in a healthy fleet that loses 1% or
// 20% of its datagrams.
func TestLoss(t *testing.T) {
	for _, loss := range []float64{0.01, 0.20} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(8, 3)
			w.run(8 * time.Second)
			w.loss, w.changes = loss, nil
			w.run(5 * time.Minute)
			suspect, dead := w.countSuspicions()
			t.Logf("loss %.2f: %d suspicions, %d declarations of death by 8 nodes in 5 minutes", loss, suspect, dead)
			is.Equal(dead, 0)
		})
	}
}

// TestPause pauses one node for ten seconds. The others may declare it dead, but it
// must not declare others dead when it resumes, and must be alive again in all
// views within four seconds.
func TestPause(t *testing.T) {
	is := is.New(t)
	w := newNetwork(8, 4)
	w.run(8 * time.Second)
	w.changes = nil
	w.pausedUntil[addr(2)] = w.now.Add(10 * time.Second)
	w.run(10 * time.Second)
	w.run(4 * time.Second)
	for _, e := range w.changes {
		if e.node == "n2" {
			is.True(e.change.Member.Status != wire.Status_STATUS_DEAD) // it must not attribute its own pause to others
		}
	}
	is.True(w.allSee(2, wire.Status_STATUS_ALIVE))
	is.Equal(w.nodes[addr(2)].Info().Pauses, 1)
}

// TestPartition checks that during a network partition a node sees a member of the other
// side dead and one of its own side alive, and that all nodes find each other again
// after the partition heals.
func TestPartition(t *testing.T) {
	is := is.New(t)
	w := newNetwork(8, 5)
	w.run(8 * time.Second)
	half := func(a string) bool { return a < addr(4) }
	w.partitioned = func(from, to string) bool { return half(from) != half(to) }
	w.run(60 * time.Second)
	st, _ := w.statusOf(0, 7)
	is.Equal(st, wire.Status_STATUS_DEAD)
	st, _ = w.statusOf(0, 2)
	is.Equal(st, wire.Status_STATUS_ALIVE)
	w.partitioned = func(string, string) bool { return false }
	w.run(20 * time.Second)
	for k := range 8 {
		is.True(w.allSee(k, wire.Status_STATUS_ALIVE))
	}
}

// TestLeave checks that all nodes learn of a graceful stop: that the node is leaving
// within a second, and that it has left within two.
func TestLeave(t *testing.T) {
	is := is.New(t)
	w := newNetwork(8, 6)
	w.run(8 * time.Second)
	w.send(addr(5), w.nodes[addr(5)].Leave(w.now))
	w.run(time.Second)
	is.True(w.allSee(5, wire.Status_STATUS_LEAVING))
	w.send(addr(5), w.nodes[addr(5)].AnnounceLeft(w.now))
	w.crashed[addr(5)] = true
	w.run(2 * time.Second)
	is.True(w.allSee(5, wire.Status_STATUS_LEFT))
}

// TestRevisionSpreads checks that 40 nodes learn of a configuration revision known
// to one of them within 14 seconds.
func TestRevisionSpreads(t *testing.T) {
	is := is.New(t)
	w := newNetwork(40, 7)
	w.run(8 * time.Second)
	w.nodes[addr(0)].ConfirmRevision(17, w.now)
	begin := w.now
	for known := 0; known < 40; {
		w.run(tickInterval)
		known = 0
		for _, s := range w.nodes {
			if s.Info().Revision == 17 {
				known++
			}
		}
		is.True(w.now.Sub(begin) < 14*time.Second)
	}
	t.Logf("revision known to 40 nodes after %s", w.now.Sub(begin))
}
