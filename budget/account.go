package budget

import (
	"math"
	"time"

	"mustardvane.org/vane/wire"
)

// Parameters of the demand estimate and of the exchange with the shard holder.
const (
	demandWindow         = 5 * time.Second  // averaging window of the token demand
	largestRequestWindow = 60 * time.Second // how long the largest request is remembered
	headroomFactor       = 1.5              // share wanted, as a multiple of the required share
	surplusFactor        = 2.0              // a share above this multiple of the required share is surplus
	extendThreshold      = ShareTTL / 2     // remaining lifetime below which an extension is requested
)

// Account is one node's part of one workspace's budget: the share that the node
// holds, the tokens that have accrued in it, and an estimate of the node's demand.
// A share is a fraction of the budget from 0 to 1. Account is not safe for
// concurrent use.
type Account struct {
	limits    Limits
	share     float64
	bucket    *Bucket
	expiresAt time.Time // when the share expires unless it is extended
	minShare  float64   // share that is kept even without demand
	lendable  float64   // share that may still be lent to peers before the next answer of the holder

	demand           float64 // exponentially averaged, in tokens per second
	demandAt         time.Time
	largestRequest   float64 // in tokens, within largestRequestWindow
	largestRequestAt time.Time

	returnID         uint64    // identifies the latest return, so that the holder applies it once
	returning        float64   // share that was sent back and is not yet confirmed; zero if none
	returningTokens  float64   // tokens that are returned with that share
	returnExpiresAt  time.Time // when the returned share expires; the holder reclaims it then on its own
	returnFence      uint64    // fencing number of the holder that the return is addressed to
	recalled         float64   // share that the holder asked for in a recall; zero if none
	borrowedSinceAsk bool      // a share was borrowed from a peer after the latest ask was built
}

// NewAccount returns an account without a share.
func NewAccount(now time.Time, limits Limits) *Account {
	return &Account{limits: limits, bucket: NewEmptyBucket(now, 0, 0), demandAt: now, largestRequestAt: now}
}

// Share returns the share that the node holds, without checking whether it has
// expired.
func (a *Account) Share() float64 { return a.share }

// Level returns the tokens that are available at the given time.
func (a *Account) Level(now time.Time) float64 {
	a.expire(now)
	return a.bucket.Level(now)
}

// SetLimits changes the rate and burst of the whole budget. The share is unchanged.
func (a *Account) SetLimits(now time.Time, limits Limits) {
	if limits == a.limits {
		return
	}
	a.limits = limits
	a.bucket.Set(now, limits.Rate*a.share, limits.Burst*a.share)
}

// expire drops the share if its lifetime has ended.
func (a *Account) expire(now time.Time) {
	if a.share > 0 && !now.Before(a.expiresAt) {
		a.drop(now)
	}
}

// drop sets the share and its bucket to zero.
func (a *Account) drop(now time.Time) {
	a.share, a.lendable = 0, 0
	a.bucket.Set(now, 0, 0)
}

// RecordDemand records a request for n tokens in the demand estimate, whether or
// not it is admitted.
func (a *Account) RecordDemand(now time.Time, n float64) {
	a.decay(now)
	a.demand += n / demandWindow.Seconds()
	if n > a.largestRequest || now.Sub(a.largestRequestAt) > largestRequestWindow {
		a.largestRequest, a.largestRequestAt = n, now
	}
}

// decay ages the demand estimate to the given time.
func (a *Account) decay(now time.Time) {
	if d := now.Sub(a.demandAt); d > 0 {
		a.demand *= math.Exp(-float64(d) / float64(demandWindow))
		a.demandAt = now
	}
}

// Take reserves n tokens if they are available. The returned identifier is needed
// to settle the reservation.
func (a *Account) Take(now time.Time, n float64) (TakeID, bool) {
	a.expire(now)
	return a.bucket.Take(now, n)
}

// Settle ends a reservation of n tokens of which used were consumed. The rest is
// refunded; consumption above n is charged and may make the level negative.
func (a *Account) Settle(now time.Time, id TakeID, n, used float64) {
	a.expire(now)
	if used > n {
		a.bucket.ForceTake(now, used-n)
		return
	}
	a.bucket.Refund(now, id, n-used)
}

// Wait returns the time until n tokens have accrued in the present share. It
// returns false if they never will.
func (a *Account) Wait(now time.Time, n float64) (time.Duration, bool) {
	a.expire(now)
	return a.bucket.Wait(now, n)
}

// SetMinShare sets the share that the node keeps even without demand, so that it
// can serve requests while no holder answers.
func (a *Account) SetMinShare(f float64) { a.minShare = f }

// requiredShare returns the share that covers the recent demand, without headroom.
func (a *Account) requiredShare(now time.Time) float64 {
	a.decay(now)
	largest := a.largestRequest
	if now.Sub(a.largestRequestAt) > largestRequestWindow {
		largest = 0
	}
	return min(1, max(a.demand/a.limits.Rate, largest/a.limits.Burst))
}

// BuildAsk returns the ask for the holder: the share and tokens wanted, the share
// held, and the share returned. n is the number of tokens that waiting requests
// need, zero if none wait. fence is the fencing number of the holder that the ask is
// sent to. If it is zero, the holder is not known and no share is returned.
func (a *Account) BuildAsk(now time.Time, ws string, n float64, fence uint64) *wire.Ask {
	a.expire(now)
	a.returnSurplus(now, fence)
	a.borrowedSinceAsk = false
	ask := &wire.Ask{Workspace: ws, Hold: a.share, HoldMs: remainingMs(now, a.expiresAt)}
	if a.share == 0 {
		ask.HoldMs = 0
	}
	if a.returning > 0 {
		ask.Back, ask.BackTokens, ask.BackId = a.returning, a.returningTokens, a.returnID
	}
	target := a.minShare
	if n > 0 {
		target = min(1, max(target, headroomFactor*a.requiredShare(now), n/a.limits.Burst))
		ask.Tokens = max(0, n-a.bucket.Level(now))
	}
	if a.returning == 0 {
		ask.Want = max(0, target-a.share)
	}
	return ask
}

