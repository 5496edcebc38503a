package member

import (
	"time"

	"mustardvane.org/vane/wire"
)

// Tick lets time pass and returns the messages to be sent. Call it several times
// in each period.
func (s *State) Tick(now time.Time) []Packet {
	if gap := now.Sub(s.lastTick); !s.lastTick.IsZero() && gap > pauseFactor*s.period {
		s.paused(now, gap)
	}
	s.lastTick = now
	out := s.overdue(now)
	s.expire(now)
	out = append(out, s.welcome(now)...)
	if now.Before(s.nextProb) {
		return out
	}
	s.nextProb = now.Add(s.period)
	return append(out, s.round(now)...)
}

// welcome pings the members that were met since the last tick, so that nodes that
// start together know each other soon.
func (s *State) welcome(now time.Time) []Packet {
	var out []Packet
	for _, p := range s.greet {
		if p.Live() {
			out = append(out, s.ping(now, p))
		}
	}
	s.greet = s.greet[:0]
	return out
}

// paused forgets the pings that were open while this node did not run, and gives
// suspects their time again.
func (s *State) paused(now time.Time, gap time.Duration) {
	s.know.Pauses++
	s.know.LastPause = gap
	for _, p := range s.peers {
		p.probe, p.asked = time.Time{}, false
		if p.Status == wire.Status_STATUS_SUSPECT {
			p.Since = now
		}
	}
}

// round pings this period's members.
func (s *State) round(now time.Time) []Packet {
	var out []Packet
	for _, p := range s.targets() {
		out = append(out, s.ping(now, p))
	}
	if len(out) == 0 {
		out = s.join(now)
	}
	if p := s.pick(1, func(p *peer) bool { return p.Status == wire.Status_STATUS_DEAD }); len(p) > 0 {
		out = append(out, Packet{Addr: p[0].Addr, Msg: s.message(now, wire.Kind_KIND_PING, p[0])})
	}
	return out
}

// join pings the seeds while no other member is known.
func (s *State) join(now time.Time) []Packet {
	var out []Packet
	for _, a := range s.seeds {
		if a != s.self.Addr {
			out = append(out, Packet{Addr: a, Msg: s.message(now, wire.Kind_KIND_PING, nil)})
		}
	}
	return out
}

// SetSeeds adds addresses that are pinged while no other member is known.
func (s *State) SetSeeds(addrs []string) {
	s.seeds = append(s.seeds[:0:0], addrs...)
}

// targets returns the ring neighbours and one more member in random order.
func (s *State) targets() []*peer {
	var out []*peer
	n := len(s.order)
	at := 0
	for at < n && s.order[at].ring < s.selfRing {
		at++
	}
	for k := 0; k < n && len(out) < s.neighbours; k++ {
		if p := s.order[(at+k)%n]; p.Live() {
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

// nextRandom goes through all live members in an order that is shuffled anew
// each time.
func (s *State) nextRandom() *peer {
	for range 2 {
		for len(s.shuffled) > 0 {
			p := s.shuffled[0]
			s.shuffled = s.shuffled[1:]
			if p.Live() && s.peers[p.Name] == p {
				return p
			}
		}
		s.shuffled = s.pick(len(s.order), func(p *peer) bool { return p.Live() })
	}
	return nil
}

// ping returns a ping and notes that an answer is due.
func (s *State) ping(now time.Time, p *peer) Packet {
	if p.probe.IsZero() {
		p.probe, p.asked = now, false
	}
	return Packet{Addr: p.Addr, Msg: s.message(now, wire.Kind_KIND_PING, p)}
}

// overdue asks others to probe silent members, and suspects those that stay
// silent for a period.
func (s *State) overdue(now time.Time) []Packet {
	var out []Packet
	for _, p := range s.order {
		if p.probe.IsZero() {
			continue
		}
		age := now.Sub(p.probe)
		switch {
		case age >= s.period:
			p.probe = time.Time{}
			if p.Status == wire.Status_STATUS_ALIVE {
				s.set(now, p, wire.Status_STATUS_SUSPECT)
			}
		case age >= s.ackWait && !p.asked:
			p.asked = true
			out = append(out, s.askOthers(now, p)...)
		}
	}
	return out
}

// askOthers asks a few members to probe p.
func (s *State) askOthers(now time.Time, p *peer) []Packet {
	var out []Packet
	for _, q := range s.pick(s.indirect, func(q *peer) bool { return q != p && q.Status == wire.Status_STATUS_ALIVE }) {
		g := s.message(now, wire.Kind_KIND_PING_REQUEST, q)
		g.Target = p.Name
		out = append(out, Packet{Addr: q.Addr, Msg: g})
	}
	return out
}

// expire declares suspects dead whose time is over, and forgets old members.
func (s *State) expire(now time.Time) {
	for name, p := range s.peers {
		silent := now.Sub(p.Since)
		switch {
		case p.Status == wire.Status_STATUS_SUSPECT && silent >= s.suspicion:
			s.set(now, p, wire.Status_STATUS_DEAD)
		case p.Status == wire.Status_STATUS_LEAVING && silent >= keepDead:
			s.set(now, p, wire.Status_STATUS_DEAD)
		case p.Status >= wire.Status_STATUS_DEAD && silent >= keepDead:
			s.forget(name)
		}
	}
	for seq, r := range s.relays {
		if now.Sub(r.at) > s.period {
			delete(s.relays, seq)
		}
	}
}

// forget drops a member.
func (s *State) forget(name string) {
	p := s.peers[name]
	delete(s.peers, name)
	for i, q := range s.order {
		if q == p {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}
