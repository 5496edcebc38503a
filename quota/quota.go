package quota

import (
	"math/rand/v2"
	"time"
)

// Parameters of the protocol.
const (
	minSilenceTimeout = 900 * time.Millisecond  // shortest time without a message after which a node counts as silent; it covers several messages at a small site
	lostMessages      = 3                       // number of messages in a row that may be lost before a node counts as silent
	smoothing         = 0.5                     // weight of the newest message in the average rate of a node
	joinTime          = 1500 * time.Millisecond // time after its start at which a node that has received no levels relies on its own
	halfLifeSeconds   = 1.0                     // time after which units that this node admitted count half in its recent rate
	nearLimitShare    = 0.8                     // fraction of the rate above which a workspace is near its limit
	initialBurstShare = 0.5                     // fraction of the burst that a new bucket holds, since what was admitted before is unknown
)

// Limit is the quota of a workspace. A rate of zero or less means no limit.
type Limit struct {
	Rate  float64 // units per second
	Burst float64 // units
}

// bucket is the token bucket of one workspace over all nodes, as this node sees it.
type bucket struct {
	limit      Limit
	level      float64 // units left; negative after a large request, or when other nodes admitted more than expected
	refilledAt time.Time
	admitted   float64     // units that this node admitted since its start
	recent     recentUnits // units that this node admitted
	grants     []grant     // admissions that other nodes may not know of yet, oldest first
	unreported float64     // units of the grants
	known      recentUnits // units that this node admitted and the others know of
	fraction   float64     // fraction of the next request that the allowance must cover
}

// peer is the state of another node.
type peer struct {
	boot     uint64             // identifies the run of the node's process; zero until the first message
	heardAt  time.Time          // time of the last message
	admitted map[string]float64 // units that it had admitted by its last message, by workspace
	assumed  map[string]float64 // units taken from the buckets that its messages have not reported yet, by workspace
	rate     map[string]float64 // average units per second that it admitted recently, by workspace
}

// Buckets holds the buckets of all workspaces. It is not safe for concurrent use.
type Buckets struct {
	start          time.Time
	joined         bool // the levels of another node were adopted
	buckets        map[string]*bucket
	peers          map[string]*peer
	delay          time.Duration // time until the other nodes know of an admission
	silenceTimeout time.Duration // time without a message after which a node counts as silent
	rnd            *rand.Rand    // source of the fractions
}

// Option changes a property of new buckets.
type Option func(*Buckets)

