package member

import (
	"slices"
	"time"

	"mustardvane.org/vane/wire"
)

// Handle takes a message and returns the answers to be sent.
func (s *State) Handle(now time.Time, g *wire.Gossip) []Packet {
	from := g.GetFrom()
	if from.GetName() == "" || from.GetName() == s.self.Name {
		return nil
	}
	s.merge(now, from)
	for _, m := range g.GetMembers() {
		s.merge(now, m)
	}
	p := s.peers[from.GetName()]
	if p == nil {
		return nil
	}
	s.receive(now, p, g)
	switch g.GetKind() {
	case wire.Kind_KIND_PING:
		ack := s.message(now, wire.Kind_KIND_ACK, p)
		ack.Sequence = g.GetSequence()
		return []Packet{{Addr: p.Addr, Msg: ack}}
	case wire.Kind_KIND_PING_REQUEST:
		return s.probeFor(now, p, g)
	case wire.Kind_KIND_ACK:
		return s.acked(now, g)
	}
	return nil
}

// receive notes that the peer lives and takes what its message carries besides
// members.
func (s *State) receive(now time.Time, p *peer, g *wire.Gossip) {
	p.Heard = now
	p.probe, p.asked = time.Time{}, false
	p.differ = g.GetView() != s.view()
	s.know.learn(now, g, p.Member)
	s.spread.take(now, g)
}

// probeFor pings a member for another one.
func (s *State) probeFor(now time.Time, asker *peer, g *wire.Gossip) []Packet {
	target, ok := s.peers[g.GetTarget()]
	if !ok {
		return nil
	}
	pk := Packet{Addr: target.Addr, Msg: s.message(now, wire.Kind_KIND_PING, target)}
	s.relays[pk.Msg.GetSequence()] = relay{addr: asker.Addr, seq: g.GetSequence(), at: now}
	return []Packet{pk}
}

// acked passes the answer to a probe on to the member that asked for it. The
// answer of a third member counts as a sign of life of the target.
func (s *State) acked(now time.Time, g *wire.Gossip) []Packet {
	if t, ok := s.peers[g.GetTarget()]; ok {
		t.probe, t.asked = time.Time{}, false
	}
	r, ok := s.relays[g.GetSequence()]
	if !ok {
		return nil
	}
	delete(s.relays, g.GetSequence())
	ack := s.message(now, wire.Kind_KIND_ACK, nil)
	ack.Sequence, ack.Target = r.seq, g.GetFrom().GetName()
	return []Packet{{Addr: r.addr, Msg: ack}}
}

// message returns a message with the news that are due. to may be nil.
func (s *State) message(now time.Time, kind wire.Kind, to *peer) *wire.Gossip {
	s.seq++
	g := &wire.Gossip{Kind: kind, Sequence: s.seq, From: s.self.proto(), View: s.view()}
	s.know.tell(now, g)
	g.Members = s.news(to)
	s.spread.give(now, g, s.rounds())
	return g
}

// news returns the members that others have yet to hear of.
func (s *State) news(to *peer) []*wire.Member {
	var out []*wire.Member
	if to != nil && to.Status != wire.Status_STATUS_ALIVE {
		out = append(out, to.proto()) // lets it refute
	}
	fresh := make([]*peer, 0, maxNews)
	for _, p := range s.order {
		if p.sends > 0 && p != to {
			fresh = append(fresh, p)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *peer) int { return b.sends - a.sends })
	for _, p := range fresh[:min(maxNews, len(fresh))] {
		p.sends--
		out = append(out, p.proto())
	}
	if to != nil && to.differ {
		out = append(out, s.window(to)...)
	}
	return out
}

// window returns the next few live members in turn, for a peer whose view
// differs.
func (s *State) window(to *peer) []*wire.Member {
	var out []*wire.Member
	n := len(s.order)
	for range min(maxSync, n) {
		s.syncAt = (s.syncAt + 1) % n
		if p := s.order[s.syncAt]; p != to && p.Live() {
			out = append(out, p.proto())
		}
	}
	return out
}

// All returns the node itself and all live members in the form for others.
func (s *State) All() []*wire.Member {
	out := []*wire.Member{s.self.proto()}
	for _, p := range s.order {
		if p.Live() {
			out = append(out, p.proto())
		}
	}
	return out
}

// MergeMembers takes the members that a peer's snapshot holds.
func (s *State) MergeMembers(now time.Time, ms []*wire.Member) {
	for _, m := range ms {
		s.merge(now, m)
	}
}
