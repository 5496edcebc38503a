package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/wire"
)

// Defaults and limits of the protocol.
const (
	defaultPeriod           = time.Second            // time between two rounds of pings
	defaultAckTimeout       = 300 * time.Millisecond // wait for an ack before indirect probes are requested
	defaultSuspicionTimeout = 3 * time.Second        // time for a suspect to refute before it is declared dead
	defaultNeighbours       = 2                      // ring neighbours pinged per period
	defaultIndirectProbes   = 3                      // members asked to probe one that did not answer
	deadRetention           = 10 * time.Minute       // time until members that are dead or have left are removed from the view
	pausePeriods            = 3                      // a gap between ticks of more than this many periods is a pause of this process
	maxMemberUpdates        = 6                      // member updates per message
	maxSyncMembers          = 8                      // members added to a message for a peer whose view differs
	maxLoadReports          = 8                      // load reports per message
	maxCrashReports         = 4                      // crash reports per message
	maxNewMemberPings       = 3                      // new members pinged at the next tick
	sendsPerDoubling        = 3                      // messages that carry an update, for each doubling of the fleet's size
)

// Packet is a message to be sent to a peer address.
type Packet struct {
	Addr string
	Msg  *wire.Gossip
}

// Member is a node of the fleet and its status in this node's view. It is an
// immutable value.
type Member struct {
	Name        string
	Addr        string // UDP and gRPC address for other nodes
	CallerAddr  string // address given to callers
	DataCentre  string
	Incarnation uint64 // raised at each restart and refutation
	Status      wire.Status
	StatusSince time.Time // when this node learnt of the status
	LastHeard   time.Time // when the latest message arrived directly from the member; zero if none has
}

// Serving reports whether callers may be sent to the member.
func (m Member) Serving() bool {
	return m.Status == wire.Status_STATUS_ALIVE || m.Status == wire.Status_STATUS_SUSPECT
}

// Live reports whether the member takes part in the fleet: it is neither dead nor
// has it left.
func (m Member) Live() bool { return m.Status <= wire.Status_STATUS_LEAVING }

// toProto returns the member in wire form.
func (m Member) toProto() *wire.Member {
	return &wire.Member{
		Name: m.Name, Addr: m.Addr, Callers: m.CallerAddr, DataCentre: m.DataCentre,
		Incarnation: m.Incarnation, Status: m.Status,
	}
}

// peer is another member with its protocol state.
type peer struct {
	Member
	ringPos         uint64    // position on the hash ring
	pingedAt        time.Time // when the oldest unanswered ping was sent; zero if there is none
	probesRequested bool      // indirect probes were requested for the unanswered ping
	sendsLeft       int       // messages that are still to carry the newest update about the member
	viewDiffers     bool      // the member's latest message showed a view that differs from this node's
}

// Change is a change of a member's status.
type Change struct {
	Member    Member
	OldStatus wire.Status
	Known     bool // false if the member has just been discovered
}

// State is the membership state machine of one node. It is not safe for concurrent
// use.
type State struct {
	self             Member
	period           time.Duration
	ackTimeout       time.Duration
	suspicionTimeout time.Duration
	neighbours       int
	indirectProbes   int
	rnd              *rand.Rand
	seeds            []string
	onChange         func(Change)

	peers       map[string]*peer // by name
	ring        []*peer          // sorted by position on the ring
	selfRingPos uint64           // the node's own position on the ring
	selfSends   int
	seq         uint64           // sequence number of the latest message sent
	lastTick    time.Time        // time of the latest Tick; zero before the first one
	nextRound   time.Time        // when the next round of pings is due
	probeOrder  []*peer          // shuffled members that nextRandom has yet to return
	relays      map[uint64]relay // open probes for other members, by sequence number of the ping
	syncPos     int              // index in ring of the member that nextSyncMembers considered last
	newMembers  []*peer          // discovered since the last tick, at most maxNewMemberPings
	info        Info
	reports     reportRelay
}

// relay is a probe made on behalf of another member.
type relay struct {
	requesterAddr string    // peer address of the member that requested the probe
	requesterSeq  uint64    // sequence number of the request, repeated in the acknowledgement
	at            time.Time // when the probe was sent
}

// Option configures a state; pass it to New.
type Option func(*State)

// WithPeriod sets the time between two rounds of pings; the default is 1 s. The ack
// and suspicion timeouts scale with it.
func WithPeriod(d time.Duration) Option {
	return func(s *State) {
		s.period = d
		s.ackTimeout = d * defaultAckTimeout / defaultPeriod
		s.suspicionTimeout = d * defaultSuspicionTimeout / defaultPeriod
	}
}

// WithNeighbours sets the number of ring neighbours pinged per period.
func WithNeighbours(n int) Option { return func(s *State) { s.neighbours = n } }

// WithSeeds sets the peer addresses that are pinged while no other member is known.
func WithSeeds(addrs []string) Option { return func(s *State) { s.seeds = slices.Clone(addrs) } }

// WithRandSeed sets the seed of the random choices, for reproducible tests.
func WithRandSeed(seed uint64) Option {
	return func(s *State) { s.rnd = rand.New(rand.NewPCG(seed, 0x6d656d)) }
}

// WithChangeFunc sets a function that is called after each status change of a
// member.
func WithChangeFunc(f func(Change)) Option { return func(s *State) { s.onChange = f } }