// WithSeed returns an option that sets the seed of the random numbers. By default it is
// random.
func WithSeed(seed uint64) Option {
	return func(b *Buckets) { b.rnd = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the buckets of a node that starts now. Without limits it admits everything.
func New(now time.Time, opts ...Option) *Buckets {
	b := &Buckets{
		start: now, buckets: make(map[string]*bucket), peers: make(map[string]*peer),
		delay: minSilenceTimeout / lostMessages, silenceTimeout: minSilenceTimeout,
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// SetInterval sets the longest time between the arrivals of two messages of a node. After
// it, the other nodes know of what this node admitted. A node counts as silent after
// lostMessages such intervals, but not before minSilenceTimeout.
func (b *Buckets) SetInterval(d time.Duration) {
	b.delay = d
	b.silenceTimeout = max(minSilenceTimeout, lostMessages*d)
}

// SetLimits replaces the limits of all workspaces. Workspaces without a positive rate
// have no bucket and are not limited. A bucket keeps its level as far as the new burst
// allows.
func (b *Buckets) SetLimits(now time.Time, limits map[string]Limit) {
	for ws := range b.buckets {
		if t, ok := limits[ws]; !ok || t.Rate <= 0 {
			delete(b.buckets, ws)
		}
	}
	for ws, t := range limits {
		if t.Rate <= 0 {
			continue
		}
		k, ok := b.buckets[ws]
		if !ok {
			k = &bucket{level: initialBurstShare * t.Burst, refilledAt: now, limit: t, fraction: b.rnd.Float64()}
			b.buckets[ws] = k
		}
		b.refill(now, ws, k)
		k.limit = t
		k.level = min(k.level, t.Burst)
	}
}

// SetPeers replaces the names of the other nodes. A new node counts as silent if its
// first message does not arrive within the silence time-out from now.
func (b *Buckets) SetPeers(now time.Time, names []string) {
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
		if _, ok := b.peers[n]; !ok {
			b.peers[n] = &peer{heardAt: now, admitted: make(map[string]float64), assumed: make(map[string]float64), rate: make(map[string]float64)}
		}
	}
	for n := range b.peers {
		if !keep[n] {
			delete(b.peers, n)
		}
	}
}

// refill adds the units that the rate yields since the last refill, less what nodes whose
// messages are late are assumed to have admitted meanwhile.
func (b *Buckets) refill(now time.Time, ws string, k *bucket) {
	d := now.Sub(k.refilledAt).Seconds()
	if d <= 0 {
		return
	}
	from := k.refilledAt
	k.refilledAt = now
	k.level += d * k.limit.Rate
	share := k.limit.Rate / float64(1+len(b.peers))
	for _, p := range b.peers {
		// A node whose message is late is assumed to go on at its recent rate, or at its
		// equal share if it is silent.
		late := now.Sub(p.heardAt) - b.delay
		if late <= 0 {
			continue
		}
		use := min(p.rate[ws], k.limit.Rate)
		if late+b.delay > b.silenceTimeout {
			use = share
		}
		use *= min(now.Sub(from), late).Seconds()
		k.level -= use
		p.assumed[ws] += use
	}
	k.level = min(k.level, k.limit.Burst)
}

// Take admits a request of n units if this node's allowance suffices; a workspace without
// a bucket has no limit. If Take returns false, it admits nothing and returns the time
// after which the allowance suffices if no other node takes units.
func (b *Buckets) Take(now time.Time, ws string, n float64) (time.Duration, bool) {
	k, ok := b.buckets[ws]
	if !ok {
		return 0, true
	}
	b.refill(now, ws, k)
	units, growth := b.allowance(now, ws, k)
	// A request larger than the burst is admitted from a full bucket, whose level then
	// becomes negative.
	need := min(n, k.limit.Burst)
	if len(b.peers) > 0 {
		// One node's allowance may be less than a request. The request is then admitted from
		// a random fraction of it on, so that the nodes together admit their allowances.
		need *= k.fraction
	}
	if units < need {
		return time.Duration((need - units) / growth * float64(time.Second)), false
	}
	k.level -= n
	k.admitted += n
	k.unreported += n
	k.grants = append(k.grants, grant{now, n})
	k.recent.add(now, n)
	k.fraction = b.rnd.Float64()
	return 0, true
}

// NearLimit returns true if the workspace would be near its rate, should all nodes admit
// as much as this one did recently. The other nodes should then get the counters soon.
func (b *Buckets) NearLimit(ws string) bool {
	k, ok := b.buckets[ws]
	return ok && k.recent.rate(k.recent.at)*float64(1+len(b.peers)) > nearLimitShare*k.limit.Rate
}

// Refund returns the units of an admitted request that did not run.
func (b *Buckets) Refund(ws string, n float64) {
	if k, ok := b.buckets[ws]; ok {
		k.level = min(k.level+n, k.limit.Burst)
		k.admitted -= n
	}
}

// Level returns the units in the bucket of a workspace, which may be negative. It returns
// false if the workspace has no bucket.
func (b *Buckets) Level(now time.Time, ws string) (float64, bool) {
	k, ok := b.buckets[ws]
	if !ok {
		return 0, false
	}
	b.refill(now, ws, k)
	return k.level, true
}

// Admitted returns the units that this node admitted since its start, by workspace. They
// are sent to the other nodes, which pass them to [Buckets.Receive].
func (b *Buckets) Admitted() map[string]float64 {
	out := make(map[string]float64, len(b.buckets))
	for ws, k := range b.buckets {
		out[ws] = k.admitted
	}
	return out
}

// Levels returns the levels of all buckets. They are sent to nodes that have just
// started, if [Buckets.LevelsReliable] returns true.
func (b *Buckets) Levels(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(b.buckets))
	for ws, k := range b.buckets {
		b.refill(now, ws, k)
		out[ws] = k.level
	}
	return out
}

// LevelsReliable returns true if this node has adopted the levels of another node, or has
// been running long enough to rely on its own.
func (b *Buckets) LevelsReliable(now time.Time) bool { return b.joined || now.Sub(b.start) > joinTime }

// Receive records a message of another node: its boot number, which differs between runs
// of its process, the units that it admitted since its start and, if they are reliable
// there, its levels. This node adopts the levels, which may be nil, if its own are not
// reliable yet. Messages of nodes that are not peers are ignored.
func (b *Buckets) Receive(now time.Time, name string, boot uint64, admitted, levels map[string]float64) {
	p, ok := b.peers[name]
	if !ok {
		return
	}
	for ws, k := range b.buckets {
		b.refill(now, ws, k)
		total, ok := admitted[ws]
		if !ok {
			continue
		}
		delta := total - p.admitted[ws]
		if p.boot != boot {
			// In the first message of a run, everything that the node admitted since its
			// start is new. The exception is the first message of any run at a node that has
			// just started: the levels that it is about to adopt account for that.
			delta = total
			if p.boot == 0 && !b.LevelsReliable(now) {
				delta = 0
			}
		}
		if d := now.Sub(p.heardAt).Seconds(); p.boot == boot && d > 0 {
			p.rate[ws] += smoothing * (max(0, delta)/d - p.rate[ws])
		}
		// The node is assumed to have gone on at its recent rate since it sent the message.
		assumed := min(p.rate[ws], k.limit.Rate) * b.delay.Seconds()
		k.level = min(k.level-delta+p.assumed[ws]-assumed, k.limit.Burst)
		p.admitted[ws], p.assumed[ws] = total, assumed
	}
	p.boot, p.heardAt = boot, now
	if levels != nil && !b.LevelsReliable(now) {
		for ws, l := range levels {
			if k, ok := b.buckets[ws]; ok {
				k.level = min(l, k.limit.Burst) - k.admitted
			}
		}
		b.joined = true
	}
}
