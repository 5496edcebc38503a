package quota

import (
	"container/list"
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
	lateStep          = 50 * time.Millisecond   // time between two estimates of what late nodes admitted
	ownerShare        = 0.75                    // fraction of the units that nodes are not expected to admit by themselves that is left to the owner
	minGrants         = 4                       // number of recent admissions from which on their rate is taken for that of the other nodes too
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
	lateAt     time.Time   // time up to which the units of late nodes have been taken
	peerRate   float64     // sum of the rates of all other nodes, none above the limit's
	admitted   float64     // units that this node admitted since its start
	recent     recentUnits // units that this node admitted
	grants     []grant     // admissions that other nodes may not know of yet, oldest first
	unreported float64     // units of the grants
	known      recentUnits // units that this node admitted and the others know of
	fraction   float64     // fraction of the next request that the allowance must cover
}

// peer is the state of another node.
type peer struct {
	boot    uint64          // identifies the run of the node's process; zero until the first message
	heardAt time.Time       // time of the last message, or at which the node became a peer
	counted bool            // the levels of this node account for what the other admitted before its first message
	use     map[string]*use // by workspace
	entry   *list.Element   // entry in Buckets.byHeard
}

// use is what another node admitted for a workspace.
type use struct {
	admitted float64 // units that it had admitted by its last message
	assumed  float64 // units taken from the bucket that its messages have not reported yet
	rate     float64 // average units per second that it admitted recently
}

// of returns the node's use of a workspace.
func (p *peer) of(ws string) *use {
	u, ok := p.use[ws]
	if !ok {
		u = &use{}
		p.use[ws] = u
	}
	return u
}

// rate returns the node's recent rate for a workspace, at most limit.
func (p *peer) rate(ws string, limit float64) float64 {
	if u, ok := p.use[ws]; ok {
		return min(u.rate, limit)
	}
	return 0
}

// Buckets holds the buckets of all workspaces. It is not safe for concurrent use.
type Buckets struct {
	start          time.Time
	joined         bool // the levels of another node were adopted
	buckets        map[string]*bucket
	peers          map[string]*peer
	byHeard        *list.List    // all peers, in the order of the times of their last messages
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
		start: now, buckets: make(map[string]*bucket), peers: make(map[string]*peer), byHeard: list.New(),
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
			k = &bucket{level: initialBurstShare * t.Burst, refilledAt: now, lateAt: now, limit: t, fraction: b.rnd.Float64()}
			b.buckets[ws] = k
		}
		b.refill(now, ws, k)
		k.limit = t
		k.level = min(k.level, t.Burst)
		b.sumRates(ws, k)
	}
}

// sumRates computes the sum of the rates of the other nodes anew.
func (b *Buckets) sumRates(ws string, k *bucket) {
	k.peerRate = 0
	for _, p := range b.peers {
		k.peerRate += p.rate(ws, k.limit.Rate)
	}
}

// SetPeers replaces the names of the other nodes. A new node counts as silent if its
// first message does not arrive within the silence time-out from now.
func (b *Buckets) SetPeers(now time.Time, names []string) {
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
		if _, ok := b.peers[n]; !ok {
			p := &peer{heardAt: now, use: make(map[string]*use)}
			p.entry = b.byHeard.PushBack(p)
			b.peers[n] = p
		}
	}
	for n, p := range b.peers {
		if !keep[n] {
			delete(b.peers, n)
			b.byHeard.Remove(p.entry)
		}
	}
	for ws, k := range b.buckets {
		b.sumRates(ws, k)
	}
}

// silentLongest calls f for the nodes whose last message is at least d old, the longest
// silent first.
func (b *Buckets) silentLongest(now time.Time, d time.Duration, f func(p *peer)) {
	for e := b.byHeard.Front(); e != nil; e = e.Next() {
		p := e.Value.(*peer)
		if now.Sub(p.heardAt) <= d {
			return
		}
		f(p)
	}
}