// New returns the state of a node that knows only itself.
func New(self *wire.Member, opts ...Option) *State {
	s := &State{
		self: fromProto(self), period: defaultPeriod, ackTimeout: defaultAckTimeout, suspicionTimeout: defaultSuspicionTimeout,
		neighbours: defaultNeighbours, indirectProbes: defaultIndirectProbes,
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), onChange: func(Change) {},
		peers: make(map[string]*peer), relays: make(map[uint64]relay), selfRingPos: xxhash.Sum64String(self.Name),
		reports: newReportRelay(),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// fromProto converts a member from wire form.
func fromProto(m *wire.Member) Member {
	return Member{
		Name: m.GetName(), Addr: m.GetAddr(), CallerAddr: m.GetCallers(), DataCentre: m.GetDataCentre(),
		Incarnation: m.GetIncarnation(), Status: m.GetStatus(),
	}
}

// Self returns the node itself.
func (s *State) Self() Member { return s.self }

// Members returns the other nodes, including dead ones, sorted by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.peers))
	for _, p := range s.peers {
		out = append(out, p.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// updateSends returns how many messages carry an update. It grows with the
// logarithm of the fleet's size.
func (s *State) updateSends() int { return sendsPerDoubling * (bits.Len(uint(len(s.peers))) + 1) }

// Leave announces that the node is leaving, and returns the messages to be sent.
// Nodes that receive them stop sending callers to it.
func (s *State) Leave(now time.Time) []Packet {
	s.self.Status = wire.Status_STATUS_LEAVING
	return s.pingMany(now)
}

// AnnounceLeft announces that the node has stopped, and returns the messages to be
// sent.
func (s *State) AnnounceLeft(now time.Time) []Packet {
	s.self.Status = wire.Status_STATUS_LEFT
	return s.pingMany(now)
}

// pingMany pings several random members at once, so that an update spreads without
// waiting for the next round.
func (s *State) pingMany(now time.Time) []Packet {
	s.selfSends = s.updateSends()
	var out []Packet
	for _, p := range s.randomPeers(s.updateSends(), func(p *peer) bool { return p.Live() }) {
		out = append(out, s.ping(now, p))
	}
	return out
}

// randomPeers returns up to n random peers for which f returns true.
func (s *State) randomPeers(n int, f func(*peer) bool) []*peer {
	var all []*peer
	for _, p := range s.ring {
		if f(p) {
			all = append(all, p)
		}
	}
	s.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// mergeMember merges a member as reported by another node into the view.
func (s *State) mergeMember(now time.Time, m *wire.Member) {
	if m.GetName() == "" {
		return
	}
	if m.GetName() == s.self.Name {
		s.refute(m)
		return
	}
	p, known := s.peers[m.GetName()]
	if known && !supersedes(m, p.Member) {
		return
	}
	if !known {
		if m.GetStatus() >= wire.Status_STATUS_DEAD {
			return
		}
		p = &peer{ringPos: xxhash.Sum64String(m.GetName())}
		s.peers[m.GetName()] = p
		s.ring = append(s.ring, p)
		slices.SortFunc(s.ring, func(a, b *peer) int { return cmp.Compare(a.ringPos, b.ringPos) })
		if len(s.newMembers) < maxNewMemberPings {
			s.newMembers = append(s.newMembers, p)
		}
	}
	from, heard := p.Status, p.LastHeard
	p.Member = fromProto(m)
	p.StatusSince, p.LastHeard = now, heard
	p.sendsLeft = s.updateSends()
	if p.Status != from || !known {
		s.onChange(Change{Member: p.Member, OldStatus: from, Known: known})
	}
}

// supersedes reports whether m is newer than what is known: a higher incarnation,
// or a later status of the same incarnation.
func supersedes(m *wire.Member, known Member) bool {
	if m.GetIncarnation() != known.Incarnation {
		return m.GetIncarnation() > known.Incarnation
	}
	return m.GetStatus() > known.Status
}

// refute raises the node's own incarnation if another node reports it with a later
// status, such as suspect.
func (s *State) refute(m *wire.Member) {
	if m.GetIncarnation() < s.self.Incarnation || s.self.Status == wire.Status_STATUS_LEFT {
		return
	}
	if m.GetIncarnation() == s.self.Incarnation && m.GetStatus() <= s.self.Status {
		return
	}
	s.self.Incarnation = m.GetIncarnation() + 1
	s.selfSends = s.updateSends()
}

// setStatus changes a peer's status because of this node's own observations.
func (s *State) setStatus(now time.Time, p *peer, st wire.Status) {
	from := p.Status
	p.Status, p.StatusSince = st, now
	p.sendsLeft = s.updateSends()
	s.onChange(Change{Member: p.Member, OldStatus: from, Known: true})
}

// viewHash returns a hash of the live members and their statuses, this node
// included. Equal views have equal hashes.
func (s *State) viewHash() uint64 {
	h := memberHash(s.self)
	for _, p := range s.peers {
		if p.Live() {
			h ^= memberHash(p.Member)
		}
	}
	return h
}

// memberHash returns a hash of a member's name, incarnation and status.
func memberHash(m Member) uint64 {
	return (xxhash.Sum64String(m.Name) ^ m.Incarnation*0x9e3779b97f4a7c15) * (2*uint64(m.Status) + 3)
}
