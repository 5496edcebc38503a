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

// Limits and durations of the message exchange.
const (
	smallSitePeriod           = 250 * time.Millisecond  // time between two messages of a node in a small site
	maxSmallSite              = 10                      // largest number of other nodes in a small site, where each node sends to all others
	nodesPerPeriod            = 40                      // number of other nodes for which the send period of a large site grows by one smallSitePeriod
	minSendInterval           = 20 * time.Millisecond   // least time between two messages of a node, even if they are urgent
	maxDatagram               = 60 << 10                // largest size of a datagram in bytes
	aheadDelay                = 400 * time.Millisecond  // time that the store's watch is given to deliver a change before a peer is asked for it
	upstreamAheadDelay        = 1200 * time.Millisecond // value of aheadDelay for changes of upstreams, which are frequent
	delayedUpstreamAheadDelay = 400 * time.Millisecond  // value of upstreamAheadDelay on nodes that watch the store with delay
	snapshotTimeout           = time.Second             // time limit for the transfer of a snapshot
	maxHeadBytes              = 32 << 10                // largest response head
	maxSnapshot               = 16 << 20                // largest size of a snapshot in bytes, both compressed and decompressed
	snapshotPath              = "/v1/objects"           // URL path from which snapshots are fetched
	aliveTimeout              = 1300 * time.Millisecond // time after its last message until a node counts as down, in a small site
	maxMissed                 = 3                       // number of message intervals without a message after which a node counts as down, in a large site
	promptWatchers            = 5                       // number of nodes of a large site that watch the store without delay
)

// Deps are the functions and the logger that a mesh needs. All but Answer are required for
// Run.
type Deps struct {
	Compose  func(now time.Time, m *Message)             // fills in an outgoing message
	Receive  func(now time.Time, m *Message)             // takes a message that is newer than the last of its sender
	Versions func() mirror.Versions                      // returns the newest versions that this node knows
	Export   func(have mirror.Versions) []vane.Object    // returns the objects that a node with these versions lacks
	Import   func([]vane.Object)                         // applies the objects of a snapshot
	Answer   func(now time.Time, question []byte) []byte // answers a question of another node without blocking; nil if it can't; optional
	Log      *slog.Logger                                // takes the log lines of the mesh

	Evacuations bool // this node follows evacuations, so that it is to be told of newer ones
}

// Peer is the known state of another node.
type Peer struct {
	vane.PeerRecord
	LastHeard           time.Time // time of the last message; zero if there was none
	Ready               bool      // callers may be sent to the peer
	Leaving             bool      // the peer is stopping
	Fence               uint64    // fencing number of the lease on weight orders; zero if the peer does not hold it
	StoreOK             bool      // the peer reaches the store and watches it without delay
	StoreFailing        bool      // the store does not answer the peer
	Alive               bool      // a message arrived recently; set by Peers
	seq                 uint64    // sequence number of the last message
	knownSince          time.Time // time at which this node learned of the peer's latest start
	lastRelayed         time.Time // time at which the peer last relayed messages to this node
	aheadSince          time.Time // time since which the peer has known a newer configuration or weights; zero if it does not
	upstreamsAheadSince time.Time // time since which the peer has known newer upstreams; zero if it does not
}

// Mesh exchanges messages with the other nodes. It is safe for concurrent use.
type Mesh struct {
	self vane.PeerRecord
	Deps
	now func() time.Time

	mu           sync.Mutex
	peers        map[string]*Peer // other nodes by name
	byAddr       map[string]*Peer // other nodes by the address for messages
	seq          uint64           // sequence number of the last message
	lastSendSoon time.Time        // time at which SendSoon last triggered a message
	urgent       bool             // the next message must not wait at relays
	relayTurn    int              // counter that rotates the relays of other data centres
	relayQueue   [][]byte         // encoded messages to be relayed to the whole site
	wake         chan struct{}    // signals that the next message is to be sent at once
	flushRelay   chan struct{}    // signals that urgent messages are queued
	fetchNow     chan struct{}    // signals that a peer knows a newer configuration or weights
	questions    *questions
	conn         net.PacketConn
	http         *http.Client
}

// New returns the mesh of the node with the record self. It opens no socket.
func New(self vane.PeerRecord, d Deps) *Mesh {
	return &Mesh{
		self: self, Deps: d, now: time.Now, peers: make(map[string]*Peer), byAddr: make(map[string]*Peer), questions: newQuestions(), wake: make(chan struct{}, 1),
		flushRelay: make(chan struct{}, 1), fetchNow: make(chan struct{}, 1),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}, Timeout: snapshotTimeout},
	}
}

// SetPeers takes the records of all nodes. It ignores the node's own record. Nodes
// without a record are dropped once they are no longer alive.
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
		if r.Boot < p.Boot && m.alive(p, m.now()) {
			continue
		}
		if r.Boot != p.Boot {
			p.knownSince, p.seq = m.now(), 0
		}
		p.PeerRecord = r
	}
	for name, p := range m.peers {
		if _, ok := records[name]; !ok && !m.alive(p, m.now()) {
			delete(m.peers, name)
		}
	}
	clear(m.byAddr)
	for _, p := range m.peers {
		m.byAddr[p.Mesh] = p
	}
}

