package sched

import (
	"time"

	vane "mustardvane.org/vane"
)

// Times for which an upstream is set aside, and for which its word counts.
const (
	asideMin  = 700 * time.Millisecond // after a first failure
	asideMax  = 6 * time.Second        // a crashed upstream is back after seconds
	doubtTime = 2 * time.Second        // after the time aside
	freshSign = 250 * time.Millisecond // bytes of an answer within it outweigh another node's word
	fullPause = 150 * time.Millisecond // an upstream's queue empties in some steps
	loadLife  = 2 * time.Second        // of an upstream's word on its load; a queue that can be served in time is worked off within it
)

// upstream is what is known of one upstream.
type upstream struct {
	vane.Upstream
	parts *partSet
	rank  float64 // in the order in which engines are set apart for short prompts

	inFlight int
	pending  int // tokens to be computed for own requests without a first token
	waiting  map[*Attempt]struct{}
	load     vane.Load
	loadAt   time.Time
	heard    time.Time // last bytes of an answer

	loadingUntil time.Time
	asideUntil   time.Time
	asideFor     time.Duration
	fullUntil    time.Time
}

// take takes the upstream's newest entry. The entry lags, so that it can't lower
// the number of the weights.
func (u *upstream) take(e vane.Upstream) {
	known := u.Weights
	u.Upstream = e
	u.Weights = max(known, e.Weights)
	if u.Weights > known {
		u.parts.clear()
		u.loadingUntil = time.Time{}
	}
}

// setWeights notes the weights that the upstream serves. New weights empty its
// cache.
func (u *upstream) setWeights(n uint64) bool {
	if n <= u.Weights {
		return false
	}
	u.Weights = n
	u.parts.clear()
	u.loadingUntil = time.Time{}
	return true
}

// usable says whether requests may be sent.
func (u *upstream) usable(now time.Time) bool {
	return u.State == vane.UpstreamLive && !now.Before(u.asideUntil) && !now.Before(u.loadingUntil) && !now.Before(u.fullUntil)
}

// doubted says whether the upstream failed lately.
func (u *upstream) doubted(now time.Time) bool {
	return u.asideFor > 0 && now.Before(u.asideUntil.Add(doubtTime))
}

// queueMS estimates the time until a new request is begun.
func (u *upstream) queueMS(now time.Time, peers int) float64 {
	own := u.inFlight + peers
	if u.Role == vane.RoleEngine {
		var l vane.Load
		if now.Sub(u.loadAt) < loadLife {
			l = u.load
		}
		busy := max(own, l.Running+l.Waiting)
		return float64(u.pending)/prefillPerMS + stepPerRun*float64(busy) + waitingMS*float64(l.Waiting) + float64(peers)*prefillShareMS
	}
	return plainMS * float64(own) / float64(max(1, u.Slots)) * float64(1+own/max(1, u.Slots))
}

// Estimates of queues.
const (
	prefillShareMS = 8.0  // that a request of another node adds: most are past their prompt
	plainMS        = 30.0 // work of a request of a plain service
)

// begin counts a request.
func (u *upstream) begin(t *Attempt) {
	if u.waiting == nil {
		u.waiting = make(map[*Attempt]struct{})
	}
	u.inFlight++
	u.pending += t.tokens
	u.waiting[t] = struct{}{}
}

// first notes the first bytes of an answer.
func (u *upstream) first(now time.Time, t *Attempt) {
	u.pending -= t.tokens
	t.tokens = 0
	delete(u.waiting, t)
	u.answered(now)
}

// end counts the end of a request.
func (u *upstream) end(t *Attempt) {
	u.inFlight = max(0, u.inFlight-1)
	u.pending = max(0, u.pending-t.tokens)
	delete(u.waiting, t)
}

// answered notes a sign of life.
func (u *upstream) answered(now time.Time) {
	u.heard = now
	if !now.Before(u.asideUntil.Add(doubtTime)) {
		u.asideFor = 0
	}
}

// failed sets the upstream aside. Failures of requests that were sent before do
// not lengthen the time.
func (u *upstream) failed(now time.Time) time.Duration {
	if now.Before(u.asideUntil) {
		return u.asideUntil.Sub(now)
	}
	u.asideFor = min(max(asideMin, 2*u.asideFor), asideMax)
	u.asideUntil = now.Add(u.asideFor)
	return u.asideFor
}

// silent says whether a request waits for longer than limit while nothing at all
// came from the upstream.
func (u *upstream) silent(now time.Time, limit time.Duration) bool {
	if now.Sub(u.heard) < limit {
		return false
	}
	for t := range u.waiting {
		if now.Sub(t.sent) > limit {
			return true
		}
	}
	return false
}
