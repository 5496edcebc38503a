package front

import (
	"context"
	"time"

	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/sched"
)

// Limits of the questions for the load of upstreams before a request is sent.
const (
	maxLoadChecks  = 2                     // upstreams asked for one request
	checkShare     = 0.04                  // share of the objective that a question may take
	minCheckTime   = 5 * time.Millisecond  // time that a question may take at least, for a connection in the same data centre
	maxCheckTime   = 50 * time.Millisecond // and at most
	defaultCheckIn = 20 * time.Millisecond // time that a question may take if the request has no objective
)

// checkLoads asks the upstream of a pick for its load if the placer wants that, and picks
// again with the answer. An upstream that does not answer in time is used all the same.
func (h *Handler) checkLoads(ctx context.Context, t *attempts, pick sched.Pick) sched.Pick {
	s, ok := t.view.Config.Service(t.service)
	if !ok || s.HealthPath == "" {
		return pick
	}
	q := t.placementQuery(t.avoid)
	limit := defaultCheckIn
	if q.Objective > 0 {
		limit = min(max(time.Duration(checkShare*float64(q.Objective)), minCheckTime), maxCheckTime)
	}
	for range maxLoadChecks {
		if time.Until(t.deadline) < limit+minTimeLeft || !h.Placer.NeedsLoadCheck(clock.BootTime(), pick) {
			break
		}
		checkCtx, cancel := context.WithTimeout(ctx, limit)
		l, ok := h.UpstreamLoad(checkCtx, pick.Upstream, s.HealthPath)
		cancel()
		if !ok {
			if ctx.Err() == nil {
				h.Metrics.countLoadCheck(checkFailed)
				h.Placer.LoadCheckFailed(clock.BootTime(), pick.Upstream.Name)
			}
			break
		}
		h.Placer.RecordLoad(clock.BootTime(), pick.Upstream.Name, l)
		next, ok := h.Placer.Pick(clock.BootTime(), q)
		if !ok {
			break
		}
		same := next.Upstream.Name == pick.Upstream.Name
		pick = next
		if same {
			h.Metrics.countLoadCheck(checkKept)
			break
		}
		h.Metrics.countLoadCheck(checkMoved)
	}
	return pick
}

// Results of load checks, for the metrics.
const (
	checkKept   = "kept"   // the request goes to the upstream that was asked
	checkMoved  = "moved"  // it goes to another one
	checkFailed = "failed" // there was no answer in time
)
