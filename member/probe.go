package member

import (
	"time"

	"mustardvane.org/vane/wire"
)

// Tick advances the state machine to now and returns the messages to be sent. Call
// it several times in each period.
func (s *State) Tick(now time.Time) []Packet {
	if gap := now.Sub(s.lastTick); !s.lastTick.IsZero() && gap > pausePeriods*s.period {
		s.resetAfterPause(now, gap)
	}
	s.lastTick = now
	out := s.checkPings(now)
	s.expire(now)
	out = append(out, s.pingNewMembers(now)...)
	if now.Before(s.nextRound) {
		return out
	}
	s.nextRound = now.Add(s.period)
	return append(out, s.pingRound(now)...)
}

// pingNewMembers pings the members added since the last tick, so that nodes that
// start together discover each other quickly.
func (s *State) pingNewMembers(now time.Time) []Packet {
	var out []Packet
	for _, p := range s.newMembers {
		if p.Live() {
			out = append(out, s.ping(now, p))
		}
	}
	s.newMembers = s.newMembers[:0]
	return out
}

// resetAfterPause drops the pings that were unanswered while this node did not run,
// and restarts the suspicion timeouts, so that the node does not suspect others for
// its own pause.
func (s *State) resetAfterPause(now time.Time, gap time.Duration) {
	s.info.Pauses++
	s.info.LastPause = gap
	for _, p := range s.peers {
		p.pingedAt, p.probesRequested = time.Time{}, false
		if p.Status == wire.Status_STATUS_SUSPECT {
			p.StatusSince = now
		}
	}
}

// pingRound sends the pings of one period. It includes one dead member, so that the
// halves of a healed network partition find each other again.
func (s *State) pingRound(now time.Time) []Packet {
	var out []Packet
	for _, p := range s.pingTargets() {
		out = append(out, s.ping(now, p))
	}
	if len(out) == 0 {
		out = s.pingSeeds(now)
	}
	if p := s.randomPeers(1, func(p *peer) bool { return p.Status == wire.Status_STATUS_DEAD }); len(p) > 0 {
		out = append(out, Packet{Addr: p[0].Addr, Msg: s.message(now, wire.Kind_KIND_PING, p[0])})
	}
	return out
}

// pingSeeds pings the seed addresses.
func (s *State) pingSeeds(now time.Time) []Packet {
	var out []Packet
	for _, a := range s.seeds {
		if a != s.self.Addr {
			out = append(out, Packet{Addr: a, Msg: s.message(now, wire.Kind_KIND_PING, nil)})
		}
	}
	return out
}

// SetSeeds replaces the addresses that are pinged while no other member is known.
func (s *State) SetSeeds(addrs []string) {
	s.seeds = append(s.seeds[:0:0], addrs...)
}

// pingTargets returns the members to ping in this period: the ring neighbours and
// the next member of the shuffled order.
func (s *State) pingTargets() []*peer {
	var out []*peer
	n := len(s.ring)
	at := 0
	for at < n && s.ring[at].ringPos < s.selfRingPos {
		at++
	}
	for k := 0; k < n && len(out) < s.neighbours; k++ {
		if p := s.ring[(at+k)%n]; p.Live() {
			out = append(out, p)
		}
	}
	if p := s.nextRandom(); p != nil {
		for _, q := range out {
			if p == q {
				return out
			}
		}
		out = append(out, p)
	}
	return out
}

// nextRandom returns the live members one by one in random order, and shuffles them
// again after each pass. It returns nil if there are none.
func (s *State) nextRandom() *peer {
	for range 2 {
		for len(s.probeOrder) > 0 {
			p := s.probeOrder[0]
			s.probeOrder = s.probeOrder[1:]
			if p.Live() && s.peers[p.Name] == p {
				return p
			}
		}
		s.probeOrder = s.randomPeers(len(s.ring), func(p *peer) bool { return p.Live() })
	}
	return nil
}

// ping returns a ping and records when it was sent, unless an earlier one is still
// unanswered.
func (s *State) ping(now time.Time, p *peer) Packet {
	if p.pingedAt.IsZero() {
		p.pingedAt, p.probesRequested = now, false
	}
	return Packet{Addr: p.Addr, Msg: s.message(now, wire.Kind_KIND_PING, p)}
}

// checkPings requests indirect probes of members that did not answer within the
// ack timeout, and suspects those that did not answer for a period.
func (s *State) checkPings(now time.Time) []Packet {
	var out []Packet
	for _, p := range s.ring {
		if p.pingedAt.IsZero() {
			continue
		}
		age := now.Sub(p.pingedAt)
		switch {
		case age >= s.period:
			p.pingedAt = time.Time{}
			if p.Status == wire.Status_STATUS_ALIVE {
				s.setStatus(now, p, wire.Status_STATUS_SUSPECT)
			}
		case age >= s.ackTimeout && !p.probesRequested:
			p.probesRequested = true
			out = append(out, s.requestProbes(now, p)...)
		}
	}
	return out
}

// requestProbes asks a few random members to probe p.
func (s *State) requestProbes(now time.Time, p *peer) []Packet {
	var out []Packet
	for _, q := range s.randomPeers(s.indirectProbes, func(q *peer) bool { return q != p && q.Status == wire.Status_STATUS_ALIVE }) {
		g := s.message(now, wire.Kind_KIND_PING_REQUEST, q)
		g.Target = p.Name
		out = append(out, Packet{Addr: q.Addr, Msg: g})
	}
	return out
}

// expire declares dead the suspects whose suspicion timeout has elapsed and the
// members that have been leaving for 10 minutes. It removes members that have been
// dead or have left for 10 minutes, and relayed probes older than one period.
func (s *State) expire(now time.Time) {
	for name, p := range s.peers {
		age := now.Sub(p.StatusSince)
		switch {
		case p.Status == wire.Status_STATUS_SUSPECT && age >= s.suspicionTimeout:
			s.setStatus(now, p, wire.Status_STATUS_DEAD)
		case p.Status == wire.Status_STATUS_LEAVING && age >= deadRetention:
			s.setStatus(now, p, wire.Status_STATUS_DEAD)
		case p.Status >= wire.Status_STATUS_DEAD && age >= deadRetention:
			s.remove(name)
		}
	}
	for seq, r := range s.relays {
		if now.Sub(r.at) > s.period {
			delete(s.relays, seq)
		}
	}
}

// remove deletes a member from the view.
func (s *State) remove(name string) {
	p := s.peers[name]
	delete(s.peers, name)
	for i, q := range s.ring {
		if q == p {
			s.ring = append(s.ring[:i], s.ring[i+1:]...)
			return
		}
	}
}
