package front

import (
	"math/rand/v2"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/sched"
)

// observeWishes records what a response says about further requests: that the upstream is
// leaving, or that it wants none for some time.
func (h *Handler) observeWishes(t *attempts, p sched.Pick, resp *conns.Response, m vane.ResponseMeta) {
	u := p.Upstream
	if m.Leaving && !m.WrongUpstream && h.Placer.MarkLeaving(u.Name, u.Incarnation) {
		h.Log.Info("upstream says that it is leaving", "request_id", t.meta.ID, "upstream", u.Name, "incarnation", u.Incarnation)
		h.UpstreamLeaving(u)
	}
	if m.RetryAfter > 0 {
		d := h.Placer.MarkRefused(clock.BootTime(), u.Name, u.Incarnation, m.RetryAfter)
		h.Log.Info("upstream wants no requests", "request_id", t.meta.ID, "upstream", u.Name, "status", resp.Status,
			"asked_ms", m.RetryAfter.Milliseconds(), "honoured_ms", d.Milliseconds())
	}
}

// retryAfter returns when a caller may return for whom no upstream of a service accepts
// requests: when the first of them takes requests again, if all have said when.
func (h *Handler) retryAfter(service string) time.Duration {
	d, ok := h.Placer.RetryAfter(clock.BootTime(), service)
	if !ok {
		return busyRetryAfter
	}
	return max(busyRetryAfter, d) + rand.N(busyRetryAfter)
}

// noUpstream returns the refusal of a request for which no upstream can be picked.
func (h *Handler) noUpstream(c *request) *vane.Refusal {
	where := ""
	if r := sched.RegionsOf(c.route.Regions, c.tenancy.Regions).String(); r != "" {
		where = " in the regions " + r
	}
	return vane.Refuse(vane.ReasonNoUpstream, "no upstream of service %s%s accepts requests now", c.service, where).WithRetryAfter(h.retryAfter(c.service))
}
