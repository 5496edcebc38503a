package mesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation runs a site in virtual time, with lost datagrams and stopped nodes.
type simulation struct {
	network   *testNetwork
	rnd       *rand.Rand
	now       time.Time
	loss      float64                         // fraction of the datagrams that is lost
	lastHeard map[string]map[string]time.Time // time of the last message, by receiver and sender
}

// step is the resolution of the virtual time.
const step = 25 * time.Millisecond

// newSimulation returns a site with n nodes in each of three data centres.
func newSimulation(seed uint64, n int, loss float64) *simulation {
	s := &simulation{network: newTestNetwork(n, "a", "b", "c"), rnd: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(9000, 0), loss: loss, lastHeard: map[string]map[string]time.Time{}}
	for _, m := range s.network.nodes {
		name := m.self.Name
		s.lastHeard[name] = map[string]time.Time{}
		m.now = func() time.Time { return s.now }
		m.Receive = func(now time.Time, msg *Message) { s.lastHeard[name][msg.Name] = now }
		for _, p := range m.peers {
			p.knownSince = s.now
		}
	}
	return s
}

// run advances the virtual time by d.
func (s *simulation) run(d time.Duration) {
	addrs := make([]string, 0, len(s.network.nodes))
	for a := range s.network.nodes {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	send, relay := sendPeriod(len(addrs)-1), relayPeriod(len(addrs)-1)
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		tick := s.now.UnixNano() / int64(step)
		for i, a := range addrs {
			m := s.network.nodes[a]
			if s.network.down[a] {
				continue
			}
			if (tick+int64(i))%int64(send/step) == 0 {
				m.send()
			}
			if (tick+int64(i*3))%int64(relay/step) == 0 {
				m.relayQueued(s.now, false)
			}
		}
		for len(s.network.sent) > 0 {
			p := s.network.sent[0]
			s.network.sent = s.network.sent[1:]
			var e envelope
			if s.network.down[p.to] || s.rnd.Float64() < s.loss || decode(p.b, &e) != nil {
				continue
			}
			s.network.nodes[p.to].handleEnvelope(e, p.from)
		}
	}
}

// silentPairs returns the number of ordered pairs of running nodes of which the first has
// not heard the second for twice the time after which a node counts as down. The factor
// allows for lost messages.
func (s *simulation) silentPairs() int {
	n := 0
	limit := 2 * maxMissed * MaxInterval(len(s.network.nodes)-1)
	for to, m := range s.network.nodes {
		for from, o := range s.network.nodes {
			if to == from || s.network.down[to] || s.network.down[from] {
				continue
			}
			if s.now.Sub(s.lastHeard[m.self.Name][o.self.Name]) > limit {
				n++
			}
		}
	}
	return n
}

// Whichever nodes stop, relays first, the remaining ones must hear each other again
// within seconds, even with one datagram in twenty lost. Two data centres once lost
// contact for good: all relays of one were stopped for longer than nodes count as
// alive, and from then on neither data centre sent anything to the other.
func TestNodesHearEachOtherInAllSchedules(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(seed, 14, 0.05)
			s.run(4 * time.Second)
			is.Equal(s.silentPairs(), 0)
			for i := range 3 {
				// A relay and some other nodes stop. Nodes stopped before run again.
				clear(s.network.down)
				s.network.down[fmt.Sprintf("10.%d.0.%d:7", s.rnd.IntN(3), i%2)] = true
				for range 4 {
					s.network.down[fmt.Sprintf("10.%d.0.%d:7", s.rnd.IntN(3), s.rnd.IntN(14))] = true
				}
				s.run(12 * time.Second)
				if n := s.silentPairs(); n > 0 {
					t.Fatalf("round %d: %d pairs of nodes do not hear each other", i, n)
				}
			}
		})
	}
}

// Checks that silentPairs detects the failure that TestNodesHearEachOtherInAllSchedules
// guards against: nodes that keep a relay that passes nothing on.
func TestModelNoticesAKeptRelay(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 14, 0)
	s.run(4 * time.Second)
	is.Equal(s.silentPairs(), 0)
	s.network.down["10.0.0.0:7"], s.network.down["10.0.0.1:7"] = true, true
	for _, m := range s.network.nodes {
		m.now = func() time.Time { return time.Unix(9004, 0) } // frozen clock: the node never notices that a peer is silent
	}
	s.run(12 * time.Second)
	is.True(s.silentPairs() > 0)
}
