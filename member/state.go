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

// Defaults of the protocol.
const (
	defaultPeriod     = time.Second
	defaultAckWait    = 300 * time.Millisecond // before others are asked to probe
	defaultSuspicion  = 3 * time.Second        // for a suspect to refute
	defaultNeighbours = 2                      // ring neighbours pinged each period
	defaultIndirect   = 3                      // members asked to probe
	keepDead          = 10 * time.Minute       // dead members are remembered
	pauseFactor       = 3                      // periods between ticks that mean a pause
	maxNews           = 6                      // members in one message
	maxSync           = 8                      // members added for a peer with another view
	maxLoads          = 8
	maxCrashes        = 4
	maxGreet          = 3 // new members pinged at once
	newsFactor        = 3 // sends of one piece of news for each doubling of the fleet
)

// Packet is a message to be sent.
type Packet struct {
	Addr string
	Msg  *wire.Gossip
}

// Member is another node as this one sees it. It is an immutable value.
type Member struct {
	Name        string
	Addr        string
	Callers     string
	DataCentre  string
	Incarnation uint64
	Status      wire.Status
	Since       time.Time // of the status
	Heard       time.Time // of the newest direct message
}

// Serving says whether callers may be sent to the member.
func (m Member) Serving() bool {
	return m.Status == wire.Status_STATUS_ALIVE || m.Status == wire.Status_STATUS_SUSPECT
}

// Live says whether the member takes part in the fleet.
func (m Member) Live() bool { return m.Status <= wire.Status_STATUS_LEAVING }

// proto returns the form in which the member is told to others.
func (m Member) proto() *wire.Member {
	return &wire.Member{
		Name: m.Name, Addr: m.Addr, Callers: m.Callers, DataCentre: m.DataCentre,
		Incarnation: m.Incarnation, Status: m.Status,
	}
}

// peer is a member with the state of the protocol.
type peer struct {
	Member
	ring   uint64    // place on the ring
	probe  time.Time // of the unanswered ping, or zero
	asked  bool      // others were asked to probe
	sends  int       // that remain for the newest news about it
	differ bool      // its view differed from ours
}

// Change is a change of a member's status.
type Change struct {
	Member Member
	From   wire.Status
	Known  bool // the member was known before
}

// State is the state machine. It is not safe for concurrent use.
type State struct {
	self       Member
	period     time.Duration
	ackWait    time.Duration
	suspicion  time.Duration
	neighbours int
	indirect   int
	rnd        *rand.Rand
	seeds      []string
	onChange   func(Change)

	peers    map[string]*peer
	order    []*peer // by place on the ring
	selfRing uint64
	selfNews int
	seq      uint64
	lastTick time.Time
	nextProb time.Time
	shuffled []*peer
	relays   map[uint64]relay
	syncAt   int
	greet    []*peer // met since the last tick
	know     Info
	spread   spread
}

// relay is a probe made for another member.
type relay struct {
	addr string // of the asker
	seq  uint64
	at   time.Time
}

// Option changes a state under construction.
type Option func(*State)

// WithPeriod sets the time between two rounds of pings; the other times scale
// with it.
func WithPeriod(d time.Duration) Option {
	return func(s *State) {
		s.period = d
		s.ackWait = d * defaultAckWait / defaultPeriod
		s.suspicion = d * defaultSuspicion / defaultPeriod
	}
}

// WithNeighbours sets the number of ring neighbours pinged each period.
func WithNeighbours(n int) Option { return func(s *State) { s.neighbours = n } }

// WithSeeds sets addresses to join through.
func WithSeeds(addrs []string) Option { return func(s *State) { s.seeds = slices.Clone(addrs) } }

// WithRandSeed sets the seed of the random choices.
func WithRandSeed(seed uint64) Option {
	return func(s *State) { s.rnd = rand.New(rand.NewPCG(seed, 0x6d656d)) }
}

// WithChangeFunc sets a function that is told each change.
func WithChangeFunc(f func(Change)) Option { return func(s *State) { s.onChange = f } }