// remainingMs returns the milliseconds from now until t, or zero if t has passed.
func remainingMs(now, t time.Time) uint32 {
	return uint32(max(0, t.Sub(now).Milliseconds()))
}

// returnSurplus takes the surplus out of the share, to be sent with the next ask. A
// return that is under way is sent again until the holder answers or the returned
// share expires. If the holder changes, the return to the former holder is abandoned,
// because the new one has no record of it, and nobody can use its share until it
// expires.
func (a *Account) returnSurplus(now time.Time, fence uint64) {
	if a.returning > 0 && a.returnFence == fence && now.Before(a.returnExpiresAt) {
		return
	}
	a.returning, a.returningTokens, a.returnFence = 0, 0, fence
	extra := a.Surplus(now)
	if extra <= 0 || fence == 0 {
		return
	}
	a.returning, a.returnExpiresAt = extra, a.expiresAt
	a.returningTokens = a.remove(now, extra)
	a.returnID++
}

// Surplus returns the share that the node can do without.
func (a *Account) Surplus(now time.Time) float64 {
	need := max(a.minShare, a.requiredShare(now))
	if a.recalled > 0 {
		return min(a.recalled, max(0, a.share-need))
	}
	if a.share <= surplusFactor*need || a.share < minTransfer {
		return 0
	}
	return a.share - headroomFactor*need
}

// Recall records that the holder asks for the given share back.
func (a *Account) Recall(share float64) { a.recalled = max(a.recalled, share) }

// remove takes a share and its proportion of the tokens out of the account and
// returns the tokens.
func (a *Account) remove(now time.Time, share float64) float64 {
	tokens := max(0, a.bucket.Level(now)) * share / a.share
	a.bucket.Add(now, -share*a.limits.Rate, -share*a.limits.Burst, -tokens)
	a.share -= share
	a.lendable = min(a.lendable, lendableFraction*a.share)
	if a.share < minTransfer {
		a.drop(now)
	}
	return tokens
}

// ApplyGive applies the holder's answer to an ask that was sent at the given time.
func (a *Account) ApplyGive(now, sent time.Time, g *wire.Give) {
	a.returning, a.returningTokens, a.recalled = 0, 0, 0
	if ms := g.GetExtendMs(); ms > 0 && a.share > 0 && !a.borrowedSinceAsk {
		a.expiresAt = later(a.expiresAt, sent.Add(time.Duration(ms)*time.Millisecond))
	}
	a.receive(now, sent, g)
	a.lendable = lendableFraction * a.share
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Borrow adds a share that a peer lent in answer to an ask sent at the given time.
// The holder does not know that this node has it, so an answer to an ask built
// before the loan must not extend it.
func (a *Account) Borrow(now, sent time.Time, g *wire.Give) {
	a.borrowedSinceAsk = a.borrowedSinceAsk || g.GetShare() > 0
	a.receive(now, sent, g)
}

// receive adds a share. Its lifetime counts from the time the ask was sent, which
// is earlier than the giver's answer.
func (a *Account) receive(now, sent time.Time, g *wire.Give) {
	if g.GetShare() <= 0 {
		a.bucket.Add(now, 0, 0, g.GetTokens())
		return
	}
	until := sent.Add(time.Duration(g.GetLifeMs()) * time.Millisecond)
	if a.share == 0 || until.Before(a.expiresAt) {
		a.expiresAt = until
	}
	a.share += g.GetShare()
	a.bucket.Add(now, g.GetShare()*a.limits.Rate, g.GetShare()*a.limits.Burst, g.GetTokens())
}

// Lend gives part of the node's share to a peer that gets no answer from a holder.
// The share in the result is zero if nothing can be spared.
func (a *Account) Lend(now time.Time, ask *wire.Ask) *wire.Give {
	a.expire(now)
	g := &wire.Give{Workspace: ask.GetWorkspace()}
	share := min(ask.GetWant(), a.lendable, a.share-a.requiredShare(now)/2)
	if share < minTransfer {
		return g
	}
	g.LifeMs = remainingMs(now, a.expiresAt)
	g.Share = share
	a.lendable -= share
	g.Tokens = a.remove(now, share)
	return g
}

// NeedsExchange reports whether the share should be extended soon or is below its
// minimum.
func (a *Account) NeedsExchange(now time.Time) bool {
	a.expire(now)
	return (a.share > 0 && a.expiresAt.Sub(now) < extendThreshold) || a.minShare-a.share > minTransfer
}

// ReturnAll empties the account when the node stops. It returns the ask that
// returns the share, or nil if the account has no share or no holder is known. fence
// is the holder's fencing number, zero if the holder is not known.
func (a *Account) ReturnAll(now time.Time, ws string, fence uint64) *wire.Ask {
	a.expire(now)
	ask := &wire.Ask{Workspace: ws}
	if a.share == 0 || fence == 0 {
		return nil
	}
	a.returnID++
	ask.BackId, ask.Back = a.returnID, a.share
	ask.BackTokens = a.remove(now, a.share)
	return ask
}

// Idle reports whether the account holds nothing, returns nothing and has no
// demand, so that it can be deleted.
func (a *Account) Idle(now time.Time) bool {
	return a.share == 0 && a.returning == 0 && a.minShare == 0 && a.requiredShare(now) < minTransfer
}
