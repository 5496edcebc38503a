package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/sched"
)

// waitTick is the time between two decisions on waiting requests if no request ends
// meanwhile. A waiting request is sent this much late at most.
const waitTick = 10 * time.Millisecond

// waiting holds the requests that wait for upstreams. It is safe for concurrent use.
type waiting struct {
	count *atomic.Int64 // number of waiting requests
	mu    *sync.Mutex
	c     *admit.Controller
	calls map[*admit.Ticket]chan verdict // by ticket of a waiting request
	ticks map[string]bool                // services for which a goroutine decides every waitTick
}

// verdict ends the wait of a request.
type verdict struct {
	cause      admit.Cause // CauseNone if the request may be sent
	retryAfter time.Duration
}

func newWaiting() waiting {
	return waiting{count: new(atomic.Int64), mu: new(sync.Mutex), c: admit.New(), calls: make(map[*admit.Ticket]chan verdict), ticks: make(map[string]bool)}
}

// place chooses an upstream for the next attempt of a request, and waits for room if the upstreams
// have none. It returns a refusal if the request must not be sent.
func (h *Handler) place(ctx context.Context, t *attempts) (sched.Pick, *vane.Refusal) {
	full := t.lastRefusal != nil && t.lastRefusal.Reason == vane.ReasonUpstreamFull
	waited := false
	for {
		now := clock.BootTime()
		pick, ok := h.Placer.Pick(now, t.placementQuery(t.avoid))
		if t.mayHaveRun > 0 || t.relay != nil || t.lastRefusal != nil && !full {
			t.assumed = 0
			// The upstreams' work on this request must not be lost.
			if !ok {
				return pick, h.noUpstream(t.request)
			}
			return pick, nil
		}
		room := h.Placer.Room(now, t.placementQuery(nil))
		if !ok {
			// An upstream is tried once, so that those that were tried are of no use.
			if _, asked := h.Placer.RetryAfter(now, t.service); asked || room.Usable > 0 || room.InService <= float64(len(t.avoid)) {
				return pick, h.noUpstream(t.request)
			}
		}
		r := t.admission(h.work(pick, ok, room, t), full && !waited)
		r.Waited = waited
		d, ch := h.waiting.offer(r, room)
		switch d.Action {
		case admit.Send:
			t.assumed = d.Assumed
			return pick, nil
		case admit.Refuse:
			return pick, h.notAdmitted(t, r, room, d)
		}
		if ref := h.wait(ctx, t, d, ch); ref != nil {
			return pick, ref
		}
		if pick, ok = h.Placer.Pick(clock.BootTime(), t.placementQuery(t.avoid)); ok {
			t.assumed = d.Ticket.Assumed()
			return pick, nil
		}
		// The upstreams that this request may use are full, though others are not. It is
		// decided on again after a tick, since a decision at once would be the same.
		waited = true
		h.waiting.putBack(t)
		select {
		case <-time.After(waitTick):
		case <-ctx.Done():
			return pick, h.waitEnded(ctx, t)
		}
	}
}

// work estimates the work of a request. Without a pick it is that of a prompt without cached
// parts.
func (h *Handler) work(pick sched.Pick, ok bool, room admit.Room, t *attempts) time.Duration {
	if !ok {
		pick.UncachedTokens, pick.Upstream.Service = t.meta.PromptTokens, t.service
		if room.Ordered {
			pick.Upstream.Role = vane.RoleEngine
		} else {
			pick.Upstream.Role = vane.RoleService
		}
	}
	return h.Placer.Work(pick)
}

// admission describes the request to package admit.
func (c *request) admission(work time.Duration, again bool) admit.Request {
	return admit.Request{
		ID: c.meta.ID, Service: c.service, Workspace: c.tenancy.Workspace, Kind: c.route.Name, Rank: c.rank(), Work: work,
		Objective: c.route.LatencyTarget, Deadline: c.deadline, Again: again,
	}
}