// refill adds the units that the rate yields since the last refill, less what nodes whose
// messages are late are assumed to have admitted meanwhile.
func (b *Buckets) refill(now time.Time, ws string, k *bucket) {
	d := now.Sub(k.refilledAt).Seconds()
	if d <= 0 {
		return
	}
	k.refilledAt = now
	k.level += d * k.limit.Rate
	if from := k.lateAt; now.Sub(from) >= lateStep {
		k.lateAt = now
		share := k.limit.Rate / float64(1+len(b.peers))
		// A node whose message is late is assumed to go on at its recent rate, or at its
		// equal share if it is silent.
		b.silentLongest(now, b.delay, func(p *peer) {
			late := now.Sub(p.heardAt) - b.delay
			units := p.rate(ws, k.limit.Rate)
			if late+b.delay > b.silenceTimeout {
				units = share
			}
			units *= min(now.Sub(from), late).Seconds()
			k.level -= units
			p.of(ws).assumed += units
		})
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
	need := k.need(n)
	if len(b.peers) > 0 {
		// One node's allowance may be less than a request. The request is then admitted from
		// a random fraction of it on, so that the nodes together admit their allowances.
		need *= k.fraction
	}
	return b.take(now, ws, k, n, need, func() (float64, float64) { return b.allowance(now, ws, k, 1) })
}

// TakeOwnPart is like Take for a workspace that has an owner. It admits only what suffices
// for the whole request within this node's part of what is not left to the owner.
func (b *Buckets) TakeOwnPart(now time.Time, ws string, n float64) (time.Duration, bool) {
	k, ok := b.buckets[ws]
	if !ok {
		return 0, true
	}
	return b.take(now, ws, k, n, k.need(n), func() (float64, float64) { return b.allowance(now, ws, k, 1-ownerShare) })
}

// TakeAsOwner is like Take on the workspace's owner, for a request of any node.
func (b *Buckets) TakeAsOwner(now time.Time, ws string, n float64) (time.Duration, bool) {
	k, ok := b.buckets[ws]
	if !ok {
		return 0, true
	}
	return b.take(now, ws, k, n, k.need(n), func() (float64, float64) { return k.ownerAllowance() })
}

// need returns the units that a request of n units needs. A request larger than the burst
// is admitted from a full bucket, whose level then becomes negative.
func (k *bucket) need(n float64) float64 { return min(n, k.limit.Burst) }

// take admits a request of n units if the allowance covers need. allowance returns the
// units that may be admitted and the rate at which they grow.
func (b *Buckets) take(now time.Time, ws string, k *bucket, n, need float64, allowance func() (units, growth float64)) (time.Duration, bool) {
	b.refill(now, ws, k)
	k.expire(now, b.delay)
	units, growth := allowance()
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

// NearLimit returns true if the nodes together admit nearly as much as the workspace's
// rate, or would if all of them admitted as much as this one did recently. The other nodes
// should then get the counters soon.
func (b *Buckets) NearLimit(now time.Time, ws string) bool {
	k, ok := b.buckets[ws]
	if !ok {
		return false
	}
	total := k.known.rate(now) + k.peerRate
	if len(k.grants) >= minGrants {
		total = max(total, k.recent.rate(now)*float64(1+len(b.peers)))
	}
	return total > nearLimitShare*k.limit.Rate
}

// Refund returns the units of an admitted request that did not run.
func (b *Buckets) Refund(ws string, n float64) {
	if k, ok := b.buckets[ws]; ok {
		k.level = min(k.level+n, k.limit.Burst)
		k.admitted -= n
	}
}

// Limits reports whether a workspace has a limit.
func (b *Buckets) Limits(ws string) bool {
	_, ok := b.buckets[ws]
	return ok
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
	for ws, total := range admitted {
		k, ok := b.buckets[ws]
		if !ok {
			continue
		}
		b.refill(now, ws, k)
		u := p.of(ws)
		delta := total - u.admitted
		if p.boot != boot {
			delta = p.unheard(now, k.limit, total)
			if p.boot == 0 && (p.counted || !b.LevelsReliable(now)) {
				delta = 0
			}
		}
		if d := now.Sub(p.heardAt).Seconds(); p.boot == boot && d > 0 {
			k.peerRate -= min(u.rate, k.limit.Rate)
			u.rate += smoothing * (max(0, delta)/d - u.rate)
			k.peerRate = max(0, k.peerRate+min(u.rate, k.limit.Rate))
		}
		// The node is assumed to have gone on at its recent rate since it sent the message.
		assumed := min(u.rate, k.limit.Rate) * b.delay.Seconds()
		k.level = min(k.level-delta+u.assumed-assumed, k.limit.Burst)
		u.admitted, u.assumed = total, assumed
	}
	p.boot, p.heardAt = boot, now
	b.byHeard.MoveToBack(p.entry)
	if levels != nil && !b.LevelsReliable(now) {
		for ws, l := range levels {
			if k, ok := b.buckets[ws]; ok {
				k.level = min(l, k.limit.Burst) - k.admitted
			}
		}
		b.joined = true
		for _, p := range b.peers {
			p.counted = true
		}
	}
}

// unheard returns how many of the units that a run of the node admitted in total are new to
// this node, which gets the first message of the run. The run may be old, if the node was
// not a peer or not heard meanwhile, so that the time since then bounds the units.
func (p *peer) unheard(now time.Time, limit Limit, total float64) float64 {
	return min(total, limit.Burst+limit.Rate*(now.Sub(p.heardAt)+joinTime).Seconds())
}
