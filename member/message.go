package member

import (
	"slices"
	"time"

	"mustardvane.org/vane/wire"
)

// Handle processes a received message and returns the messages to be sent in
// response. Messages without a sender, or from the node itself, are ignored.
func (s *State) Handle(now time.Time, g *wire.Gossip) []Packet {
	from := g.GetFrom()
	if from.GetName() == "" || from.GetName() == s.self.Name {
		return nil
	}
	s.mergeMember(now, from)
	for _, m := range g.GetMembers() {
		s.mergeMember(now, m)
	}
	p := s.peers[from.GetName()]
	if p == nil {
		return nil
	}
	s.recordContact(now, p, g)
	switch g.GetKind() {
	case wire.Kind_KIND_PING:
		ack := s.message(now, wire.Kind_KIND_ACK, p)
		ack.Sequence = g.GetSequence()
		return []Packet{{Addr: p.Addr, Msg: ack}}
	case wire.Kind_KIND_PING_REQUEST:
		return s.relayProbe(now, p, g)
	case wire.Kind_KIND_ACK:
		return s.handleAck(now, g)
	}
	return nil
}

// recordContact records that the peer is reachable, and processes its message except
// for the members and the response.
func (s *State) recordContact(now time.Time, p *peer, g *wire.Gossip) {
	p.LastHeard = now
	p.pingedAt, p.probesRequested = time.Time{}, false
	p.viewDiffers = g.GetView() != s.viewHash()
	s.info.update(now, g, p.Member)
	s.reports.receive(now, g)
}

// relayProbe pings a member on behalf of another one.
func (s *State) relayProbe(now time.Time, requester *peer, g *wire.Gossip) []Packet {
	target, ok := s.peers[g.GetTarget()]
	if !ok {
		return nil
	}
	pk := Packet{Addr: target.Addr, Msg: s.message(now, wire.Kind_KIND_PING, target)}
	s.relays[pk.Msg.GetSequence()] = relay{requesterAddr: requester.Addr, requesterSeq: g.GetSequence(), at: now}
	return []Packet{pk}
}

// handleAck processes an acknowledgement. If it names a target, a third member
// reached that target, which counts as the target's own answer. If it answers a
// probe made for another member, it is forwarded to that member.
func (s *State) handleAck(now time.Time, g *wire.Gossip) []Packet {
	if t, ok := s.peers[g.GetTarget()]; ok {
		t.pingedAt, t.probesRequested = time.Time{}, false
	}
	r, ok := s.relays[g.GetSequence()]
	if !ok {
		return nil
	}
	delete(s.relays, g.GetSequence())
	ack := s.message(now, wire.Kind_KIND_ACK, nil)
	ack.Sequence, ack.Target = r.requesterSeq, g.GetFrom().GetName()
	return []Packet{{Addr: r.requesterAddr, Msg: ack}}
}

// message returns a message with pending updates. to is nil if the receiver is not
// a known member.
func (s *State) message(now time.Time, kind wire.Kind, to *peer) *wire.Gossip {
	s.seq++
	g := &wire.Gossip{Kind: kind, Sequence: s.seq, From: s.self.toProto(), View: s.viewHash()}
	s.info.fill(now, g)
	g.Members = s.memberUpdates(to)
	s.reports.fill(now, g, s.updateSends())
	return g
}

// memberUpdates returns the members to include in a message: those whose updates
// have not been sent often enough, and more if the receiver's view differs.
func (s *State) memberUpdates(to *peer) []*wire.Member {
	var out []*wire.Member
	if to != nil && to.Status != wire.Status_STATUS_ALIVE {
		out = append(out, to.toProto()) // so that the receiver can refute its status
	}
	pending := make([]*peer, 0, maxMemberUpdates)
	for _, p := range s.ring {
		if p.sendsLeft > 0 && p != to {
			pending = append(pending, p)
		}
	}
	slices.SortStableFunc(pending, func(a, b *peer) int { return b.sendsLeft - a.sendsLeft })
	for _, p := range pending[:min(maxMemberUpdates, len(pending))] {
		p.sendsLeft--
		out = append(out, p.toProto())
	}
	if to != nil && to.viewDiffers {
		out = append(out, s.nextSyncMembers(to)...)
	}
	return out
}

// nextSyncMembers returns the next few live members in rotation, for a peer whose
// view differs.
func (s *State) nextSyncMembers(to *peer) []*wire.Member {
	var out []*wire.Member
	n := len(s.ring)
	for range min(maxSyncMembers, n) {
		s.syncPos = (s.syncPos + 1) % n
		if p := s.ring[s.syncPos]; p != to && p.Live() {
			out = append(out, p.toProto())
		}
	}
	return out
}

// LiveMembers returns the node itself and all live members in wire form.
func (s *State) LiveMembers() []*wire.Member {
	out := []*wire.Member{s.self.toProto()}
	for _, p := range s.ring {
		if p.Live() {
			out = append(out, p.toProto())
		}
	}
	return out
}

// MergeMembers merges the members of a peer's snapshot into the view.
func (s *State) MergeMembers(now time.Time, ms []*wire.Member) {
	for _, m := range ms {
		s.mergeMember(now, m)
	}
}
