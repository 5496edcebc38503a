package mesh

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Bounds of the messages.
const (
	period       = 250 * time.Millisecond  // between messages to one node, in a small site
	smallSite    = 10                      // other nodes up to which all are told of everything at once
	perMessage   = 20                      // other nodes for which the period grows by itself
	farEvery     = 2                       // in a large site, nodes of other data centres get every second message
	minPause     = 20 * time.Millisecond   // between messages that are sent at once
	maxDatagram  = 60 << 10                // bytes
	behindTime   = 400 * time.Millisecond  // the store's own watch is given so long
	upstreamTime = 1200 * time.Millisecond // the same for upstreams, which change often
	snapTimeout  = time.Second
	maxSnapshot  = 64 << 20 // bytes
	snapshotPath = "/v1/objects"
	silentTime   = 1300 * time.Millisecond // after its last message a node counts as gone, in a small site
	missed       = 3                       // messages in a row that may be lost, in a large site
	prompt       = 5                       // nodes that follow the store promptly
)

// Deps are what the mesh works for.
type Deps struct {
	Compose func(now time.Time, m *Message)
	Hear    func(now time.Time, m *Message)
	Marks   func() (upstreams, others uint64) // newest versions known of the store's objects
	Export  func() []vane.Object
	Import  func([]vane.Object)
	Log     *slog.Logger
}

// Peer is what is known of another node.
type Peer struct {
	vane.PeerRecord
	Heard   time.Time // of the last message; zero if there was none
	Ready   bool
	Leaving bool
	Fence   uint64
	StoreOK bool
	Alive   bool // it was heard lately
	seq     uint64
	behind  time.Time // since when it knows more than this node
	upAhead time.Time // since when it knows newer upstreams
}

// Mesh exchanges messages with the other nodes.
type Mesh struct {
	self vane.PeerRecord
	Deps

	mu     sync.Mutex
	peers  map[string]*Peer
	seq    uint64
	urged  time.Time // last time that a message was urged
	urgent bool      // the next message goes to all nodes
	wake   chan struct{}
	lag    chan struct{} // another node knows a newer configuration
	conn   net.PacketConn
	http   *http.Client
}

// New returns the mesh of a node.
func New(self vane.PeerRecord, d Deps) *Mesh {
	return &Mesh{
		self: self, Deps: d, peers: make(map[string]*Peer), wake: make(chan struct{}, 1), lag: make(chan struct{}, 1),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: snapTimeout},
	}
}

// SetPeers takes the records of all nodes, the own one included.
func (m *Mesh) SetPeers(records map[string]vane.PeerRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range records {
		if name == m.self.Name {
			continue
		}
		p, ok := m.peers[name]
		if !ok {
			p = &Peer{}
			m.peers[name] = p
		}
		if r.Boot >= p.Boot {
			p.PeerRecord = r
		}
	}
	for name, p := range m.peers {
		if _, ok := records[name]; !ok && !m.alive(p, time.Now()) {
			delete(m.peers, name)
		}
	}
}

// Peers returns what is known of the other nodes.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	now := time.Now()
	for _, p := range m.peers {
		c := *p
		c.Alive = m.alive(p, now)
		out = append(out, c)
	}
	return out
}

// Notify sends the next message at once.
func (m *Mesh) Notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Urge sends the next message soon, and to all nodes. It serves what must not wait
// in a large site, and does nothing in a small one.
func (m *Mesh) Urge() {
	m.mu.Lock()
	due := len(m.peers) > smallSite && time.Since(m.urged) > period
	if due {
		m.urged, m.urgent = time.Now(), true
	}
	m.mu.Unlock()
	if due {
		m.Notify()
	}
}

// Run implements kernel.Service.
func (m *Mesh) Run(ctx context.Context, ready func()) error {
	conn, err := net.ListenPacket("udp", m.self.Mesh)
	if err != nil {
		return vane.Errorf(vane.KindInvalid, "mesh.listen", "free the port or name another", "can't listen on %s", m.self.Mesh).WithCause(err)
	}
	ln, err := net.Listen("tcp", m.self.Mesh)
	if err != nil {
		_ = conn.Close()
		return vane.Errorf(vane.KindInvalid, "mesh.listen", "free the port or name another", "can't listen on %s", m.self.Mesh).WithCause(err)
	}
	m.conn = conn
	mux := http.NewServeMux()
	mux.HandleFunc(snapshotPath, m.snapshot)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: snapTimeout, WriteTimeout: 2 * snapTimeout}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close(); _ = srv.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
			m.Log.Error("snapshot server ended", "err", err.Error())
		}
	})
	wg.Go(func() { m.receive(ctx) })
	wg.Go(func() { m.pullLoop(ctx) })
	ready()
	m.sendLoop(ctx)
	wg.Wait()
	return nil
}

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

