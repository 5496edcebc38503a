package mesh

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Bounds of the messages.
const (
	period       = 250 * time.Millisecond  // between messages to one node, in a small site
	smallSite    = 10                      // other nodes up to which each sends to all
	perPeriod    = 40                      // other nodes for which the period grows by itself, in a large site
	minPause     = 20 * time.Millisecond   // between messages that are sent at once
	maxDatagram  = 60 << 10                // bytes
	behindTime   = 400 * time.Millisecond  // the store's own watch is given so long
	upstreamTime = 1200 * time.Millisecond // the same for upstreams, which change often
	upstreamSoon = 400 * time.Millisecond  // the same for nodes that follow the store late, in a large site
	snapTimeout  = time.Second
	maxSnapshot  = 64 << 20 // bytes
	snapshotPath = "/v1/objects"
	silentTime   = 1300 * time.Millisecond // after its last message a node counts as gone, in a small site
	missed       = 3                       // messages in a row that may be lost, in a large site
	prompt       = 5                       // nodes that follow the store promptly
)

// Deps are what the mesh works for.
type Deps struct {
	Compose  func(now time.Time, m *Message)
	Receive  func(now time.Time, m *Message)
	Versions func() mirror.Versions
	Export   func(have mirror.Versions) []vane.Object
	Import   func([]vane.Object)
	Log      *slog.Logger
}

// Peer is what is known of another node.
type Peer struct {
	vane.PeerRecord
	Heard   time.Time // of the last message; zero if there was none
	Ready   bool
	Leaving bool
	Fence   uint64
	StoreOK bool
	Alive   bool // a message came lately
	seq     uint64
	known   time.Time // since when this node knows of it in its present life
	bundle  time.Time // last time that it passed messages on
	behind  time.Time // since when it knows more than this node
	upAhead time.Time // since when it knows newer upstreams
}

// Mesh exchanges messages with the other nodes.
type Mesh struct {
	self vane.PeerRecord
	Deps
	now func() time.Time

	mu     sync.Mutex
	peers  map[string]*Peer
	seq    uint64
	urged  time.Time // last time that a message was urged
	urgent bool      // the next message is not to wait at relays
	turn   int       // counts bundles
	queue  [][]byte  // messages that wait to be passed on to the whole site
	wake   chan struct{}
	flush  chan struct{} // messages wait that are urgent
	lag    chan struct{} // another node knows a newer configuration
	conn   net.PacketConn
	http   *http.Client
}

// New returns the mesh of a node.
func New(self vane.PeerRecord, d Deps) *Mesh {
	return &Mesh{
		self: self, Deps: d, now: time.Now, peers: make(map[string]*Peer), wake: make(chan struct{}, 1),
		flush: make(chan struct{}, 1), lag: make(chan struct{}, 1),
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
		if r.Boot > p.Boot {
			p.known = m.now()
		}
		if r.Boot >= p.Boot {
			p.PeerRecord = r
		}
	}
	for name, p := range m.peers {
		if _, ok := records[name]; !ok && !m.alive(p, m.now()) {
			delete(m.peers, name)
		}
	}
}

// Peers returns what is known of the other nodes.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	now := m.now()
	for _, p := range m.peers {
		c := *p
		c.Alive = m.alive(p, now)
		out = append(out, c)
	}
	return out
}

// SendNow sends the next message at once, and lets no relay hold it up.
func (m *Mesh) SendNow() {
	m.mu.Lock()
	m.urgent = true
	m.mu.Unlock()
	signal(m.wake)
}

// SendSoon sends the next message soon. It serves what should not wait for the period of
// a large site, and does nothing in a small one.
func (m *Mesh) SendSoon() {
	m.mu.Lock()
	due := len(m.peers) > smallSite && m.now().Sub(m.urged) > period
	if due {
		m.urged = m.now()
	}
	m.mu.Unlock()
	if due {
		signal(m.wake)
	}
}

// signal wakes the receiver of a channel that holds one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
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
	wg.Go(func() { m.relayLoop(ctx) })
	wg.Go(func() { m.pullLoop(ctx) })
	ready()
	m.sendLoop(ctx)
	wg.Wait()
	return nil
}

// pause returns the time between messages.
func (m *Mesh) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sendPeriod(len(m.peers))
}

// sendPeriod returns the time between two messages of a node, in a site of n other
// nodes. It grows with their number, so that the messages that a node gets do not.
func sendPeriod(n int) time.Duration {
	if n <= smallSite {
		return period
	}
	return period * time.Duration(max(1, (n+perPeriod-1)/perPeriod))
}

// relayPeriod returns the time for which a relay gathers messages.
func relayPeriod(n int) time.Duration { return sendPeriod(n) / 2 }

// Interval returns the longest time between two messages of a node as another one
// gets them, in a site of n other nodes.
func Interval(n int) time.Duration {
	if n <= smallSite {
		return period
	}
	return sendPeriod(n) + 2*relayPeriod(n)
}

// alive says whether a message of the node came lately.
func (m *Mesh) alive(p *Peer, now time.Time) bool {
	limit := silentTime
	if n := len(m.peers); n > smallSite {
		limit = missed * Interval(n)
	}
	return !p.Heard.IsZero() && now.Sub(p.Heard) < limit
}

// IsLargeSite says whether the site is too large for all nodes to be told of everything at
// once.
func (m *Mesh) IsLargeSite() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) > smallSite
}

// IsPromptWatcher says whether this node is one of the few that follow the store promptly.
// All nodes of a small site are.
func (m *Mesh) IsPromptWatcher() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promptNode(m.now())
}

// promptNode is Prompt with the lock held.
func (m *Mesh) promptNode(now time.Time) bool {
	if len(m.peers) <= smallSite {
		return true
	}
	own := memberOf(m.self, true, false)
	before := 0
	for _, p := range m.peers {
		if m.alive(p, now) && !p.Leaving && rank(memberOf(p.PeerRecord, true, false), own) < 0 {
			before++
		}
	}
	return before < prompt
}
