package budget

import (
	"cmp"
	"slices"
	"time"

	"mustardvane.org/vane/wire"
)

// Parameters of shares.
const (
	// ShareTTL is how long a node may use a share after its last extension. It is
	// also the longest platform outage during which nodes can admit requests.
	ShareTTL = 10 * time.Minute
	// maxClockDrift bounds the relative difference between clock rates.
	maxClockDrift = 0.01
	// DefaultCeiling is the fraction of a budget that a holder may give out
	// without a ceiling in the lease record.
	DefaultCeiling = 0.5
	// lendableFraction is the part of its share that a node may lend to peers
	// between two answers of the holder.
	lendableFraction = 0.5
	// ceilingMargin is how far a recorded ceiling is above the share given out.
	ceilingMargin = 0.2
	// maxPoolFraction is the largest part of the pool that one ask receives, so
	// that the first nodes after a takeover leave some for the others.
	maxPoolFraction = 0.5
	// minTransfer is the smallest share worth transferring.
	minTransfer = 1e-6
	// roundingError is the largest difference between sums of shares that count
	// as equal.
	roundingError = 1e-12
)

// nodeShare is the share that a node holds, as far as the ledger knows.
type nodeShare struct {
	incarnation  uint64
	share        float64
	given        float64 // upper bound on the part that this ledger gave out
	expiresAt    time.Time
	lastReturnID uint64 // identifier of the newest return that was applied
}

// unreportedShare is a share that its node no longer reports and that may still be
// in use elsewhere, for example because it was lent to a peer.
type unreportedShare struct {
	share     float64
	freeable  float64 // part that becomes free once the lease is known to have had no other holder
	expiresAt time.Time
}

// Ledger is the holder's record of one workspace's budget. The budget is split into
// shares with a sum of at most one: a share s fills at s times the rate and holds at
// most s times the burst. A node may spend the tokens in its share without asking.
// The ledger gives out shares from its pool and never counts a share as free while a
// node may still use it. It is not safe for concurrent use.
type Ledger struct {
	limits             Limits
	pool               *Bucket
	poolShare          float64 // share in the pool
	granted            float64 // upper bound on the share given out
	recordedCeiling    float64 // ceiling that the lease object is known to contain
	nodes              map[string]*nodeShare
	unreported         []unreportedShare
	earlierSharesUntil time.Time // until then, shares from earlier holders may be in use
	frozen             bool      // the lease has ended; another holder may be active
}

// NewLedger returns the ledger of a budget of which nothing has been given out.
func NewLedger(now time.Time, limits Limits) *Ledger {
	return &Ledger{limits: limits, pool: NewBucket(now, limits.Rate, limits.Burst), poolShare: 1, recordedCeiling: DefaultCeiling, nodes: make(map[string]*nodeShare)}
}

// NewSuccessorLedger returns the ledger of a holder that follows another one, which
// may have given out shares up to the ceiling. Its pool starts without tokens.
func NewSuccessorLedger(now time.Time, limits Limits, ceiling float64) *Ledger {
	free := max(0, 1-ceiling)
	return &Ledger{
		limits: limits, pool: NewEmptyBucket(now, limits.Rate*free, limits.Burst*free), poolShare: free, granted: ceiling,
		recordedCeiling: max(DefaultCeiling, ceiling), nodes: make(map[string]*nodeShare), earlierSharesUntil: now.Add(lengthenForDrift(ShareTTL)),
	}
}

// lengthenForDrift returns a duration that lasts at least d even on a fast clock.
func lengthenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift))
}

// shortenForDrift returns a duration that lasts at most d even on a slow clock.
func shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}

// SetLimits changes the rate and burst of the whole budget. The shares are unchanged.
func (l *Ledger) SetLimits(now time.Time, limits Limits) {
	if limits == l.limits {
		return
	}
	l.limits = limits
	l.pool.Set(now, limits.Rate*l.poolShare, limits.Burst*l.poolShare)
}