// pause returns the time between messages, which grows with the number of nodes so
// that a node's traffic does not.
func (m *Mesh) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.peers)
	return stretch(n)
}

// stretch returns the time between messages to one node of the own data centre, in
// a site of n other nodes.
func stretch(n int) time.Duration {
	return period * time.Duration(max(1, (n+perMessage-1)/perMessage))
}

// Interval returns the longest time between two messages to one node, in a site of n
// other nodes.
func Interval(n int) time.Duration {
	if n <= smallSite {
		return stretch(n)
	}
	return farEvery * stretch(n)
}

// alive says whether a node was heard lately.
func (m *Mesh) alive(p *Peer, now time.Time) bool {
	limit := silentTime
	if n := len(m.peers); n > smallSite {
		limit = missed * Interval(n)
	}
	return !p.Heard.IsZero() && now.Sub(p.Heard) < limit
}

// Large says whether the site is too large for all nodes to be told of everything at
// once.
func (m *Mesh) Large() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) > smallSite
}

// Prompt says whether this node is one of the few that follow the store promptly.
// All nodes of a small site are.
func (m *Mesh) Prompt() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promptNode(time.Now())
}

// promptNode is Prompt with the lock held.
func (m *Mesh) promptNode(now time.Time) bool {
	if len(m.peers) <= smallSite {
		return true
	}
	own := xxhash.Sum64String(m.self.Name)
	before := 0
	for _, p := range m.peers {
		if m.alive(p, now) && !p.Leaving && xxhash.Sum64String(p.Name) < own {
			before++
		}
	}
	return before < prompt
}

// send sends one message to every node.
func (m *Mesh) send() {
	now := time.Now()
	msg := &Message{Name: m.self.Name, Boot: m.self.Boot, Callers: m.self.Callers}
	msg.UpMark, msg.Mark = m.Marks()
	m.Compose(now, msg)
	m.mu.Lock()
	m.seq++
	msg.Seq = m.seq
	addrs := make([]string, 0, len(m.peers))
	for _, p := range m.peers {
		if len(m.peers) <= smallSite || p.DataCentre == m.self.DataCentre || m.seq%farEvery == 0 || m.urgent {
			addrs = append(addrs, p.Mesh)
		}
	}
	m.urgent = false
	m.mu.Unlock()
	b, err := encode(msg)
	if err != nil || len(b) > maxDatagram {
		m.Log.Error("message not sent", "bytes", len(b), "err", err)
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

// receive takes messages until the socket is closed.
func (m *Mesh) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram+1)
	for {
		n, _, err := m.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			clock.Sleep(ctx, minPause)
			continue
		}
		msg, err := decode(buf[:n])
		if err != nil {
			m.Log.Warn("bad message", "err", err.Error())
			continue
		}
		now := time.Now()
		if m.note(now, msg) {
			m.Hear(now, msg)
		}
	}
}

// note keeps account of the sender. It returns false for a message that is not
// newer than the last.
func (m *Mesh) note(now time.Time, msg *Message) bool {
	upMark, mark := m.Marks() // before the lock, since the source of marks also calls the mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[msg.Name]
	if !ok || msg.Boot < p.Boot || msg.Boot == p.Boot && msg.Seq <= p.seq {
		return false
	}
	if msg.Boot > p.Boot {
		p.Boot = msg.Boot
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
	since(&p.behind, now, msg.Mark > mark)
	if msg.Mark > mark && !m.promptNode(now) {
		// This node hears late from the store, if at all.
		p.behind = now.Add(-behindTime)
		select {
		case m.lag <- struct{}{}:
		default:
		}
	}
	since(&p.upAhead, now, msg.UpMark > upMark)
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
