package budget

import (
	"math"
	"time"

	"mustardvane.org/vane/wire"
)

// Shape of a node's demand.
const (
	demandTime  = 5 * time.Second  // over which demand is averaged
	largestTime = 60 * time.Second // over which the largest request is remembered
	spare       = 1.5              // share wanted for each share in use
	idleFactor  = 2.0              // holding more than this times the need is too much
	extendAt    = ShareTTL / 2     // remaining life at which a share is extended
)

// Account is a node's holding of one workspace's budget: a share, the tokens in
// it, and an estimate of what the node needs. It is not safe for concurrent use.
type Account struct {
	terms  Limits
	share  float64
	bucket *Bucket
	until  time.Time // end of the share's life
	floor  float64   // share held also without demand
	lend   float64   // share that may be lent before the holder answers again

	demand    float64 // tokens a second, averaged
	demandAt  time.Time
	largest   float64 // tokens of the largest recent request
	largestAt time.Time

	backID     uint64
	back       float64 // on its way to the holder
	backTokens float64
	backUntil  time.Time // end of its life; the holder frees it then by itself
	fence      uint64    // of the holder it is on its way to
	recall     float64
	mixed      bool // a peer's share came in since the newest ask
}

// NewAccount returns an account that holds nothing.
func NewAccount(now time.Time, t Limits) *Account {
	return &Account{terms: t, bucket: NewEmptyBucket(now, 0, 0), demandAt: now, largestAt: now}
}

// Share returns the share held.
func (a *Account) Share() float64 { return a.share }

// Level returns the tokens that could be taken now.
func (a *Account) Level(now time.Time) float64 {
	a.expire(now)
	return a.bucket.Level(now)
}

// SetLimits changes rate and burst. The share stays what it is.
func (a *Account) SetLimits(now time.Time, t Limits) {
	if t == a.terms {
		return
	}
	a.terms = t
	a.bucket.Set(now, t.Rate*a.share, t.Burst*a.share)
}

// expire drops a share whose life has ended.
func (a *Account) expire(now time.Time) {
	if a.share > 0 && !now.Before(a.until) {
		a.drop(now)
	}
}

// drop ends the use of the share.
func (a *Account) drop(now time.Time) {
	a.share, a.lend = 0, 0
	a.bucket.Set(now, 0, 0)
}

// RecordDemand notes that a request asks for n tokens, whether it gets them or not.
func (a *Account) RecordDemand(now time.Time, n float64) {
	a.decay(now)
	a.demand += n / demandTime.Seconds()
	if n > a.largest || now.Sub(a.largestAt) > largestTime {
		a.largest, a.largestAt = n, now
	}
}

// decay ages the estimate of demand.
func (a *Account) decay(now time.Time) {
	if d := now.Sub(a.demandAt); d > 0 {
		a.demand *= math.Exp(-float64(d) / float64(demandTime))
		a.demandAt = now
	}
}

// Take takes n tokens if they are there.
func (a *Account) Take(now time.Time, n float64) (TakeID, bool) {
	a.expire(now)
	return a.bucket.Take(now, n)
}

// Settle ends a reservation of n tokens of which used were spent.
func (a *Account) Settle(now time.Time, m TakeID, n, used float64) {
	a.expire(now)
	if used > n {
		a.bucket.ForceTake(now, used-n)
		return
	}
	a.bucket.Refund(now, m, n-used)
}

// Wait returns how long n tokens take to come without help, and false if they
// never will.
func (a *Account) Wait(now time.Time, n float64) (time.Duration, bool) {
	a.expire(now)
	return a.bucket.Wait(now, n)
}

// SetMinShare sets the share that the node holds also without demand, so that it can
// serve while no holder answers.
func (a *Account) SetMinShare(f float64) { a.floor = f }

// need returns the share that the node's recent demand takes, without spare.
func (a *Account) need(now time.Time) float64 {
	a.decay(now)
	largest := a.largest
	if now.Sub(a.largestAt) > largestTime {
		largest = 0
	}
	return min(1, max(a.demand/a.terms.Rate, largest/a.terms.Burst))
}

// BuildAsk returns the node's ask to the holder: what it wants for a waiting request
// of n tokens (zero if none waits), what it holds and what it gives back.
func (a *Account) BuildAsk(now time.Time, ws string, n float64, fence uint64) *wire.Ask {
	a.expire(now)
	a.giveBack(now, fence)
	a.mixed = false
	ask := &wire.Ask{Workspace: ws, Hold: a.share, HoldMs: remaining(now, a.until)}
	if a.share == 0 {
		ask.HoldMs = 0
	}
	if a.back > 0 {
		ask.Back, ask.BackTokens, ask.BackId = a.back, a.backTokens, a.backID
	}
	target := a.floor
	if n > 0 {
		target = min(1, max(target, spare*a.need(now), n/a.terms.Burst))
		ask.Tokens = max(0, n-a.bucket.Level(now))
	}
	if a.back == 0 {
		ask.Want = max(0, target-a.share)
	}
	return ask
}

