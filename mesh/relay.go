package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// Bounds of passing messages on, in a large site.
const (
	relayMbps    = 80              // links of a data centre's relays, all together: four times what 27 nodes at two messages a second need
	fewestRelays = 2               // of a data centre, so that one may fail
	mostRelays   = 6               // of a data centre
	trialTime    = 3 * time.Second // a node counts as alive for so long after it became known, though no message came yet
	bundleSize   = 16 << 10        // bytes of messages in one datagram
)

// scope says what the receiver of an envelope does with its messages.
type scope uint8

// The scopes.
const (
	scopeNode   scope = iota // keep them
	scopeCentre              // also pass them to the nodes of its data centre
	scopeSite                // and to a relay in each other data centre
)

// envelope is the content of one datagram.
type envelope struct {
	Scope    scope
	Urgent   bool // they are not to wait for others
	Messages [][]byte
}

// member is a node that may relay.
type member struct {
	name, addr string
	centre     string
	mbps       float64
	alive      bool
	leaving    bool
}

// rank orders the members that may relay for a data centre, or follow the store for
// the site: the widest links first, and among equal ones in an order that all nodes
// agree on.
func rank(a, b member) int {
	return cmp.Or(cmp.Compare(b.mbps, a.mbps), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)))
}

// relays returns the members that relay for a data centre: few if their links are
// wide, more if each can carry only a part of the messages.
func relays(all []member, centre string) []member {
	var out []member
	for _, m := range all {
		if m.centre == centre && m.alive && !m.leaving {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, rank)
	sum := 0.0
	for i, m := range out {
		if i >= mostRelays || i >= fewestRelays && sum >= relayMbps {
			return out[:i]
		}
		sum += m.mbps
	}
	return out
}

// choose returns the relay of a node. Nodes spread over the relays, and keep theirs
// while it lives, so that their messages arrive in order.
func choose(rs []member, node string, silent func(name string) bool) (member, bool) {
	if len(rs) == 0 {
		return member{}, false
	}
	at := int(xxhash.Sum64String(node) % uint64(len(rs)))
	for i := range rs {
		if r := rs[(at+i)%len(rs)]; !silent(r.name) {
			return r, true
		}
	}
	return rs[at], true
}

// members returns this node and all others, with the lock held.
func (m *Mesh) members(now time.Time) []member {
	out := make([]member, 0, len(m.peers)+1)
	out = append(out, memberOf(m.self, true, false))
	for _, p := range m.peers {
		fresh := p.Heard.Before(p.known) && now.Sub(p.known) < trialTime
		out = append(out, memberOf(p.PeerRecord, fresh || m.alive(p, now), p.Leaving))
	}
	return out
}

// memberOf returns a node as a member.
func memberOf(r vane.PeerRecord, alive, leaving bool) member {
	return member{name: r.Name, addr: r.Mesh, centre: r.DataCentre, mbps: r.LinkMbps, alive: alive, leaving: leaving}
}

// route is where a message goes first.
type route struct {
	relays []string // addresses of the relays that pass it on
	self   bool     // this node is a relay itself
}

// ownRoute returns where an own message goes: to one relay, or to all of the data
// centre if it is urgent.
func (m *Mesh) ownRoute(now time.Time, urgent bool) route {
	rs := relays(m.members(now), m.self.DataCentre)
	if slices.ContainsFunc(rs, func(r member) bool { return r.name == m.self.Name }) {
		return route{self: true}
	}
	if urgent {
		var out route
		for _, r := range rs {
			out.relays = append(out.relays, r.addr)
		}
		return out
	}
	r, ok := choose(rs, m.self.Name, func(name string) bool { return m.quiet(now, name) })
	if !ok {
		return route{self: true}
	}
	return route{relays: []string{r.addr}}
}

// quiet says whether a relay has passed nothing on for some time, though this node
// has run for longer.
func (m *Mesh) quiet(now time.Time, name string) bool {
	p, ok := m.peers[name]
	if !ok {
		return false
	}
	limit := missed * sendPeriod(len(m.peers))
	last := p.bundle
	if last.Before(p.known) {
		last = p.known
	}
	return now.Sub(last) > limit
}

// targets returns where the messages of a bundle go on to: the nodes of the own data
// centre, and a relay of each other one.
func (m *Mesh) targets(now time.Time) (near, far []string) {
	all := m.members(now)
	m.turn++
	centres := make(map[string]bool)
	for _, x := range all {
		if x.name != m.self.Name && x.centre == m.self.DataCentre {
			near = append(near, x.addr)
		}
		centres[x.centre] = true
	}
	delete(centres, m.self.DataCentre)
	for c := range centres {
		if rs := relays(all, c); len(rs) > 0 {
			far = append(far, rs[m.turn%len(rs)].addr)
		} else {
			far = append(far, trials(all, c, m.turn)...)
		}
	}
	return near, far
}

// trials returns the addresses to try in a data centre of which no node was heard for
// some time: a few others at each turn. Its nodes may have heard none of this one
// either, so that otherwise neither would ever send again.
func trials(all []member, centre string, turn int) []string {
	var known []member
	for _, m := range all {
		if m.centre == centre && !m.leaving {
			known = append(known, m)
		}
	}
	slices.SortFunc(known, rank)
	var out []string
	for i := range min(fewestRelays, len(known)) {
		out = append(out, known[(turn*fewestRelays+i)%len(known)].addr)
	}
	return out
}

// split puts messages into envelopes of a bounded size.
func split(s scope, urgent bool, messages [][]byte) []envelope {
	var out []envelope
	size := 0
	for _, b := range messages {
		if len(out) == 0 || size+len(b) > bundleSize {
			out, size = append(out, envelope{Scope: s, Urgent: urgent}), 0
		}
		e := &out[len(out)-1]
		e.Messages = append(e.Messages, b)
		size += len(b)
	}
	return out
}