// notAdmitted is the refusal of a request for which there is no room.
func (h *Handler) notAdmitted(t *attempts, r admit.Request, room admit.Room, d admit.Decision) *vane.Refusal {
	h.Metrics.notAdmitted.WithLabelValues(t.service, d.Cause.String()).Inc()
	h.Log.Info("not admitted", "request_id", t.meta.ID, "service", t.service, "workspace", t.tenancy.Workspace, "route", t.route.Name, "rank", r.Rank,
		"cause", d.Cause.String(), "predicted_ms", d.Predicted.Milliseconds(), "objective_ms", r.Objective.Milliseconds(), "left_ms", time.Until(t.deadline).Milliseconds(),
		"work_ms", r.Work.Milliseconds(), "in_service", room.InService, "usable", room.Usable, "own_ms", room.Own.Milliseconds(), "peers_ms", room.Peers.Milliseconds(),
		"waiting_ms", room.Waiting.Milliseconds(), "peer_demand", room.PeerDemand, "share", d.Share)
	return vane.Refuse(vane.ReasonQueueFull, "service %s is overloaded: an answer would take %d ms; return after the time in Retry-After, to any node", t.service, d.Predicted.Milliseconds()).WithRetryAfter(d.RetryAfter)
}

// wait waits until the request may be sent. It returns a refusal if it must not be.
func (h *Handler) wait(ctx context.Context, t *attempts, d admit.Decision, ch chan verdict) *vane.Refusal {
	begin := time.Now()
	g := h.Metrics.waiting.WithLabelValues(t.service)
	g.Inc()
	defer g.Dec()
	defer func() { h.Metrics.waitSeconds.WithLabelValues(t.service).Observe(time.Since(begin).Seconds()) }()
	t.ticket = d.Ticket
	h.startWaiting(t.service)
	h.tick(t.service)
	select {
	case v := <-ch:
		if v.cause == admit.CauseNone {
			h.Log.Info("waited", "request_id", t.meta.ID, "service", t.service, "workspace", t.tenancy.Workspace, "route", t.route.Name, "rank", d.Ticket.Rank,
				"waited_ms", time.Since(begin).Milliseconds(), "predicted_ms", d.Predicted.Milliseconds(), "late", d.Ticket.Late(), "share", d.Share)
			return nil
		}
		h.Metrics.notAdmitted.WithLabelValues(t.service, v.cause.String()).Inc()
		h.Log.Info("not admitted", "request_id", t.meta.ID, "service", t.service, "workspace", t.tenancy.Workspace, "route", t.route.Name, "rank", d.Ticket.Rank,
			"cause", v.cause.String(), "waited_ms", time.Since(begin).Milliseconds(), "predicted_ms", d.Predicted.Milliseconds(), "late", d.Ticket.Late())
		if v.cause == admit.CauseNoneLeft {
			return h.noUpstream(t.request)
		}
		return vane.Refuse(vane.ReasonQueueDeadline, "no upstream of service %s had room within the time limit", t.service).WithRetryAfter(v.retryAfter)
	case <-ctx.Done():
		h.waiting.cancel(t)
		return h.waitEnded(ctx, t)
	}
}

// waitEnded is the refusal of a request whose context ended while it waited.
func (h *Handler) waitEnded(ctx context.Context, t *attempts) *vane.Refusal {
	switch {
	case context.Cause(ctx) == errStopped:
		return vane.Refuse(vane.ReasonNodeLeaving, "this node has stopped before the request was sent").WithRetryAfter(minRetryAfter)
	case ctx.Err() == context.Canceled:
		return vane.Refuse(vane.ReasonCallerGone, "the caller left")
	}
	return vane.Refuse(vane.ReasonQueueDeadline, "no upstream of service %s had room within the time limit", t.service).WithRetryAfter(minRetryAfter)
}

// firstByte records that the answer of an attempt has begun.
func (h *Handler) firstByte(t *attempts, att *sched.Attempt) {
	h.Placer.FirstByte(clock.BootTime(), att)
	h.waiting.observe(t)
}