// remaining returns the milliseconds until t.
func remaining(now, t time.Time) uint32 {
	return uint32(max(0, t.Sub(now).Milliseconds()))
}

// giveBack takes what the node does not need out of its holding. What is on its
// way already stays so until the holder has answered or its life has ended; a new
// holder knows nothing of it, so that it is lost until then.
func (a *Account) giveBack(now time.Time, fence uint64) {
	if a.back > 0 && a.fence == fence && now.Before(a.backUntil) {
		return
	}
	a.back, a.backTokens, a.fence = 0, 0, fence
	extra := a.Surplus(now)
	if extra <= 0 || fence == 0 {
		return
	}
	a.back, a.backUntil = extra, a.until
	a.backTokens = a.remove(now, extra)
	a.backID++
}

// Surplus returns the share that the node can do without.
func (a *Account) Surplus(now time.Time) float64 {
	need := max(a.floor, a.need(now))
	if a.recall > 0 {
		return min(a.recall, max(0, a.share-need))
	}
	if a.share <= idleFactor*need || a.share < minShare {
		return 0
	}
	return a.share - spare*need
}

// Recall notes that the holder wants a share back.
func (a *Account) Recall(share float64) { a.recall = max(a.recall, share) }

// remove takes a share with its part of the tokens out of the holding and
// returns the tokens.
func (a *Account) remove(now time.Time, share float64) float64 {
	tokens := max(0, a.bucket.Level(now)) * share / a.share
	a.bucket.Add(now, -share*a.terms.Rate, -share*a.terms.Burst, -tokens)
	a.share -= share
	a.lend = min(a.lend, lendable*a.share)
	if a.share < minShare {
		a.drop(now)
	}
	return tokens
}

// ApplyGive takes the holder's answer to an ask that was sent at the given time.
func (a *Account) ApplyGive(now, sent time.Time, g *wire.Give) {
	a.back, a.backTokens, a.recall = 0, 0, 0
	if ms := g.GetExtendMs(); ms > 0 && a.share > 0 && !a.mixed {
		a.until = later(a.until, sent.Add(time.Duration(ms)*time.Millisecond))
	}
	a.receive(now, sent, g)
	a.lend = lendable * a.share
}

// later returns the later time.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Borrow takes a share that a peer lent on an ask that was sent at the given
// time. The holder does not know that it is here, so that it must not count as
// extended by an answer to an earlier ask.
func (a *Account) Borrow(now, sent time.Time, g *wire.Give) {
	a.mixed = a.mixed || g.GetShare() > 0
	a.receive(now, sent, g)
}

// receive takes a share. Its life counts from when it was asked for.
func (a *Account) receive(now, sent time.Time, g *wire.Give) {
	if g.GetShare() <= 0 {
		a.bucket.Add(now, 0, 0, g.GetTokens())
		return
	}
	until := sent.Add(time.Duration(g.GetLifeMs()) * time.Millisecond)
	if a.share == 0 || until.Before(a.until) {
		a.until = until
	}
	a.share += g.GetShare()
	a.bucket.Add(now, g.GetShare()*a.terms.Rate, g.GetShare()*a.terms.Burst, g.GetTokens())
}

// Lend gives a peer a part of what the node can spare, for the case that no
// holder answers.
func (a *Account) Lend(now time.Time, ask *wire.Ask) *wire.Give {
	a.expire(now)
	g := &wire.Give{Workspace: ask.GetWorkspace()}
	share := min(ask.GetWant(), a.lend, a.share-a.need(now)/2)
	if share < minShare {
		return g
	}
	g.LifeMs = remaining(now, a.until)
	g.Share = share
	a.lend -= share
	g.Tokens = a.remove(now, share)
	return g
}

// NeedsExchange says whether the share should be extended soon or is below its floor.
func (a *Account) NeedsExchange(now time.Time) bool {
	a.expire(now)
	return (a.share > 0 && a.until.Sub(now) < extendAt) || a.floor-a.share > minShare
}

// ReturnAll takes everything out of the holding, for a node that stops.
func (a *Account) ReturnAll(now time.Time, ws string, fence uint64) *wire.Ask {
	a.expire(now)
	ask := &wire.Ask{Workspace: ws}
	if a.share == 0 || fence == 0 {
		return nil
	}
	a.backID++
	ask.BackId, ask.Back = a.backID, a.share
	ask.BackTokens = a.remove(now, a.share)
	return ask
}

// Idle says whether the account holds nothing and is not needed.
func (a *Account) Idle(now time.Time) bool {
	return a.share == 0 && a.back == 0 && a.floor == 0 && a.need(now) < minShare
}
