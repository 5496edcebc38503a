package front

import (
	"net/http"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/sched"
)

// sampleEvents is the number of events of a stream after which its result is recorded, so
// that a slow stream counts before it ends.
const sampleEvents = 8

// maxSlowdown is the largest slowdown by which times are reduced, so that a release that
// states nonsense does not look fast.
const maxSlowdown = 4.0

// result gathers what one attempt shows about its upstream's release.
type result struct {
	upstream vane.Upstream
	service  string
	record   func(u vane.Upstream, service string, s canary.Sample)
	sample   canary.Sample
	sent     time.Time
	firstAt  time.Time // time of the first event or of the whole answer; zero before
	lastAt   time.Time
	events   int
	status   int     // status of a complete answer; zero if there was none
	slowdown float64 // slowdown of the upstream's machine that the response stated; zero if none
	recorded bool
}

// newResult returns the result of an attempt that is about to be sent.
func (h *Handler) newResult(t *attempts, p sched.Pick) *result {
	return &result{
		upstream: p.Upstream, service: t.service, record: h.RecordResult, sent: time.Now(),
		sample: canary.Sample{Route: t.route.Name, UncachedTokens: p.UncachedTokens},
	}
}

// event counts an event of a stream.
func (r *result) event(now time.Time) {
	if r.events++; r.events == 1 {
		r.firstAt = now
	}
	r.lastAt = now
	if r.events == sampleEvents {
		r.send(false)
	}
}

// complete counts a complete answer.
func (r *result) complete(now time.Time, status int) {
	r.status = status
	if r.firstAt.IsZero() {
		r.firstAt, r.lastAt = now, now
	}
}

// end records the result of an attempt that ended with the refusal, or completely if ref
// is nil. An attempt that did not run, or that the caller gave up, has no result. One
// that was still waiting at the time limit counts with the time that it waited.
func (r *result) end(now time.Time, ref *vane.Refusal) {
	switch {
	case ref == nil:
		if r.status >= http.StatusInternalServerError {
			r.send(true)
		} else if !r.recorded {
			r.send(false)
		}
	case ref.Execution == vane.NotRun, ref.Reason == vane.ReasonCallerGone, ref.Reason == vane.ReasonNodeLeaving:
	case ref.Reason == vane.ReasonQueueDeadline, ref.Reason == vane.ReasonUpstreamSlow:
		if r.firstAt.IsZero() {
			r.firstAt, r.lastAt, r.sample.Unanswered = now, now, true
		}
		if !r.recorded {
			r.send(false)
		}
	default:
		r.send(true)
	}
}

// send passes the result on. Events that arrive together do not show the time between
// tokens. Times are those at the usual speed of the upstream's machine: a slow machine says
// nothing about the release that runs there. The times are not left out instead, so that a
// release can't hide its own slowness on slow machines.
func (r *result) send(failed bool) {
	s := r.sample
	s.Failed = failed
	if !failed {
		s.FirstToken = r.firstAt.Sub(r.sent)
		if r.events > 1 {
			s.TokenGap = r.lastAt.Sub(r.firstAt) / time.Duration(r.events-1)
		}
		if r.slowdown > 1 && !s.Unanswered {
			f := min(r.slowdown, maxSlowdown)
			s.FirstToken, s.TokenGap = time.Duration(float64(s.FirstToken)/f), time.Duration(float64(s.TokenGap)/f)
		}
	}
	r.recorded = true
	r.record(r.upstream, r.service, s)
}
