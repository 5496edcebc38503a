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

// wire is a network of nodes in one process. It delivers datagrams in the order in
// which they were sent.
type wire struct {
	nodes map[string]*Mesh // by address
	down  map[string]bool
	sent  []packet
	far   int // bytes between data centres
	heard map[string]map[string]int
}

// packet is a datagram on its way.
type packet struct {
	from, to string
	b        []byte
}

// port is one node's socket on the wire.
type port struct {
	net.PacketConn
	w    *wire
	addr string
}

func (p *port) WriteTo(b []byte, to net.Addr) (int, error) {
	p.w.sent = append(p.w.sent, packet{p.addr, to.String(), append([]byte(nil), b...)})
	return len(b), nil
}

// newWire returns a site of n nodes in each of the data centres, of which the first
// two have wide links.
func newWire(n int, centres ...string) *wire {
	w := &wire{nodes: map[string]*Mesh{}, down: map[string]bool{}, heard: map[string]map[string]int{}}
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
		w.heard[name] = map[string]int{}
		m := New(r, Deps{
			Compose:  func(time.Time, *Message) {},
			Receive:  func(_ time.Time, msg *Message) { w.heard[name][msg.Name]++ },
			Versions: func() mirror.Versions { return mirror.Versions{} }, Log: slog.New(slog.DiscardHandler),
		})
		m.conn = &port{w: w, addr: r.Mesh}
		m.SetPeers(records)
		w.nodes[r.Mesh] = m
	}
	return w
}

// deliver hands out all datagrams, and lets relays pass on what they gathered.
func (w *wire) deliver() {
	for len(w.sent) > 0 {
		for len(w.sent) > 0 {
			p := w.sent[0]
			w.sent = w.sent[1:]
			a, b := w.nodes[p.from], w.nodes[p.to]
			if a.self.DataCentre != b.self.DataCentre {
				w.far += len(p.b)
			}
			var e envelope
			if w.down[p.to] || decode(p.b, &e) != nil {
				continue
			}
			b.take(e, p.from)
		}
		for addr, m := range w.nodes {
			if !w.down[addr] {
				m.passOn(time.Now(), false)
			}
		}
	}
}

// round lets every node send one message.
func (w *wire) round(urgent bool) {
	for addr, m := range w.nodes {
		if !w.down[addr] {
			m.urgent = urgent
			m.send()
		}
	}
	w.deliver()
}

// 81 nodes in three data centres, each sending to all others, filled the narrow links
// of most of them. Each message now crosses to each other data centre once.
func TestMessagesCrossOnce(t *testing.T) {
	for _, tt := range []struct {
		name   string
		urgent bool
		copies int // of a message in each other data centre's links, at most
	}{
		{"usual", false, 1},
		{"urgent, through all relays", true, fewestRelays},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWire(27, "a", "b", "c")
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
			const header = 1.3 // of envelopes, and of names of other lengths
			limit := int(header * float64(81*2*tt.copies*len(b)))
			if w.far > limit {
				t.Fatalf("%d bytes between data centres, more than %d", w.far, limit)
			}
		})
	}
}

// A relay that is heard but passes nothing on, as one behind a link that is cut one way,
// is replaced by another one once that is noticed.
func TestRelayFails(t *testing.T) {
	is := is.New(t)
	w := newWire(27, "a", "b", "c")
	w.round(false)
	w.down["10.0.0.0:7"] = true // a relay of data centre a
	var from *Mesh
	for _, m := range w.nodes {
		r := m.ownRoute(time.Now(), false)
		if len(r.relays) == 1 && r.relays[0] == "10.0.0.0:7" {
			from = m
		}
	}
	from.mu.Lock()
	later := time.Now().Add(missed*sendPeriod(80) + time.Second)
	first := from.ownRoute(time.Now(), false)
	for _, p := range from.peers {
		p.Heard = later
		if p.Mesh != "10.0.0.0:7" {
			p.bundle = later
		}
	}
	second := from.ownRoute(later, false)
	from.mu.Unlock()
	is.Equal(first.relays, []string{"10.0.0.0:7"})
	is.Equal(second.relays, []string{"10.0.0.1:7"})
}

// Narrow links share the work of relays.
func TestRelays(t *testing.T) {
	node := func(name string, mbps float64) member {
		return member{name: name, addr: name, centre: "a", mbps: mbps, alive: true}
	}
	var narrow []member
	for i := range 20 {
		narrow = append(narrow, node(fmt.Sprintf("n%d", i), 10))
	}
	dead, leaving, far := node("dead", 500), node("leaving", 500), node("far", 500)
	dead.alive, leaving.leaving, far.centre = false, true, "b"
	for _, tt := range []struct {
		name  string
		all   []member
		count int
		wide  string
	}{
		{"none", nil, 0, ""},
		{"narrow", narrow, mostRelays, ""},
		{"wide", append([]member{node("w1", 200), node("w2", 200)}, narrow...), 2, "w"},
		{"not usable", append([]member{dead, leaving, far}, narrow...), mostRelays, "n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rs := relays(tt.all, "a")
			is.Equal(len(rs), tt.count)
			for _, r := range rs {
				is.True(strings.HasPrefix(r.name, tt.wide))
			}
		})
	}
}

func TestSplit(t *testing.T) {
	is := is.New(t)
	var in [][]byte
	for range 10 {
		in = append(in, make([]byte, bundleSize/4))
	}
	out := split(scopeCentre, true, in)
	is.Equal(len(out), 3)
	n := 0
	for _, e := range out {
		n += len(e.Messages)
		is.Equal(e.Scope, scopeCentre)
	}
	is.Equal(n, len(in))
}