// Freeze records that the lease has ended. Another holder may now extend or reclaim
// the shares that this ledger gave out, so that only shares returned to this ledger
// count as free.
func (l *Ledger) Freeze() { l.frozen = true }

// Unfreeze records that the lease is held again and that no other node held it in
// between.
func (l *Ledger) Unfreeze(now time.Time) {
	l.frozen = false
	for i := range l.unreported {
		r := &l.unreported[i]
		l.addToPool(now, r.freeable, 0)
		r.share, r.freeable = r.share-r.freeable, 0
	}
}

// Granted returns the upper bound on the share given out.
func (l *Ledger) Granted() float64 { return l.granted }

// Pool returns the share and the tokens in the pool.
func (l *Ledger) Pool(now time.Time) (share, tokens float64) { return l.poolShare, l.pool.Level(now) }

// NextCeiling returns the ceiling to write into the lease object. Until
// CeilingWritten is called, the ledger observes the lower of it and the previous
// ceiling, since the object may contain either.
func (l *Ledger) NextCeiling() float64 {
	c := max(DefaultCeiling, min(1, l.granted+ceilingMargin))
	l.recordedCeiling = min(l.recordedCeiling, c)
	return c
}

// CeilingTooLow reports whether the recorded ceiling will soon keep the ledger
// from giving out more, so that a higher one should be written.
func (l *Ledger) CeilingTooLow() bool {
	return l.recordedCeiling < 1 && l.recordedCeiling-l.granted < ceilingMargin/2
}

// CeilingWritten records that the lease object contains the ceiling.
func (l *Ledger) CeilingWritten(ceiling float64) { l.recordedCeiling = max(DefaultCeiling, ceiling) }

// Exchange answers the ask of one node.
func (l *Ledger) Exchange(now time.Time, node string, incarnation uint64, a *wire.Ask) *wire.Give {
	if !l.frozen {
		l.expire(now)
	}
	ns := l.nodeShare(now, node, incarnation)
	l.applyReturn(now, ns, a)
	g := &wire.Give{Workspace: a.GetWorkspace()}
	l.extend(now, ns, a, g)
	l.give(now, ns, a, g)
	return g
}

// nodeShare returns the entry of a node. A new incarnation means that the earlier one
// has ended: the share that this ledger gave to it is free, except for the part that
// it may have lent to peers. A share from another holder counts as given out until it
// expires, since that holder may reclaim it too.
func (l *Ledger) nodeShare(now time.Time, node string, incarnation uint64) *nodeShare {
	ns, ok := l.nodes[node]
	if ok && incarnation > ns.incarnation {
		l.endIncarnation(now, ns)
		ok = false
	}
	if !ok {
		ns = &nodeShare{incarnation: incarnation}
		l.nodes[node] = ns
	}
	return ns
}

// endIncarnation closes the entry of an incarnation that has ended.
func (l *Ledger) endIncarnation(now time.Time, ns *nodeShare) {
	ended := max(0, min(ns.given, ns.share)-lendableFraction*ns.share)
	if l.frozen {
		l.unreported = append(l.unreported, unreportedShare{share: ns.share, freeable: ended, expiresAt: ns.expiresAt})
		return
	}
	l.unreported = append(l.unreported, unreportedShare{share: ns.share - ended, expiresAt: ns.expiresAt})
	l.addToPool(now, ended, 0)
}

// addToPool puts a share and its tokens back into the pool.
func (l *Ledger) addToPool(now time.Time, share, tokens float64) {
	share = min(share, l.granted)
	if share <= 0 {
		return
	}
	l.granted -= share
	l.poolShare += share
	l.pool.Add(now, share*l.limits.Rate, share*l.limits.Burst, min(tokens, share*l.limits.Burst))
}

