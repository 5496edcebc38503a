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

// tick is the time between two calls of Tick.
const tick = 200 * time.Millisecond

// network carries the messages of a few state machines in virtual time.
type network struct {
	now    time.Time
	rnd    *rand.Rand
	loss   float64
	nodes  map[string]*member.State // by address
	order  []string
	down   map[string]bool
	cut    func(from, to string) bool
	queue  []delivery
	bytes  int
	seen   []event
	paused map[string]time.Time
}

type delivery struct {
	at       time.Time
	from, to string
	msg      *wire.Gossip
}

// event is a change of status that a node saw.
type event struct {
	at   time.Time
	node string
	c    member.Change
}

func newNetwork(n int, seed uint64) *network {
	w := &network{
		now: epoch, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*member.State{},
		down: map[string]bool{}, cut: func(string, string) bool { return false }, paused: map[string]time.Time{},
	}
	for i := range n {
		w.add(i, 1)
	}
	return w
}

// addr returns the address of node i.
func addr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// add starts node i in the given life.
func (w *network) add(i int, incarnation uint64) {
	a := addr(i)
	if w.nodes[a] == nil {
		w.order = append(w.order, a)
	}
	self := &wire.Member{Name: fmt.Sprintf("n%d", i), Addr: a, Callers: a, Incarnation: incarnation}
	w.nodes[a] = member.New(self, member.WithRandSeed(uint64(i)), member.WithSeeds([]string{addr(0), addr(1)}),
		member.WithChangeFunc(func(c member.Change) { w.seen = append(w.seen, event{w.now, self.Name, c}) }))
	delete(w.down, a)
}

// send queues packets with a small random delay, unless they are lost.
func (w *network) send(from string, ps []member.Packet) {
	for _, p := range ps {
		b, _ := proto.Marshal(p.Msg)
		w.bytes += len(b)
		if w.rnd.Float64() < w.loss || w.cut(from, p.Addr) {
			continue
		}
		d := time.Duration(1+w.rnd.IntN(3)) * time.Millisecond
		w.queue = append(w.queue, delivery{w.now.Add(d), from, p.Addr, p.Msg})
	}
}

// run lets time pass.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(tick)
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

// stopped says whether the node is down or paused.
func (w *network) stopped(a string) bool { return w.down[a] || w.now.Before(w.paused[a]) }

// view returns the status that node i has of node k.
func (w *network) view(i, k int) (wire.Status, bool) {
	for _, m := range w.nodes[addr(i)].Members() {
		if m.Addr == addr(k) {
			return m.Status, true
		}
	}
	return 0, false
}

// agree says whether all running nodes see node k in the status.
func (w *network) agree(k int, st wire.Status) bool {
	for i := range len(w.order) {
		if i == k || w.down[addr(i)] {
			continue
		}
		if got, ok := w.view(i, k); !ok || got != st {
			return false
		}
	}
	return true
}

// suspicions returns how often a running node was suspected or declared dead.
func (w *network) suspicions() (suspect, dead int) {
	for _, e := range w.seen {
		switch e.c.Member.Status {
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
				if !w.agree(k, wire.Status_STATUS_ALIVE) {
					t.Fatalf("node %d is not known to all", k)
				}
			}
		})
	}
}

// TestCrash measures how long it takes until all nodes know of a crash.
func TestCrash(t *testing.T) {
	for _, n := range []int{8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(n, 2)
			w.run(8 * time.Second)
			w.down[addr(3)] = true
			begin := w.now
			for !w.agree(3, wire.Status_STATUS_DEAD) {
				w.run(tick)
				if w.now.Sub(begin) > time.Minute {
					t.Fatal("not all nodes know of the crash")
				}
			}
			t.Logf("n %d: all know after %s", n, w.now.Sub(begin))
			w.add(3, 2) // the next life is welcome at once
			w.run(5 * time.Second)
			is.True(w.agree(3, wire.Status_STATUS_ALIVE))
		})
	}
}

// TestLoss runs a healthy fleet with lost datagrams; nobody may be declared dead.
func TestLoss(t *testing.T) {
	for _, loss := range []float64{0.01, 0.20} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(8, 3)
			w.run(8 * time.Second)
			w.loss, w.seen = loss, nil
			w.run(5 * time.Minute)
			suspect, dead := w.suspicions()
			t.Logf("loss %.2f: %d suspicions, %d deaths seen in 5 minutes by 8 nodes", loss, suspect, dead)
			is.Equal(dead, 0)
		})
	}
}

// TestPause lets one node stand still for ten seconds. It may be declared dead,
// but must not declare others dead when it goes on, and must be back soon.
func TestPause(t *testing.T) {
	is := is.New(t)
	w := newNetwork(8, 4)
	w.run(8 * time.Second)
	w.seen = nil
	w.paused[addr(2)] = w.now.Add(10 * time.Second)
	w.run(10 * time.Second)
	w.run(4 * time.Second)
	for _, e := range w.seen {
		if e.node == "n2" {
			is.True(e.c.Member.Status != wire.Status_STATUS_DEAD) // blames nobody
		}
	}
	is.True(w.agree(2, wire.Status_STATUS_ALIVE))
	is.Equal(w.nodes[addr(2)].Info().Pauses, 1)
}

// TestSplit cuts the fleet into two halves and joins them again.
func TestSplit(t *testing.T) {
	is := is.New(t)
	w := newNetwork(8, 5)
	w.run(8 * time.Second)
	half := func(a string) bool { return a < addr(4) }
	w.cut = func(from, to string) bool { return half(from) != half(to) }
	w.run(60 * time.Second)
	st, _ := w.view(0, 7)
	is.Equal(st, wire.Status_STATUS_DEAD)
	st, _ = w.view(0, 2)
	is.Equal(st, wire.Status_STATUS_ALIVE)
	w.cut = func(string, string) bool { return false }
	w.run(20 * time.Second)
	for k := range 8 {
		is.True(w.agree(k, wire.Status_STATUS_ALIVE))
	}
}

// TestLeave announces a planned stop; callers are sent elsewhere at once.
func TestLeave(t *testing.T) {
	is := is.New(t)
	w := newNetwork(8, 6)
	w.run(8 * time.Second)
	w.send(addr(5), w.nodes[addr(5)].Leave(w.now))
	w.run(time.Second)
	is.True(w.agree(5, wire.Status_STATUS_LEAVING))
	w.send(addr(5), w.nodes[addr(5)].AnnounceLeft(w.now))
	w.down[addr(5)] = true
	w.run(2 * time.Second)
	is.True(w.agree(5, wire.Status_STATUS_LEFT))
}

// TestRevisionSpreads lets one node learn of a revision.
func TestRevisionSpreads(t *testing.T) {
	is := is.New(t)
	w := newNetwork(40, 7)
	w.run(8 * time.Second)
	w.nodes[addr(0)].ConfirmRevision(17, w.now)
	begin := w.now
	for known := 0; known < 40; {
		w.run(tick)
		known = 0
		for _, s := range w.nodes {
			if s.Info().Revision == 17 {
				known++
			}
		}
		is.True(w.now.Sub(begin) < 14*time.Second)
	}
	t.Logf("40 nodes know after %s", w.now.Sub(begin))
}
