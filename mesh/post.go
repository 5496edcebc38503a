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
		if !clock.Sleep(ctx, minSendInterval) {
			return
		}
		t := time.NewTimer(clock.Jitter(m.sendInterval()) - minSendInterval)
		select {
		case <-t.C:
		case <-m.wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// send sends one message: to every node in a small site, and to a relay or all relays of
// the data centre in a large one.
func (m *Mesh) send() {
	now := m.now()
	msg := &Message{Name: m.self.Name, Boot: m.self.Boot, Callers: m.self.Callers}
	known := m.Versions()
	msg.UpstreamVersion, msg.ConfigVersion, msg.WeightsVersion = known.Upstreams, known.Config, known.Weights
	msg.RolloutVersion, msg.Extension.Evacuations = known.Rollouts, known.Evacuations
	m.Compose(now, msg)
	m.mu.Lock()
	m.seq++
	msg.Seq = m.seq
	urgent, small := m.urgent, len(m.peers) <= maxSmallSite
	m.urgent = false
	to := destination{}
	if small {
		for _, p := range m.peers {
			to.addrs = append(to.addrs, p.Mesh)
		}
	} else {
		to = m.ownDestination(now, urgent)
	}
	m.mu.Unlock()
	b, err := encodeMessage(msg)
	if err != nil || len(b) > maxDatagram {
		m.Log.Error("message not sent: encoding failed or too large", "bytes", len(b), "err", err)
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
	m.sendTo(envelope{Scope: s, Urgent: urgent, Messages: [][]byte{b}}, to.addrs)
}

// sendTo sends an envelope to the addresses.
func (m *Mesh) sendTo(e envelope, addrs []string) {
	b, err := encode(&e)
	if err != nil {
		m.Log.Error("messages not sent", "err", err)
		return
	}
	for _, a := range addrs {
		ua, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			m.Log.Warn("can't resolve the address of a node", "addr", a, "err", err.Error())
			continue
		}
		// A lost datagram needs no retry, since newer messages follow.
		_, _ = m.conn.WriteTo(b, ua)
	}
}

// enqueue queues messages for the next relay to the whole site.
func (m *Mesh) enqueue(messages [][]byte, urgent bool) {
	m.mu.Lock()
	m.relayQueue = append(m.relayQueue, messages...)
	m.mu.Unlock()
	if urgent {
		signal(m.flushRelay)
	}
}

// relayLoop passes on the queued messages after each relay period, and at once if urgent
// ones are queued, until ctx ends.
func (m *Mesh) relayLoop(ctx context.Context) {
	for clock.Sleep(ctx, minSendInterval) {
		m.mu.Lock()
		wait := relayPeriod(len(m.peers))
		m.mu.Unlock()
		t := time.NewTimer(wait - minSendInterval)
		urgent := false
		select {
		case <-t.C:
		case <-m.flushRelay:
			urgent = true
		case <-ctx.Done():
		}
		t.Stop()
		m.relayQueued(m.now(), urgent)
	}
}

// relayQueued sends the queued messages to the nodes of this data centre, and to one
// relay in each other data centre.
func (m *Mesh) relayQueued(now time.Time, urgent bool) {
	m.mu.Lock()
	messages := m.relayQueue
	m.relayQueue = nil
	var near, far []string
	if len(messages) > 0 {
		near, far = m.relayTargets(now)
	}
	m.mu.Unlock()
	for _, e := range bundle(scopeNode, urgent, messages) {
		m.sendTo(e, near)
		e.Scope = scopeDataCentre
		m.sendTo(e, far)
	}
}

// receive handles datagrams until the socket is closed.
func (m *Mesh) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := m.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			clock.Sleep(ctx, minSendInterval)
			continue
		}
		var e envelope
		if err := decode(buf[:n], &e); err != nil {
			m.Log.Warn("bad datagram", "from", from.String(), "err", err.Error())
			continue
		}
		m.handleEnvelope(e, from.String())
	}
}

