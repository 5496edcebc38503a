package mesh

import (
	"context"
	"net"
	"time"

	"mustardvane.org/vane/internal/clock"
)

// sendLoop sends messages until ctx ends.
func (m *Mesh) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.send()
		if !clock.Sleep(ctx, minPause) {
			return
		}
		t := time.NewTimer(clock.Jitter(m.pause()) - minPause)
		select {
		case <-t.C:
		case <-m.wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// send sends one message: to every node in a small site, and to a relay in a large
// one.
func (m *Mesh) send() {
	now := m.now()
	msg := &Message{Name: m.self.Name, Boot: m.self.Boot, Callers: m.self.Callers}
	marks := m.Versions()
	msg.UpstreamVersion, msg.ConfigVersion, msg.WeightsVersion = marks.Upstreams, marks.Config, marks.Weights
	m.Compose(now, msg)
	m.mu.Lock()
	m.seq++
	msg.Seq = m.seq
	urgent, small := m.urgent, len(m.peers) <= smallSite
	m.urgent = false
	to := route{}
	if small {
		for _, p := range m.peers {
			to.relays = append(to.relays, p.Mesh)
		}
	} else {
		to = m.ownRoute(now, urgent)
	}
	m.mu.Unlock()
	b, err := encode(msg)
	if err != nil || len(b) > maxDatagram {
		m.Log.Error("message not sent", "bytes", len(b), "err", err)
		return
	}
	if to.self {
		m.enqueue([][]byte{b}, urgent)
		return
	}
	s := scopeSite
	if small {
		s = scopeNode
	}
	m.post(envelope{Scope: s, Urgent: urgent, Messages: [][]byte{b}}, to.relays)
}

// post sends a datagram to the addresses.
func (m *Mesh) post(e envelope, addrs []string) {
	b, err := encode(&e)
	if err != nil {
		m.Log.Error("messages not sent", "err", err)
		return
	}
	for _, a := range addrs {
		ua, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			m.Log.Warn("bad address of a node", "addr", a, "err", err.Error())
			continue
		}
		// A datagram that is lost is followed by the next one.
		_, _ = m.conn.WriteTo(b, ua)
	}
}

// enqueue keeps messages for the next bundle to the whole site.
func (m *Mesh) enqueue(messages [][]byte, urgent bool) {
	m.mu.Lock()
	m.queue = append(m.queue, messages...)
	m.mu.Unlock()
	if urgent {
		signal(m.flush)
	}
}

// relayLoop passes on the messages that were sent to this node for others, until
// ctx ends.
func (m *Mesh) relayLoop(ctx context.Context) {
	for clock.Sleep(ctx, minPause) {
		m.mu.Lock()
		wait := relayPeriod(len(m.peers))
		m.mu.Unlock()
		t := time.NewTimer(wait - minPause)
		urgent := false
		select {
		case <-t.C:
		case <-m.flush:
			urgent = true
		case <-ctx.Done():
		}
		t.Stop()
		m.passOn(m.now(), urgent)
	}
}

// passOn sends the queued messages to the nodes of the own data centre, and to a relay
// in each other one.
func (m *Mesh) passOn(now time.Time, urgent bool) {
	m.mu.Lock()
	messages := m.queue
	m.queue = nil
	var near, far []string
	if len(messages) > 0 {
		near, far = m.targets(now)
	}
	m.mu.Unlock()
	for _, e := range split(scopeNode, urgent, messages) {
		m.post(e, near)
		e.Scope = scopeCentre
		m.post(e, far)
	}
}

// receive takes messages until the socket is closed.
func (m *Mesh) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := m.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			clock.Sleep(ctx, minPause)
			continue
		}
		var e envelope
		if err := decode(buf[:n], &e); err != nil {
			m.Log.Warn("bad datagram", "from", from.String(), "err", err.Error())
			continue
		}
		m.take(e, from.String())
	}
}

// take hands the new messages of an envelope to the node and passes them on.
func (m *Mesh) take(e envelope, from string) {
	now := m.now()
	var fresh [][]byte
	for _, b := range e.Messages {
		msg, err := decodeMessage(b)
		if err != nil {
			m.Log.Warn("bad message", "from", from, "err", err.Error())
			continue
		}
		if m.note(now, msg) {
			fresh = append(fresh, b)
			m.Receive(now, msg)
		}
	}
	switch {
	case e.Scope == scopeNode:
		m.noteBundle(now, from)
	case len(fresh) == 0:
	case e.Scope == scopeSite:
		m.enqueue(fresh, e.Urgent)
	case e.Scope == scopeCentre:
		m.mu.Lock()
		near, _ := m.targets(now)
		m.mu.Unlock()
		for _, out := range split(scopeNode, e.Urgent, fresh) {
			m.post(out, near)
		}
	}
}

// noteBundle keeps account of the relays that pass messages on.
func (m *Mesh) noteBundle(now time.Time, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Mesh == from {
			p.bundle = now
		}
	}
}

// note keeps account of the sender. It returns false for a message that is not
// newer than the last.
func (m *Mesh) note(now time.Time, msg *Message) bool {
	marks := m.Versions() // before the lock, since the source of marks also calls the mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[msg.Name]
	if !ok || msg.Boot < p.Boot || msg.Boot == p.Boot && msg.Seq <= p.seq {
		return false
	}
	if msg.Boot > p.Boot {
		p.Boot, p.known = msg.Boot, now
	}
	if !m.alive(p, now) {
		var silent time.Duration
		if !p.Heard.IsZero() {
			silent = now.Sub(p.Heard)
		}
		m.Log.Info("node heard", "peer", msg.Name, "boot", msg.Boot, "silent_ms", silent.Milliseconds())
	}
	p.seq, p.Heard, p.Ready, p.Leaving = msg.Seq, now, msg.Ready, msg.Leaving
	p.Fence, p.StoreOK, p.Callers = msg.Fence, msg.StoreOK, msg.Callers
	behind := msg.ConfigVersion > marks.Config || msg.WeightsVersion > marks.Weights
	since(&p.behind, now, behind)
	if behind && !m.promptNode(now) {
		// This node hears late from the store, if at all.
		p.behind = now.Add(-behindTime)
		signal(m.lag)
	}
	since(&p.upAhead, now, msg.UpstreamVersion > marks.Upstreams)
	return true
}

// since keeps the time from which on a condition holds.
func since(at *time.Time, now time.Time, holds bool) {
	if !holds {
		*at = time.Time{}
	} else if at.IsZero() {
		*at = now
	}
}
