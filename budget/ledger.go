package budget

import (
	"cmp"
	"slices"
	"time"

	"mustardvane.org/vane/wire"
)

// Times of shares.
const (
	// ShareTTL is how long a node may use a share after it was last extended. It is
	// also the longest outage of the platform in which nodes can spend.
	ShareTTL = 10 * time.Minute
	// drift is the bound on the difference of clock rates.
	drift = 0.01
	// DefaultCeiling is the part of a budget that a holder may give out without
	// having it recorded in the lease.
	DefaultCeiling = 0.5
	// lendable is the part of its share that a node may lend to peers between two
	// answers of the holder.
	lendable = 0.5
	// ceilingStep is how far a recorded ceiling is ahead of what was given out.
	ceilingStep = 0.2
	// mostPart is the part of the pool that one ask gets at most, so that the first
	// nodes after a take-over leave something for the others.
	mostPart = 0.5
	// minShare is the smallest share worth a transfer.
	minShare = 1e-6
	// rounding is the largest difference between equal sums of shares.
	rounding = 1e-12
)

// lot is what a node holds of a budget, as far as the ledger knows.
type lot struct {
	incarnation uint64
	share       float64
	minted      float64 // given by this ledger and still held, at most
	until       time.Time
	back        uint64 // newest id of a return
}

// residue is a share that a node no longer reports and that may still be in use
// elsewhere.
type residue struct {
	share float64
	ended float64 // part of it that is free once the holder is sure to be the only one
	until time.Time
}

// Ledger is the holder's account of one workspace's budget. The budget is split
// into shares that add up to at most one: a share of s fills at s times the rate
// and holds at most s times the burst. Whoever holds a share may spend what is
// in it without asking. The ledger gives shares out of its pool and never counts
// a share as free while a node may still use it.
type Ledger struct {
	terms    Limits
	pool     *Bucket
	share    float64 // in the pool
	out      float64 // bound on what is given out
	recorded float64 // ceiling that the lease object is known to hold
	lots     map[string]*lot
	residues []residue
	era      time.Time // until then, shares given by holders before may be in use
	frozen   bool      // the lease has ended; another holder may be at work
}

// NewLedger returns the ledger of a budget of which no share is given out.
func NewLedger(now time.Time, t Limits) *Ledger {
	return &Ledger{terms: t, pool: NewBucket(now, t.Rate, t.Burst), share: 1, recorded: DefaultCeiling, lots: make(map[string]*lot)}
}

// NewLedgerAfter returns the ledger of a holder that follows another one, which
// may have given out shares up to the ceiling. Its pool starts empty.
func NewLedgerAfter(now time.Time, t Limits, ceiling float64) *Ledger {
	free := max(0, 1-ceiling)
	return &Ledger{
		terms: t, pool: NewEmptyBucket(now, t.Rate*free, t.Burst*free), share: free, out: ceiling,
		recorded: max(DefaultCeiling, ceiling), lots: make(map[string]*lot), era: now.Add(longer(ShareTTL)),
	}
}

// longer returns d on a clock that may run fast.
func longer(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + drift)) }

// shorter returns d on a clock that may run slow.
func shorter(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - drift)) }

// SetLimits changes rate and burst. Shares stay what they are.
func (l *Ledger) SetLimits(now time.Time, t Limits) {
	if t == l.terms {
		return
	}
	l.terms = t
	l.pool.Set(now, t.Rate*l.share, t.Burst*l.share)
}

// Freeze notes that the lease has ended. Another holder may extend and take back
// what this one gave out, so that from now on nothing counts as free but what is
// given back here.
func (l *Ledger) Freeze() { l.frozen = true }

// Thaw notes that the lease is held again and that nobody else held it meanwhile.
func (l *Ledger) Thaw(now time.Time) {
	l.frozen = false
	for i := range l.residues {
		r := &l.residues[i]
		l.free(now, r.ended, 0)
		r.share, r.ended = r.share-r.ended, 0
	}
}

// Out returns the bound on the shares given out.
func (l *Ledger) Out() float64 { return l.out }

// Pool returns the share in the pool and its tokens.
func (l *Ledger) Pool(now time.Time) (share, tokens float64) { return l.share, l.pool.Level(now) }

// Write returns the ceiling for a write of the lease object. From now on no more
// is given out than the lower of it and the ceiling before, since either may be
// what the object holds.
func (l *Ledger) Write() float64 {
	c := max(DefaultCeiling, min(1, l.out+ceilingStep))
	l.recorded = min(l.recorded, c)
	return c
}

// Short says whether the recorded ceiling keeps the ledger from giving what its
// pool has.
func (l *Ledger) Short() bool { return l.recorded < 1 && l.recorded-l.out < ceilingStep/2 }

// Written notes that the lease object holds the ceiling.
func (l *Ledger) Written(ceiling float64) { l.recorded = max(DefaultCeiling, ceiling) }

// Exchange serves one node's ask.
func (l *Ledger) Exchange(now time.Time, node string, incarnation uint64, a *wire.Ask) *wire.Give {
	if !l.frozen {
		l.expire(now)
	}
	lt := l.lot(now, node, incarnation)
	l.takeBack(now, lt, a)
	g := &wire.Give{Workspace: a.GetWorkspace()}
	l.extend(now, lt, a, g)
	l.give(now, lt, a, g)
	return g
}