// handleEnvelope hands the new messages of an envelope to the node and relays them
// according to its scope.
func (m *Mesh) handleEnvelope(e envelope, from string) {
	switch e.Scope {
	case scopeQuestion:
		m.handleQuestion(e, from)
		return
	case scopeAnswer:
		if len(e.Messages) == 2 {
			m.questions.answer(e.Messages[0], e.Messages[1])
		}
		return
	}
	now := m.now()
	var fresh [][]byte
	for _, b := range e.Messages {
		// Relays send many messages more than once.
		if h, err := decodeHead(b); err == nil && !m.isNew(now, h) {
			continue
		}
		msg, err := decodeMessage(b)
		if err != nil {
			m.Log.Warn("bad message", "from", from, "err", err.Error())
			continue
		}
		if m.recordSender(now, msg) {
			fresh = append(fresh, b)
			m.Receive(now, msg)
		}
	}
	switch {
	case e.Scope == scopeNode:
		m.recordRelay(now, from)
	case len(fresh) == 0:
	case e.Scope == scopeSite:
		m.enqueue(fresh, e.Urgent)
	case e.Scope == scopeDataCentre:
		m.mu.Lock()
		near, _ := m.relayTargets(now)
		m.mu.Unlock()
		for _, out := range bundle(scopeNode, e.Urgent, fresh) {
			m.sendTo(out, near)
		}
	}
}

// recordRelay records that the node with the address relayed messages to this one.
func (m *Mesh) recordRelay(now time.Time, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.byAddr[from]; ok {
		p.lastRelayed = now
	}
}

// isNew reports whether a message is newer than the last of its sender. A lower boot number
// than the last is that of a node whose clock was set back before it restarted, if the last
// start is not alive any more.
func (m *Mesh) isNew(now time.Time, h head) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[h.name]
	return ok && m.newLocked(p, now, h)
}

// newLocked is isNew for a known sender and callers that hold m.mu.
func (m *Mesh) newLocked(p *Peer, now time.Time, h head) bool {
	return (h.boot >= p.Boot || !m.alive(p, now)) && (h.boot != p.Boot || h.seq > p.seq)
}

// recordSender updates the sender's state. It returns false for a message of an unknown
// node and for one that is not newer than the last.
func (m *Mesh) recordSender(now time.Time, msg *Message) bool {
	known := m.Versions() // before locking, since Versions may call back into the mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[msg.Name]
	if !ok || !m.newLocked(p, now, head{msg.Name, msg.Boot, msg.Seq}) {
		return false
	}
	if msg.Boot != p.Boot {
		p.Boot, p.knownSince = msg.Boot, now
	}
	if !m.alive(p, now) {
		var silent time.Duration
		if !p.LastHeard.IsZero() {
			silent = now.Sub(p.LastHeard)
		}
		m.Log.Info("node heard", "peer", msg.Name, "boot", msg.Boot, "silent_ms", silent.Milliseconds())
	}
	p.seq, p.LastHeard, p.Ready, p.Leaving = msg.Seq, now, msg.Ready, msg.Leaving
	p.Fence, p.StoreOK, p.StoreFailing, p.Callers = msg.Fence, msg.StoreOK, msg.Extension.StoreFailing, msg.Callers
	ahead := msg.ConfigVersion > known.Config || msg.WeightsVersion > known.Weights || msg.RolloutVersion > known.Rollouts || m.Evacuations && msg.Extension.Evacuations > known.Evacuations
	trackSince(&p.aheadSince, now, ahead)
	if ahead && !m.promptWatcherLocked(now) {
		// This node watches the store with delay, so it does not wait for the store.
		p.aheadSince = now.Add(-aheadDelay)
		signal(m.fetchNow)
	}
	trackSince(&p.upstreamsAheadSince, now, msg.UpstreamVersion > known.Upstreams)
	return true
}

// trackSince updates the start time of a condition: it sets at to now if the condition
// begins to hold, and to zero if it does not hold.
func trackSince(at *time.Time, now time.Time, holds bool) {
	if !holds {
		*at = time.Time{}
	} else if at.IsZero() {
		*at = now
	}
}
