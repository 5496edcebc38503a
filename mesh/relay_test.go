package mesh

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// testNetwork connects the nodes of a site within one process. It delivers datagrams in the
// order in which they were sent.
type testNetwork struct {
	nodes    map[string]*Mesh          // nodes by address
	down     map[string]bool           // addresses of the nodes that are stopped
	sent     []packet                  // datagrams in transit, oldest first
	farBytes int                       // bytes sent between data centres
	heard    map[string]map[string]int // number of received messages by receiver and sender
}

// packet is a datagram in transit.
type packet struct {
	from, to string
	b        []byte
}

// socket is a node's socket on the network.
type socket struct {
	net.PacketConn
	network *testNetwork
	addr    string
}

func (s *socket) WriteTo(b []byte, to net.Addr) (int, error) {
	s.network.sent = append(s.network.sent, packet{s.addr, to.String(), append([]byte(nil), b...)})
	return len(b), nil
}

// newTestNetwork returns a site with n nodes in each of the data centres. The first two
// nodes of each have wide links.
func newTestNetwork(n int, centres ...string) *testNetwork {
	network := &testNetwork{nodes: map[string]*Mesh{}, down: map[string]bool{}, heard: map[string]map[string]int{}}
	records := map[string]vane.PeerRecord{}
	for c, centre := range centres {
		for i := range n {
			r := vane.PeerRecord{Name: fmt.Sprintf("%s-%d", centre, i), Mesh: fmt.Sprintf("10.%d.0.%d:7", c, i), DataCentre: centre, Boot: 1, LinkMbps: 10}
			if i < 2 {
				r.LinkMbps = 200
			}
			records[r.Name] = r
		}
	}
	for name, r := range records {
		network.heard[name] = map[string]int{}
		m := New(r, Deps{
			Compose:  func(time.Time, *Message) {},
			Receive:  func(_ time.Time, msg *Message) { network.heard[name][msg.Name]++ },
			Versions: func() mirror.Versions { return mirror.Versions{} }, Log: slog.New(slog.DiscardHandler),
		})
		m.conn = &socket{network: network, addr: r.Mesh}
		m.SetPeers(records)
		network.nodes[r.Mesh] = m
	}
	return network
}

// deliver delivers all datagrams, including those that the relays then send.
func (w *testNetwork) deliver() {
	for len(w.sent) > 0 {
		for len(w.sent) > 0 {
			p := w.sent[0]
			w.sent = w.sent[1:]
			a, b := w.nodes[p.from], w.nodes[p.to]
			if a.self.DataCentre != b.self.DataCentre {
				w.farBytes += len(p.b)
			}
			var e envelope
			if w.down[p.to] || decode(p.b, &e) != nil {
				continue
			}
			b.handleEnvelope(e, p.from)
		}
		for addr, m := range w.nodes {
			if !w.down[addr] {
				m.relayQueued(time.Now(), false)
			}
		}
	}
}

// round sends one message from every running node and delivers it.
func (w *testNetwork) round(urgent bool) {
	for addr, m := range w.nodes {
		if !w.down[addr] {
			m.urgent = urgent
			m.send()
		}
	}
	w.deliver()
}

// With 81 nodes in three data centres, sending each message to all nodes filled the
// narrow links of most of them. Each message must cross to each other data centre only
// once.
func TestMessagesCrossOnce(t *testing.T) {
	for _, tt := range []struct {
		name   string
		urgent bool
		copies int // upper bound on the copies of a message sent to each other data centre
	}{
		{"usual", false, 1},
		{"urgent, through all relays", true, minRelays},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestNetwork(27, "a", "b", "c")
			w.round(tt.urgent)
			for name, heard := range w.heard {
				is.Equal(len(heard), 80)
				for from, n := range heard {
					if n != 1 {
						t.Fatalf("%s heard %s %d times", name, from, n)
					}
				}
			}
			b, err := encode(&Message{Name: "a-10", Boot: 1, Seq: 1})
			is.NoErr(err)
			const header = 1.3 // allows for envelopes and for names of other lengths
			limit := int(header * float64(81*2*tt.copies*len(b)))
			if w.farBytes > limit {
				t.Fatalf("%d bytes sent between data centres, want at most %d", w.farBytes, limit)
			}
		})
	}
}

// A relay whose own messages arrive but that passes nothing on must be replaced after a
// time limit. This happens if the relay's link is cut in one direction.
func TestRelayFails(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(27, "a", "b", "c")
	w.round(false)
	w.down["10.0.0.0:7"] = true // a relay of data centre a
	var from *Mesh
	for _, m := range w.nodes {
		r := m.ownDestination(time.Now(), false)
		if len(r.addrs) == 1 && r.addrs[0] == "10.0.0.0:7" {
			from = m
		}
	}
	from.mu.Lock()
	later := time.Now().Add(maxMissed*sendPeriod(80) + time.Second)
	first := from.ownDestination(time.Now(), false)
	for _, p := range from.peers {
		p.LastHeard = later
		if p.Mesh != "10.0.0.0:7" {
			p.lastRelayed = later
		}
	}
	second := from.ownDestination(later, false)
	from.mu.Unlock()
	is.Equal(first.addrs, []string{"10.0.0.0:7"})
	is.Equal(second.addrs, []string{"10.0.0.1:7"})
}

// More relays are selected if their links are narrow.
func TestRelays(t *testing.T) {
	node := func(name string, mbps float64) member {
		return member{name: name, addr: name, dataCentre: "a", mbps: mbps, alive: true}
	}
	var narrow []member
	for i := range 20 {
		narrow = append(narrow, node(fmt.Sprintf("n%d", i), 10))
	}
	dead, leaving, far := node("dead", 500), node("leaving", 500), node("far", 500)
	dead.alive, leaving.leaving, far.dataCentre = false, true, "b"
	for _, tt := range []struct {
		name  string
		all   []member
		count int
		wide  string
	}{
		{"none", nil, 0, ""},
		{"narrow", narrow, maxRelays, ""},
		{"wide", append([]member{node("w1", 200), node("w2", 200)}, narrow...), 2, "w"},
		{"not usable", append([]member{dead, leaving, far}, narrow...), maxRelays, "n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rs := selectRelays(tt.all, "a")
			is.Equal(len(rs), tt.count)
			for _, r := range rs {
				is.True(strings.HasPrefix(r.name, tt.wide))
			}
		})
	}
}

func TestBundle(t *testing.T) {
	is := is.New(t)
	var in [][]byte
	for range 10 {
		in = append(in, make([]byte, maxBundleBytes/4))
	}
	out := bundle(scopeDataCentre, true, in)
	is.Equal(len(out), 3)
	n := 0
	for _, e := range out {
		n += len(e.Messages)
		is.Equal(e.Scope, scopeDataCentre)
	}
	is.Equal(n, len(in))
}