// New returns the state of a node that knows only itself.
func New(self *wire.Member, opts ...Option) *State {
	s := &State{
		self: fromProto(self), period: defaultPeriod, ackWait: defaultAckWait, suspicion: defaultSuspicion,
		neighbours: defaultNeighbours, indirect: defaultIndirect,
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), onChange: func(Change) {},
		peers: make(map[string]*peer), relays: make(map[uint64]relay), selfRing: xxhash.Sum64String(self.Name),
		spread: newSpread(),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// fromProto returns a member as told by another node.
func fromProto(m *wire.Member) Member {
	return Member{
		Name: m.GetName(), Addr: m.GetAddr(), Callers: m.GetCallers(), DataCentre: m.GetDataCentre(),
		Incarnation: m.GetIncarnation(), Status: m.GetStatus(),
	}
}

// Self returns the node itself.
func (s *State) Self() Member { return s.self }

// Members returns the other nodes, in order of their names.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.peers))
	for _, p := range s.peers {
		out = append(out, p.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// rounds returns how often a piece of news is sent.
func (s *State) rounds() int { return newsFactor * (bits.Len(uint(len(s.peers))) + 1) }

// Leave announces that the node is leaving. Other nodes stop sending callers to
// it at once.
func (s *State) Leave(now time.Time) []Packet {
	s.self.Status = wire.Status_STATUS_LEAVING
	return s.broadcast(now)
}

// AnnounceLeft announces that the node has ended.
func (s *State) AnnounceLeft(now time.Time) []Packet {
	s.self.Status = wire.Status_STATUS_LEFT
	return s.broadcast(now)
}

// broadcast pings a handful of members at once, so that news spreads without
// waiting for the next round.
func (s *State) broadcast(now time.Time) []Packet {
	s.selfNews = s.rounds()
	var out []Packet
	for _, p := range s.pick(s.rounds(), func(p *peer) bool { return p.Live() }) {
		out = append(out, s.ping(now, p))
	}
	return out
}

// pick returns up to n random peers that f accepts.
func (s *State) pick(n int, f func(*peer) bool) []*peer {
	var all []*peer
	for _, p := range s.order {
		if f(p) {
			all = append(all, p)
		}
	}
	s.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// merge takes what another node told about a member.
func (s *State) merge(now time.Time, m *wire.Member) {
	if m.GetName() == "" {
		return
	}
	if m.GetName() == s.self.Name {
		s.refute(m)
		return
	}
	p, known := s.peers[m.GetName()]
	if known && !newer(m, p.Member) {
		return
	}
	if !known {
		if m.GetStatus() >= wire.Status_STATUS_DEAD {
			return
		}
		p = &peer{ring: xxhash.Sum64String(m.GetName())}
		s.peers[m.GetName()] = p
		s.order = append(s.order, p)
		slices.SortFunc(s.order, func(a, b *peer) int { return cmp.Compare(a.ring, b.ring) })
		if len(s.greet) < maxGreet {
			s.greet = append(s.greet, p)
		}
	}
	from, heard := p.Status, p.Heard
	p.Member = fromProto(m)
	p.Since, p.Heard = now, heard
	p.sends = s.rounds()
	if p.Status != from || !known {
		s.onChange(Change{Member: p.Member, From: from, Known: known})
	}
}

// newer says whether m tells something newer than what is known: a higher
// incarnation, or a later status of the same one.
func newer(m *wire.Member, known Member) bool {
	if m.GetIncarnation() != known.Incarnation {
		return m.GetIncarnation() > known.Incarnation
	}
	return m.GetStatus() > known.Status
}

// refute answers a suspicion against the node itself with a new incarnation.
func (s *State) refute(m *wire.Member) {
	if m.GetIncarnation() < s.self.Incarnation || s.self.Status == wire.Status_STATUS_LEFT {
		return
	}
	if m.GetIncarnation() == s.self.Incarnation && m.GetStatus() <= s.self.Status {
		return
	}
	s.self.Incarnation = m.GetIncarnation() + 1
	s.selfNews = s.rounds()
}

// set changes a peer's status by the node's own judgement.
func (s *State) set(now time.Time, p *peer, st wire.Status) {
	from := p.Status
	p.Status, p.Since = st, now
	p.sends = s.rounds()
	s.onChange(Change{Member: p.Member, From: from, Known: true})
}

// view returns a hash of the live members.
func (s *State) view() uint64 {
	h := memberHash(s.self)
	for _, p := range s.peers {
		if p.Live() {
			h ^= memberHash(p.Member)
		}
	}
	return h
}

// memberHash hashes a member's identity and status.
func memberHash(m Member) uint64 {
	return (xxhash.Sum64String(m.Name) ^ m.Incarnation*0x9e3779b97f4a7c15) * (2*uint64(m.Status) + 3)
}