// lot returns the node's lot. An earlier life of the node has ended: what this
// ledger gave it is free, but for what it may have lent to peers. What it had from
// another holder stays out until its time ends, since that one may free it too.
func (l *Ledger) lot(now time.Time, node string, incarnation uint64) *lot {
	lt, ok := l.lots[node]
	if ok && incarnation > lt.incarnation {
		l.bury(now, lt)
		ok = false
	}
	if !ok {
		lt = &lot{incarnation: incarnation}
		l.lots[node] = lt
	}
	return lt
}

// bury ends the lot of a life that has ended.
func (l *Ledger) bury(now time.Time, lt *lot) {
	ended := max(0, min(lt.minted, lt.share)-lendable*lt.share)
	if l.frozen {
		l.residues = append(l.residues, residue{share: lt.share, ended: ended, until: lt.until})
		return
	}
	l.residues = append(l.residues, residue{share: lt.share - ended, until: lt.until})
	l.free(now, ended, 0)
}

// free puts a share back into the pool.
func (l *Ledger) free(now time.Time, share, tokens float64) {
	share = min(share, l.out)
	if share <= 0 {
		return
	}
	l.out -= share
	l.share += share
	l.pool.Add(now, share*l.terms.Rate, share*l.terms.Burst, min(tokens, share*l.terms.Burst))
}

// takeBack takes what the node gives back. A repeated message is ignored.
func (l *Ledger) takeBack(now time.Time, lt *lot, a *wire.Ask) {
	if a.GetBackId() <= lt.back || a.GetBack() <= 0 {
		return
	}
	lt.back = a.GetBackId()
	lt.share = max(0, lt.share-a.GetBack())
	lt.minted = max(0, lt.minted-a.GetBack())
	l.free(now, a.GetBack(), a.GetBackTokens())
}

// extend lets the node use for a further life what it reports to hold. The part
// of its lot that it does not report may be in use elsewhere until its time ends.
func (l *Ledger) extend(now time.Time, lt *lot, a *wire.Ask, g *wire.Give) {
	hold := a.GetHold()
	if rest := lt.share - hold; rest > rounding {
		l.residues = append(l.residues, residue{share: rest, until: lt.until})
	}
	lt.share, lt.until = hold, now.Add(longer(ShareTTL))
	lt.minted = min(lt.minted, hold)
	if hold > 0 {
		g.ExtendMs = uint32(shorter(ShareTTL).Milliseconds())
	}
}

// give gives shares and tokens out of the pool. Every share that is given out
// stays below the recorded ceiling.
func (l *Ledger) give(now time.Time, lt *lot, a *wire.Ask, g *wire.Give) {
	share := min(a.GetWant(), l.share*mostPart, l.recorded-l.out)
	if share < minShare {
		share = 0
	}
	tokens := max(0, min(a.GetTokens(), l.pool.Level(now)))
	if share > 0 {
		// The share brings its part of the level along, so that the pool can't
		// overflow.
		tokens = max(tokens, l.pool.Level(now)*share/l.share)
		l.share -= share
		l.out += share
		lt.share += share
		lt.minted += share
		lt.until = now.Add(longer(ShareTTL))
	}
	l.pool.Add(now, -share*l.terms.Rate, -share*l.terms.Burst, -tokens)
	g.Share, g.Tokens = share, tokens
	if share > 0 {
		g.LifeMs = uint32(shorter(ShareTTL).Milliseconds())
	}
}

// expire frees the shares whose time has ended.
func (l *Ledger) expire(now time.Time) {
	for name, lt := range l.lots {
		if lt.share > 0 && now.After(lt.until) {
			delete(l.lots, name)
		}
	}
	l.residues = slices.DeleteFunc(l.residues, func(r residue) bool { return now.After(r.until) })
	if now.Before(l.era) {
		return
	}
	if sum := l.known(); l.out-sum > minShare {
		l.free(now, l.out-sum, 0)
	}
}

// known returns the sum of the shares that the ledger knows of. After the era of
// earlier holders it covers all that may be in use.
func (l *Ledger) known() float64 {
	sum := 0.0
	for _, lt := range l.lots {
		sum += lt.share
	}
	for _, r := range l.residues {
		sum += r.share
	}
	return sum
}

// RecallTarget is a node that is asked to give back a share.
type RecallTarget struct {
	Node  string
	Share float64
}

// Recall returns the nodes to ask for a share that the pool does not have, those
// with the most first. The asking node is left out.
func (l *Ledger) Recall(want float64, asker string) []RecallTarget {
	const most = 3
	need := want - l.share
	if need <= minShare {
		return nil
	}
	var out []RecallTarget
	for name, lt := range l.lots {
		if name != asker && lt.share > minShare {
			out = append(out, RecallTarget{Node: name, Share: min(need, lt.share)})
		}
	}
	slices.SortFunc(out, func(a, b RecallTarget) int {
		if c := cmp.Compare(b.Share, a.Share); c != 0 {
			return c
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return out[:min(most, len(out))]
}