// startWaiting starts the waiting requests of a service for which there is room, and refuses
// those that can't be served any more.
func (h *Handler) startWaiting(service string) {
	if h.waiting.count.Load() > 0 {
		h.waiting.next(service, h.Placer.Room(clock.BootTime(), sched.Query{Service: service}))
	}
}

// tick decides on the waiting requests of a service every waitTick until there are none.
func (h *Handler) tick(service string) {
	if !h.waiting.beginTicks(service) {
		return
	}
	go func() {
		for h.waiting.continueTicks(service) {
			time.Sleep(waitTick)
			h.startWaiting(service)
		}
	}()
}

// Waiting returns the number of requests that wait for upstreams.
func (h *Handler) Waiting() int { return int(h.waiting.count.Load()) }

// Work returns the work of this node's requests by service, for the other nodes.
func (h *Handler) Work() map[string]admit.Report {
	out := h.waiting.reports()
	now := clock.BootTime()
	for service, r := range out {
		r.Outstanding = h.Placer.Room(now, sched.Query{Service: service}).Own
		out[service] = r
	}
	return out
}

// offer decides on a request. If it has to wait, the channel gets the verdict.
func (w *waiting) offer(r admit.Request, room admit.Room) (admit.Decision, chan verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.c.Offer(time.Now(), r, room)
	if d.Action != admit.Wait {
		return d, nil
	}
	ch := make(chan verdict, 1)
	w.calls[d.Ticket] = ch
	w.count.Add(1)
	return d, ch
}

// next decides on the waiting requests of a service.
func (w *waiting) next(service string, room admit.Room) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.c.Next(time.Now(), service, room)
	for _, t := range g.Started {
		w.end(t, verdict{})
	}
	for _, r := range g.Refused {
		w.end(r.Ticket, verdict{cause: r.Cause, retryAfter: r.RetryAfter})
	}
}

// end gives a waiting request its verdict. The caller must hold w.mu.
func (w *waiting) end(t *admit.Ticket, v verdict) {
	if ch, ok := w.calls[t]; ok {
		delete(w.calls, t)
		w.count.Add(-1)
		ch <- v
	}
}

// cancel withdraws a request whose caller has left, also if it was started at the same time.
func (w *waiting) cancel(t *attempts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.c.Cancel(t.ticket) {
		delete(w.calls, t.ticket)
		w.count.Add(-1)
	}
	w.c.Begin(t.ticket)
	t.ticket = nil
}

// begin records that a request that waited has been sent or will not be.
func (w *waiting) begin(t *attempts) {
	t.sentAt = time.Now()
	if t.ticket == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.Begin(t.ticket)
	t.ticket = nil
}

// putBack records that no upstream could take a request that was started.
func (w *waiting) putBack(t *attempts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.PutBack(time.Now(), t.ticket)
	t.ticket = nil
}

// observe records how long an upstream took to begin its answer.
func (w *waiting) observe(t *attempts) {
	if t.assumed <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.Observe(t.service, time.Since(t.sentAt), t.assumed)
	t.assumed = 0
}

// beginTicks reports whether a goroutine has to be started for a service.
func (w *waiting) beginTicks(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ticks[service] {
		return false
	}
	w.ticks[service] = true
	return true
}

// continueTicks reports whether requests of a service wait. Otherwise the service's goroutine
// has to end.
func (w *waiting) continueTicks(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, n := w.c.Waiting(service); n > 0 {
		return true
	}
	delete(w.ticks, service)
	return false
}

// reports returns the waiting and the arriving work by service.
func (w *waiting) reports() map[string]admit.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	out := make(map[string]admit.Report)
	for _, service := range w.c.Services(now) {
		work, _ := w.c.Waiting(service)
		out[service] = admit.Report{Waiting: work, Demand: w.c.Demand(now, service)}
	}
	return out
}
