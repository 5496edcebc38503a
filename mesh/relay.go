package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// Limits of relaying in a large site.
const (
	minRelayMbps   = 80              // total link capacity of a data centre's relays in Mbit/s, four times what 27 nodes need at two messages per second
	minRelays      = 2               // smallest number of relays in a data centre, so that one may fail
	maxRelays      = 6               // largest number of relays in a data centre
	startupGrace   = 3 * time.Second // a newly known node counts as alive for this long before its first message
	maxBundleBytes = 16 << 10        // size in bytes from which on messages are split over several datagrams
)

// scope says to which nodes the receiver of an envelope passes its messages on.
type scope uint8

// Scopes of an envelope.
const (
	scopeNode       scope = iota // the messages are not passed on
	scopeDataCentre              // the receiver passes them to the nodes of its data centre
	scopeSite                    // the receiver passes them to the nodes of its data centre and to one relay in each other data centre
	scopeQuestion                // the messages are the number of a question and the question
	scopeAnswer                  // the messages are the number of a question and its answer
)

// envelope is the content of one datagram.
type envelope struct {
	Scope    scope
	Urgent   bool     // relays must not gather the messages
	Messages [][]byte // encoded values of type Message
}

// member is a node of the site as a candidate for relaying.
type member struct {
	name, addr string
	dataCentre string
	mbps       float64 // link capacity in Mbit/s
	alive      bool    // a message arrived recently, or the node has just become known
	leaving    bool    // the node is stopping
}

// rank orders the members for the selection of relays and of nodes that watch the store
// without delay: the widest links first, and equal ones in an order on which all nodes
// agree.
func rank(a, b member) int {
	return cmp.Or(cmp.Compare(b.mbps, a.mbps), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)))
}

// selectRelays returns the relays of a data centre, in the order of rank: between
// minRelays and maxRelays nodes, as many as are needed for a total link capacity of
// minRelayMbps. It returns fewer if fewer nodes are alive.
func selectRelays(all []member, dataCentre string) []member {
	var out []member
	for _, m := range all {
		if m.dataCentre == dataCentre && m.alive && !m.leaving {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, rank)
	sum := 0.0
	for i, m := range out {
		if i >= maxRelays || i >= minRelays && sum >= minRelayMbps {
			return out[:i]
		}
		sum += m.mbps
	}
	return out
}

// chooseRelay returns the relay of a node, or false if there are no relays. Nodes are
// spread over the relays by a hash of their names. A node keeps its relay until silent
// returns true for it, so that its messages arrive in order.
func chooseRelay(rs []member, node string, silent func(name string) bool) (member, bool) {
	if len(rs) == 0 {
		return member{}, false
	}
	start := int(xxhash.Sum64String(node) % uint64(len(rs)))
	for i := range rs {
		if r := rs[(start+i)%len(rs)]; !silent(r.name) {
			return r, true
		}
	}
	return rs[start], true
}

// members returns this node and all others. The caller must hold m.mu.
func (m *Mesh) members(now time.Time) []member {
	out := make([]member, 0, len(m.peers)+1)
	out = append(out, newMember(m.self, true, false))
	for _, p := range m.peers {
		fresh := p.LastHeard.Before(p.knownSince) && now.Sub(p.knownSince) < startupGrace
		out = append(out, newMember(p.PeerRecord, fresh || m.alive(p, now), p.Leaving))
	}
	return out
}

// newMember returns the member for a node record.
func newMember(r vane.PeerRecord, alive, leaving bool) member {
	return member{name: r.Name, addr: r.Mesh, dataCentre: r.DataCentre, mbps: r.LinkMbps, alive: alive, leaving: leaving}
}

// destination says where a message is sent first.
type destination struct {
	addrs []string // addresses of the relays
	self  bool     // this node is itself a relay
}

// ownDestination returns the destination of a message of this node: one relay, or all
// relays of the data centre if it is urgent. The caller must hold m.mu.
func (m *Mesh) ownDestination(now time.Time, urgent bool) destination {
	rs := selectRelays(m.members(now), m.self.DataCentre)
	if slices.ContainsFunc(rs, func(r member) bool { return r.name == m.self.Name }) {
		return destination{self: true}
	}
	if urgent {
		var out destination
		for _, r := range rs {
			out.addrs = append(out.addrs, r.addr)
		}
		return out
	}
	r, ok := chooseRelay(rs, m.self.Name, func(name string) bool { return m.relaySilent(now, name) })
	if !ok {
		return destination{self: true}
	}
	return destination{addrs: []string{r.addr}}
}

// relaySilent reports whether a relay has passed nothing on for some time, although
// this node has known it for longer. The caller must hold m.mu.
func (m *Mesh) relaySilent(now time.Time, name string) bool {
	p, ok := m.peers[name]
	if !ok {
		return false
	}
	limit := maxMissed * sendPeriod(len(m.peers))
	last := p.lastRelayed
	if last.Before(p.knownSince) {
		last = p.knownSince
	}
	return now.Sub(last) > limit
}

// relayTargets returns the addresses to which queued messages are relayed: near are the
// nodes of this data centre, far is one relay of each other data centre. The caller
// must hold m.mu.
func (m *Mesh) relayTargets(now time.Time) (near, far []string) {
	all := m.members(now)
	m.relayTurn++
	centres := make(map[string]bool)
	for _, x := range all {
		if x.name != m.self.Name && x.dataCentre == m.self.DataCentre {
			near = append(near, x.addr)
		}
		centres[x.dataCentre] = true
	}
	delete(centres, m.self.DataCentre)
	for c := range centres {
		if rs := selectRelays(all, c); len(rs) > 0 {
			far = append(far, rs[m.relayTurn%len(rs)].addr)
		} else {
			far = append(far, probeTargets(all, c, m.relayTurn)...)
		}
	}
	return near, far
}

// probeTargets returns the addresses to try in a data centre of which no node was heard
// recently: a few different ones at each turn. That data centre may have heard no node
// of this one either, so without the attempts neither would ever send to the other
// again.
func probeTargets(all []member, dataCentre string, turn int) []string {
	var known []member
	for _, m := range all {
		if m.dataCentre == dataCentre && !m.leaving {
			known = append(known, m)
		}
	}
	slices.SortFunc(known, rank)
	var out []string
	for i := range min(minRelays, len(known)) {
		out = append(out, known[(turn*minRelays+i)%len(known)].addr)
	}
	return out
}

// bundle packs messages into envelopes of limited size.
func bundle(s scope, urgent bool, messages [][]byte) []envelope {
	var out []envelope
	size := 0
	for _, b := range messages {
		if len(out) == 0 || size+len(b) > maxBundleBytes {
			out, size = append(out, envelope{Scope: s, Urgent: urgent}), 0
		}
		e := &out[len(out)-1]
		e.Messages = append(e.Messages, b)
		size += len(b)
	}
	return out
}