// applyReturn applies the share that the node returns. A repeated return is ignored.
func (l *Ledger) applyReturn(now time.Time, ns *nodeShare, a *wire.Ask) {
	if a.GetBackId() <= ns.lastReturnID || a.GetBack() <= 0 {
		return
	}
	ns.lastReturnID = a.GetBackId()
	ns.share = max(0, ns.share-a.GetBack())
	ns.given = max(0, ns.given-a.GetBack())
	l.addToPool(now, a.GetBack(), a.GetBackTokens())
}

// extend starts a new lifetime for the share that the node reports. The rest of its
// entry may be in use elsewhere until it expires.
func (l *Ledger) extend(now time.Time, ns *nodeShare, a *wire.Ask, g *wire.Give) {
	hold := a.GetHold()
	if rest := ns.share - hold; rest > roundingError {
		l.unreported = append(l.unreported, unreportedShare{share: rest, expiresAt: ns.expiresAt})
	}
	ns.share, ns.expiresAt = hold, now.Add(lengthenForDrift(ShareTTL))
	ns.given = min(ns.given, hold)
	if hold > 0 {
		g.ExtendMs = uint32(shortenForDrift(ShareTTL).Milliseconds())
	}
}

// give gives out a share and tokens from the pool, within the recorded ceiling.
func (l *Ledger) give(now time.Time, ns *nodeShare, a *wire.Ask, g *wire.Give) {
	share := min(a.GetWant(), l.poolShare*maxPoolFraction, l.recordedCeiling-l.granted)
	if share < minTransfer {
		share = 0
	}
	tokens := max(0, min(a.GetTokens(), l.pool.Level(now)))
	if share > 0 {
		// The share takes its proportion of the tokens along, so that the pool can't
		// overflow.
		tokens = max(tokens, l.pool.Level(now)*share/l.poolShare)
		l.poolShare -= share
		l.granted += share
		ns.share += share
		ns.given += share
		ns.expiresAt = now.Add(lengthenForDrift(ShareTTL))
	}
	l.pool.Add(now, -share*l.limits.Rate, -share*l.limits.Burst, -tokens)
	g.Share, g.Tokens = share, tokens
	if share > 0 {
		g.LifeMs = uint32(shortenForDrift(ShareTTL).Milliseconds())
	}
}

// expire returns the shares whose lifetime has ended to the pool. While shares from
// earlier holders may be in use, it only removes the expired entries.
func (l *Ledger) expire(now time.Time) {
	for name, ns := range l.nodes {
		if ns.share > 0 && now.After(ns.expiresAt) {
			delete(l.nodes, name)
		}
	}
	l.unreported = slices.DeleteFunc(l.unreported, func(r unreportedShare) bool { return now.After(r.expiresAt) })
	if now.Before(l.earlierSharesUntil) {
		return
	}
	if sum := l.knownSum(); l.granted-sum > minTransfer {
		l.addToPool(now, l.granted-sum, 0)
	}
}

// knownSum returns the sum of the shares that the ledger knows of. Once the shares from
// earlier holders have expired, it covers all that may be in use.
func (l *Ledger) knownSum() float64 {
	sum := 0.0
	for _, ns := range l.nodes {
		sum += ns.share
	}
	for _, r := range l.unreported {
		sum += r.share
	}
	return sum
}

// RecallTarget is a node that is asked to return a share.
type RecallTarget struct {
	Node  string
	Share float64
}

// Recall returns the nodes to ask for a wanted share that the pool does not have,
// at most three, those with the largest shares first. The asking node is left out.
func (l *Ledger) Recall(want float64, asker string) []RecallTarget {
	const maxTargets = 3
	need := want - l.poolShare
	if need <= minTransfer {
		return nil
	}
	var out []RecallTarget
	for name, ns := range l.nodes {
		if name != asker && ns.share > minTransfer {
			out = append(out, RecallTarget{Node: name, Share: min(need, ns.share)})
		}
	}
	slices.SortFunc(out, func(a, b RecallTarget) int {
		if c := cmp.Compare(b.Share, a.Share); c != 0 {
			return c
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return out[:min(maxTargets, len(out))]
}
