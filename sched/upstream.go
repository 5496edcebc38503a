package sched

import (
	"time"

	vane "mustardvane.org/vane"
)

// Times for which an upstream gets no requests, and for which information about it
// counts.
const (
	minEjection    = 700 * time.Millisecond // ejection time after the first failure
	maxEjection    = 6 * time.Second        // longest ejection time, because a crashed upstream is back within seconds
	probation      = 2 * time.Second        // time after an ejection during which the upstream costs more
	recentResponse = 250 * time.Millisecond // age of a response up to which it outweighs another node's report of a failure
	fullPause      = 150 * time.Millisecond // time without requests for a full upstream, which frees capacity within a few generation steps
	loadTTL        = 2 * time.Second        // age up to which a load report counts, since a queue that can be served in time is empty by then
)

// upstream is the state of one upstream.
type upstream struct {
	vane.Upstream
	parts *partSet // parts that the engine is believed to hold
	rank  float64  // position in the order in which short prompts prefer engines, lowest first

	inFlight     int                   // number of requests that this node has in flight
	pending      int                   // uncached tokens of this node's requests without a first byte
	waiting      map[*Attempt]struct{} // this node's requests without a first byte
	streams      map[*Attempt]struct{} // this node's requests whose answers are streams that have begun
	load         vane.Load             // last load report
	loadAt       time.Time             // time of the last load report
	uncheckedTo  time.Time             // the upstream is not asked for its load until then
	respondedAt  time.Time             // time of the last bytes of an answer
	answeredSent time.Time             // latest time at which a request was sent that has been answered or has begun to be
	checkAfter   time.Time             // time before which the upstream is not checked again for being silent

	loadingUntil time.Time     // end of the time during which the engine loads weights
	ejectedUntil time.Time     // end of the last ejection
	ejection     time.Duration // length of the last ejection; zero if there was none or the upstream has recovered
	fullUntil    time.Time     // end of the pause after a refusal for lack of capacity
	leaving      bool          // the upstream said that it is leaving
	refusal      refusal       // the upstream asked for no requests
	cold         coldState
}

// update replaces the upstream's entry from the view. Entries are delayed, so that an
// entry never lowers the number of the weights.
func (u *upstream) update(e vane.Upstream) {
	known := u.Weights
	u.Upstream = e
	u.Weights = max(known, e.Weights)
	if u.Weights > known {
		u.parts.clear()
		u.loadingUntil = time.Time{}
	}
}

// setWeights records newer weights, which empty the upstream's cache and end its loading
// state. It returns false and does nothing if the weights are not newer.
func (u *upstream) setWeights(n uint64) bool {
	if n <= u.Weights {
		return false
	}
	u.Weights = n
	u.parts.clear()
	u.loadingUntil = time.Time{}
	return true
}

// usable reports whether the upstream may get requests.
func (u *upstream) usable(now time.Time) bool {
	return u.inService(now) && !now.Before(u.fullUntil) && !u.refusal.blocks(now, u.inFlight)
}

// inService reports whether the upstream serves requests, even if it is full at the
// moment.
func (u *upstream) inService(now time.Time) bool {
	return !u.saidLeaving() && !now.Before(u.ejectedUntil) && !now.Before(u.loadingUntil)
}

// onProbation reports whether the upstream is ejected or its last ejection ended less
// than the probation time ago.
func (u *upstream) onProbation(now time.Time) bool {
	return u.ejection > 0 && now.Before(u.ejectedUntil.Add(probation))
}

// begin adds an attempt.
func (u *upstream) begin(t *Attempt) {
	if u.waiting == nil {
		u.waiting, u.streams = make(map[*Attempt]struct{}), make(map[*Attempt]struct{})
	}
	u.inFlight++
	u.pending += t.tokens
	u.waiting[t] = struct{}{}
}

// firstByte records that the first bytes of the attempt's answer arrived.
func (u *upstream) firstByte(now time.Time, t *Attempt) {
	u.pending -= t.tokens
	t.tokens = 0
	if t.sent.After(u.answeredSent) {
		u.answeredSent = t.sent
	}
	delete(u.waiting, t)
	u.responded(now)
}

// end removes an attempt.
func (u *upstream) end(t *Attempt) {
	u.inFlight = max(0, u.inFlight-1)
	u.pending = max(0, u.pending-t.tokens)
	delete(u.waiting, t)
	delete(u.streams, t)
}

// responded records that the upstream sent something. After the probation it resets the
// length of the next ejection.
func (u *upstream) responded(now time.Time) {
	u.respondedAt = now
	if !now.Before(u.refusal.until) {
		u.refusal.trial = false
	}
	if !now.Before(u.ejectedUntil.Add(probation)) {
		u.ejection = 0
	}
}

// fail ejects the upstream, for twice the previous time but between minEjection and
// maxEjection, and returns the remaining ejection time. While the upstream is ejected, further failures do not
// lengthen the time, since they concern requests that were sent before.
func (u *upstream) fail(now time.Time) time.Duration {
	if now.Before(u.ejectedUntil) {
		return u.ejectedUntil.Sub(now)
	}
	u.ejection = min(max(minEjection, 2*u.ejection), maxEjection)
	u.ejectedUntil = now.Add(u.ejection)
	return u.ejection
}