// Peers returns the known state of the other nodes, in no particular order.
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

// IsAlive reports whether a message of another node arrived recently.
func (m *Mesh) IsAlive(node string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[node]
	return ok && m.alive(p, m.now())
}

// SendNow sends the next message at once, marked as urgent so that relays do not delay
// it.
func (m *Mesh) SendNow() {
	m.mu.Lock()
	m.urgent = true
	m.mu.Unlock()
	signal(m.wake)
}

// SendSoon sends the next message at once if the last such call is long enough ago. It
// is for updates that should not wait for the send period of a large site, and does
// nothing in a small one.
func (m *Mesh) SendSoon() {
	m.mu.Lock()
	due := len(m.peers) > maxSmallSite && m.now().Sub(m.lastSendSoon) > smallSitePeriod
	if due {
		m.lastSendSoon = m.now()
	}
	m.mu.Unlock()
	if due {
		signal(m.wake)
	}
}

// signal sends to a channel with a buffer of one, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run implements kernel.Service. It returns an error of KindInvalid if it can't listen.
func (m *Mesh) Run(ctx context.Context, ready func()) error {
	conn, err := net.ListenPacket("udp", m.self.Mesh)
	if err != nil {
		return vane.Errorf(vane.KindInvalid, "mesh.listen", "free the port or configure another one", "can't listen on %s", m.self.Mesh).WithCause(err)
	}
	ln, err := net.Listen("tcp", m.self.Mesh)
	if err != nil {
		_ = conn.Close()
		return vane.Errorf(vane.KindInvalid, "mesh.listen", "free the port or configure another one", "can't listen on %s", m.self.Mesh).WithCause(err)
	}
	m.conn = conn
	mux := http.NewServeMux()
	mux.HandleFunc(snapshotPath, m.serveSnapshot)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: snapshotTimeout, WriteTimeout: 2 * snapshotTimeout}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close(); _ = srv.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
			m.Log.Error("snapshot server stopped unexpectedly", "err", err.Error())
		}
	})
	wg.Go(func() { m.receive(ctx) })
	wg.Go(func() { m.relayLoop(ctx) })
	wg.Go(func() { m.snapshotLoop(ctx) })
	ready()
	m.sendLoop(ctx)
	wg.Wait()
	return nil
}

// sendInterval returns the time between two messages of this node.
func (m *Mesh) sendInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sendPeriod(len(m.peers))
}

// sendPeriod returns the time between two messages of a node, in a site with n other
// nodes. It grows with n, so that the rate of received messages stays bounded.
func sendPeriod(n int) time.Duration {
	if n <= maxSmallSite {
		return smallSitePeriod
	}
	return smallSitePeriod * time.Duration(max(1, (n+nodesPerPeriod-1)/nodesPerPeriod))
}

// relayPeriod returns the time for which a relay gathers messages, in a site with n other
// nodes.
func relayPeriod(n int) time.Duration { return sendPeriod(n) / 2 }

// MaxInterval returns the longest time between the arrivals of two messages of a node at
// another node, in a site with n other nodes. In a large site each message may wait at
// two relays.
func MaxInterval(n int) time.Duration {
	if n <= maxSmallSite {
		return smallSitePeriod
	}
	return sendPeriod(n) + 2*relayPeriod(n)
}

// MaxTransit returns the longest time that a message waits at relays, in a site with n other
// nodes.
func MaxTransit(n int) time.Duration {
	if n <= maxSmallSite {
		return 0
	}
	return 2 * relayPeriod(n)
}

// alive reports whether a message of the node arrived recently. The caller must hold
// m.mu.
func (m *Mesh) alive(p *Peer, now time.Time) bool {
	limit := aliveTimeout
	if n := len(m.peers); n > maxSmallSite {
		limit = maxMissed * MaxInterval(n)
	}
	return !p.LastHeard.IsZero() && now.Sub(p.LastHeard) < limit
}

// IsLargeSite reports whether the site is too large for every node to send to all
// others.
func (m *Mesh) IsLargeSite() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) > maxSmallSite
}

// IsPromptWatcher reports whether this node is one of the few that watch the store
// without delay. All nodes of a small site are. Nodes that the store does not answer are
// replaced by others.
func (m *Mesh) IsPromptWatcher() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promptWatcherLocked(m.now())
}

// promptWatcherLocked is IsPromptWatcher for callers that hold m.mu.
func (m *Mesh) promptWatcherLocked(now time.Time) bool {
	if len(m.peers) <= maxSmallSite {
		return true
	}
	own := newMember(m.self, true, false)
	before := 0
	for _, p := range m.peers {
		if m.alive(p, now) && !p.Leaving && !p.StoreFailing && rank(newMember(p.PeerRecord, true, false), own) < 0 {
			before++
		}
	}
	return before < promptWatchers
}
