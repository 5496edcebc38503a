package quota

import (
	"math"
	"time"
)

// Times of the protocol.
const (
	silence   = 900 * time.Millisecond // several messages of a node are missing, in a small site
	missed    = 3                      // messages in a row that may be lost
	smoothing = 0.5                    // weight of the newest message in a node's rate of use
	joinTime  = 1500 * time.Millisecond
	halfLife  = 1.0 // seconds, of the memory of what this node admitted
	hotShare  = 0.8 // of the rate
	startPart = 0.5 // of the burst, for a node that does not know what was spent before its start
)

// Terms are a workspace's bound.
type Terms struct {
	Rate  float64 // units a second
	Burst float64 // units
}

// bucket is the fleet's bucket of one workspace, as this node sees it.
type bucket struct {
	terms Terms
	level float64
	at    time.Time
	spent float64 // admitted by this node since its start
	own   float64 // admitted by this node lately, decaying
	ownAt time.Time
}

// peer is another node.
type peer struct {
	boot    uint64
	heard   time.Time
	spent   map[string]float64
	assumed map[string]float64 // taken from the buckets since its last message
	rate    map[string]float64 // units a second that it used lately
}

// Buckets are the buckets of all workspaces. It is not safe for concurrent use.
type Buckets struct {
	start   time.Time
	joined  bool // the levels of another node were taken over
	buckets map[string]*bucket
	peers   map[string]*peer
	silence time.Duration
}

// New returns buckets of a node that starts now.
func New(now time.Time) *Buckets {
	return &Buckets{start: now, buckets: make(map[string]*bucket), peers: make(map[string]*peer), silence: silence}
}

// SetInterval sets the time between two messages of a node.
func (b *Buckets) SetInterval(d time.Duration) { b.silence = max(silence, missed*d) }

// SetTerms replaces the bounds. Workspaces without a rate have no bucket.
func (b *Buckets) SetTerms(now time.Time, terms map[string]Terms) {
	for ws := range b.buckets {
		if t, ok := terms[ws]; !ok || t.Rate <= 0 {
			delete(b.buckets, ws)
		}
	}
	for ws, t := range terms {
		if t.Rate <= 0 {
			continue
		}
		k, ok := b.buckets[ws]
		if !ok {
			k = &bucket{level: startPart * t.Burst, at: now, terms: t}
			b.buckets[ws] = k
		}
		b.refill(now, ws, k)
		k.terms = t
		k.level = min(k.level, t.Burst)
	}
}

// SetPeers replaces the names of the other nodes. A node that is new is assumed to
// have been heard now.
func (b *Buckets) SetPeers(now time.Time, names []string) {
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
		if _, ok := b.peers[n]; !ok {
			b.peers[n] = &peer{heard: now, spent: make(map[string]float64), assumed: make(map[string]float64), rate: make(map[string]float64)}
		}
	}
	for n := range b.peers {
		if !keep[n] {
			delete(b.peers, n)
		}
	}
}

// refill adds what the rate yields since the last time, less what silent nodes are
// assumed to have taken.
func (b *Buckets) refill(now time.Time, ws string, k *bucket) {
	d := now.Sub(k.at).Seconds()
	if d <= 0 {
		return
	}
	k.at = now
	k.level += d * k.terms.Rate
	share := k.terms.Rate / float64(1+len(b.peers))
	for _, p := range b.peers {
		// Between two messages a node is assumed to go on as before.
		use := min(p.rate[ws], k.terms.Rate)
		if now.Sub(p.heard) > b.silence {
			use = share
		}
		k.level -= d * use
		p.assumed[ws] += d * use
	}
	k.level = min(k.level, k.terms.Burst)
}

// Take admits a request of n units. If it can't, it returns the time after which
// the bucket will hold n units if nobody else takes them.
func (b *Buckets) Take(now time.Time, ws string, n float64) (time.Duration, bool) {
	k, ok := b.buckets[ws]
	if !ok {
		return 0, true
	}
	b.refill(now, ws, k)
	// A request larger than the burst is admitted from a full bucket.
	need := min(n, k.terms.Burst)
	if k.level < need {
		return time.Duration((need - k.level) / k.terms.Rate * float64(time.Second)), false
	}
	k.level -= n
	k.spent += n
	k.own = k.own*math.Exp2(-now.Sub(k.ownAt).Seconds()/halfLife) + n
	k.ownAt = now
	return 0, true
}

// Hot says whether the workspace would be near its rate if all nodes admitted as much
// as this one did lately. The other nodes should then hear of it soon.
func (b *Buckets) Hot(ws string) bool {
	k, ok := b.buckets[ws]
	return ok && k.own*math.Ln2/halfLife*float64(1+len(b.peers)) > hotShare*k.terms.Rate
}

// Return gives back the units of a request that did not run.
func (b *Buckets) Return(ws string, n float64) {
	if k, ok := b.buckets[ws]; ok {
		k.level = min(k.level+n, k.terms.Burst)
		k.spent -= n
	}
}

// Level returns what is left in the bucket of a workspace, and whether it has one.
func (b *Buckets) Level(now time.Time, ws string) (float64, bool) {
	k, ok := b.buckets[ws]
	if !ok {
		return 0, false
	}
	b.refill(now, ws, k)
	return k.level, true
}

// Spent returns the counters that are published.
func (b *Buckets) Spent() map[string]float64 {
	out := make(map[string]float64, len(b.buckets))
	for ws, k := range b.buckets {
		out[ws] = k.spent
	}
	return out
}

// Levels returns the levels that are published for nodes that start.
func (b *Buckets) Levels(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(b.buckets))
	for ws, k := range b.buckets {
		b.refill(now, ws, k)
		out[ws] = k.level
	}
	return out
}

// Settled says whether the node's levels rest on more than its own short life.
func (b *Buckets) Settled(now time.Time) bool { return b.joined || now.Sub(b.start) > joinTime }

// Receive takes the counters of another node. Levels are nil unless that node is
// settled; a node that has just started takes them over.
func (b *Buckets) Receive(now time.Time, name string, boot uint64, spent, levels map[string]float64) {
	p, ok := b.peers[name]
	if !ok {
		return
	}
	for ws, k := range b.buckets {
		b.refill(now, ws, k)
		total, ok := spent[ws]
		if !ok {
			continue
		}
		delta := total - p.spent[ws]
		if p.boot != boot {
			// What a node spent before it is heard for the first time in this life is
			// its whole counter, unless this node's level covers that already.
			delta = total
			if p.boot == 0 && !b.Settled(now) {
				delta = 0
			}
		}
		k.level = min(k.level-delta+p.assumed[ws], k.terms.Burst)
		p.spent[ws], p.assumed[ws] = total, 0
		if d := now.Sub(p.heard).Seconds(); p.boot == boot && d > 0 {
			p.rate[ws] += smoothing * (max(0, delta)/d - p.rate[ws])
		}
	}
	p.boot, p.heard = boot, now
	if levels != nil && !b.Settled(now) {
		for ws, l := range levels {
			if k, ok := b.buckets[ws]; ok {
				k.level = min(l, k.terms.Burst) - k.spent
			}
		}
		b.joined = true
	}
}
