package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/sched"
)

// Limits of the attempts for one request.
const (
	maxSends         = 4                     // number of upstreams that one request is sent to, including those that refuse it
	minTimeLeft      = 15 * time.Millisecond // no new attempt is made with less time left until the deadline
	maxResponseBytes = 16 << 20              // limit of a response's body
	maxStreamBytes   = 64 << 20              // limit of the body of one upstream's response on a route with streams
	relayBufferBytes = 32 << 10
	maxHeldBytes     = 256 << 10 // a longer response is relayed before its end has arrived
)

// errAborted is the panic value that makes the HTTP server close the connection, so
// that the caller does not take a partial response for a complete one.
var errAborted = http.ErrAbortHandler

// attempts is the state of a request over all its attempts.
type attempts struct {
	*request
	resumedAfter string   // id of the event after which the current attempt goes on; empty if it begins anew
	sends        int      // number of upstreams that the request was sent to
	mayHaveRun   int      // number of upstreams on which the request ran or may have run
	retryPaid    bool     // the next attempt has already been charged to the retry budget
	begun        bool     // part of a response that can't be resumed has been sent to the caller
	unstated     bool     // the caller's response has begun and states no end
	avoid        []string // names of the upstreams that were tried
	answering    bool     // the upstream of the current attempt has begun to answer
	relay        *relay   // nil until the headers of a stream have been sent to the caller
	lastRefusal  *vane.Refusal
	result       *result       // of the present attempt
	sentAt       time.Time     // time at which the present attempt was sent
	assumed      time.Duration // what package admit assumes for the time until its answer; zero if it was not asked
	ticket       *admit.Ticket // of the wait for the present attempt; nil if it did not wait
}

// serve sends the request to one upstream after another until a response is relayed
// or no further attempt is allowed.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c *request) {
	t := &attempts{request: c}
	h.RetryBudget(c.service).CountRequest(c.start)
	for {
		pick, final := h.place(ctx, t)
		if final != nil {
			h.finishRefused(w, t, t.withExecution(final))
			return
		}
		pick = h.checkLoads(ctx, t, pick)
		if pick, final = h.reserve(t, pick); final != nil {
			h.finishRefused(w, t, t.withExecution(final))
			return
		}
		t.result = h.newResult(t, pick)
		ref := h.attempt(ctx, w, r, t, pick)
		t.result.end(time.Now(), ref)
		if ref == nil {
			h.Crashes.RecordSuccess(c.tenancy.Workspace, c.fingerprint)
			h.Parts.RecordComplete(time.Now(), c.lateKeys)
			return
		}
		t.lastRefusal = ref
		t.avoid = append(t.avoid, pick.Upstream.Name)
		h.Log.Info("attempt failed", "request_id", c.meta.ID, "route", c.route.Name, "upstream", pick.Upstream.Name, "attempt", t.sends,
			"reason", ref.Reason.String(), "execution", ref.Execution.String(), "elapsed_ms", time.Since(c.start).Milliseconds(), "detail", ref.Error())
		if final := h.retryRefusal(ctx, t, ref); final != nil {
			h.finishRefused(w, t, final)
			return
		}
		if final := h.partRefusal(t, ref); final != nil {
			h.finishRefused(w, t, final)
			return
		}
	}
}

// reserve takes the request's place in the share of a cold upstream. If another request has
// taken the last one meanwhile, it picks again.
func (h *Handler) reserve(t *attempts, pick sched.Pick) (sched.Pick, *vane.Refusal) {
	for !h.Placer.Reserve(clock.BootTime(), pick) {
		var ok bool
		if pick, ok = h.Placer.Pick(clock.BootTime(), t.placementQuery(t.avoid)); !ok {
			return pick, h.noUpstream(t.request)
		}
	}
	return pick, nil
}

// partRefusal returns a refusal if the request must not be retried because of a part of
// its prompt, else nil.
func (h *Handler) partRefusal(t *attempts, ref *vane.Refusal) *vane.Refusal {
	if final := h.checkParts(t.request, time.Now()); final != nil {
		return t.withExecution(final)
	}
	if ref.Execution != vane.NotRun && !t.answering && h.Parts.Suspect(t.parts) {
		return t.withExecution(vane.Refuse(vane.ReasonSuspectRequest, "upstreams crashed on a part of this prompt; it is not retried").WithCause(ref))
	}
	return nil
}

// retryRefusal decides what follows a failed attempt. It returns nil if the request
// may be sent to another upstream, else the refusal for the caller.
func (h *Handler) retryRefusal(ctx context.Context, t *attempts, ref *vane.Refusal) *vane.Refusal {
	if ref.Execution != vane.NotRun {
		t.mayHaveRun++
	}
	now := time.Now()
	switch {
	case context.Cause(ctx) == errStopped:
		return t.withExecution(vane.Refuse(vane.ReasonNodeLeaving, "this node has stopped before there was a response").WithRetryAfter(minRetryAfter))
	case ctx.Err() == context.Canceled:
		return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun)
	case !now.Before(t.deadline.Add(-minTimeLeft)):
		final := vane.Refuse(vane.ReasonQueueDeadline, "no response within the time limit").WithRetryAfter(busyRetryAfter)
		return t.withExecution(final)
	case t.begun, t.relay != nil && !t.relay.canResume(), ref.Execution != vane.NotRun && (!t.route.Idempotent() || t.mayHaveRun >= t.route.MaxAttempts):
		return ref
	case t.sends >= maxSends:
		return t.withExecution(ref)
	}
	if ref.Reason == vane.ReasonNoUpstream {
		return nil // nothing was sent, so the next attempt is not a retry
	}
	if t.retryPaid {
		t.retryPaid = false
		return nil
	}
	if !h.RetryBudget(t.service).Take(now) {
		return t.withExecution(vane.Refuse(vane.ReasonRetryBudget, "the retry budget is used up").WithRetryAfter(busyRetryAfter))
	}
	return nil
}

// withExecution returns ref. It sets the execution to MayHaveRun if the request may
// have run in any of its attempts.
func (t *attempts) withExecution(ref *vane.Refusal) *vane.Refusal {
	if t.mayHaveRun > 0 {
		return ref.WithExecution(vane.MayHaveRun)
	}
	return ref
}

// finishRefused ends a request that gets no complete response: with the refusal, or
// by closing the connection if the response has begun or the caller has left. The
// connection is reset if its end would complete the response.
func (h *Handler) finishRefused(w http.ResponseWriter, t *attempts, ref *vane.Refusal) {
	if t.relay != nil || t.begun {
		events := 0
		if t.relay != nil {
			events = t.relay.eventCount
		}
		h.Metrics.countRefused(t.route.Name, ref.Reason)
		h.Log.Info("stream broken off", "request_id", t.meta.ID, "route", t.route.Name, "events", events, "reason", ref.Reason.String(),
			"elapsed_ms", time.Since(t.start).Milliseconds())
		if t.unstated {
			if err := resetConn(w); err != nil {
				h.Log.Warn("connection to the caller not reset", "request_id", t.meta.ID, "err", err.Error())
			}
		}
		panic(errAborted)
	}
	if ref.Reason == vane.ReasonCallerGone {
		h.Log.Info("caller left", "request_id", t.meta.ID, "route", t.route.Name, "elapsed_ms", time.Since(t.start).Milliseconds())
		panic(errAborted)
	}
	h.refuse(w, t.request, ref)
}

// attempt sends the request to one upstream and relays the response. It returns nil
// if a complete response was relayed.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, t *attempts, p sched.Pick) *vane.Refusal {
	t.answering = false
	q := t.placementQuery(nil)
	q.Repeatable = t.route.Idempotent() && t.mayHaveRun+1 < t.route.MaxAttempts && t.sends+1 < maxSends
	att := h.Placer.Begin(clock.BootTime(), q, p)
	h.waiting.begin(t)
	defer func() {
		h.Placer.End(clock.BootTime(), att)
		h.startWaiting(t.service)
	}()
	f := vane.Forward{
		Workspace: t.tenancy.Workspace, TimeLimit: time.Until(t.deadline), Upstream: p.Upstream.Name, Weights: p.Weights,
		Priority: t.priority(), CacheSalt: p.Salt, FetchFrom: p.FetchFrom, SaveTo: p.SaveTo, LastEventID: t.meta.LastEventID,
	}
	if t.relay != nil && t.relay.lastID != "" {
		f.LastEventID = t.relay.lastID
	}
	t.resumedAfter = f.LastEventID
	h.Log.Info("sent", "request_id", t.meta.ID, "route", t.route.Name, "workspace", t.tenancy.Workspace, "upstream", p.Upstream.Name,
		"weights", p.Weights, "config", t.view.Config.Version, "price", p.Cost, "estimate_ms", p.Estimate.Milliseconds(), "added_pause_ms", p.AddedPause.Milliseconds(),
		"load_age_ms", min(p.LoadAge, time.Hour).Milliseconds(), "slowdown", p.Slowdown, "fetch", p.FetchFrom, "save", p.SaveTo != "", "missing", p.UncachedTokens,
		"shared", p.SharedTokens, "stored", p.StoredTokens, "copies", p.Holders, "held", p.HoldsShared, "left_ms", f.TimeLimit.Milliseconds())
	maxIdle := conns.DefaultMaxIdle
	if t.route.Idempotent() {
		maxIdle = time.Minute // the request may be sent again if the upstream is closing the connection
	}
	if t.meta.ID == "" {
		maxIdle = -1 // late responses to other requests can't be told from the one to this request
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.Placer.OnExpire(att, cancel)
	maxBytes := int64(maxResponseBytes)
	if t.route.Kind == vane.RouteStream {
		maxBytes = maxStreamBytes
	}
	resp, err := h.Pool.Do(ctx, conns.Request{
		Addr: p.Upstream.Addr, Upstream: p.Upstream.Name, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: h.Dialect.UpstreamHeader(r.Header, f), Body: t.body, MaxIdle: maxIdle, MaxBytes: maxBytes,
		Match: func(status int, hd http.Header, reused bool) bool {
			// A refusal that names no request may be that of an earlier one.
			m := h.Dialect.ParseResponse(status, hd)
			return m.ID == t.meta.ID || m.ID == "" && m.NotRun && !reused
		},
	})
	if err != nil {
		return h.exchangeFailed(ctx, t, p, err)
	}
	defer resp.Close()
	return h.handleResponse(ctx, w, r, t, p, att, resp)
}

// exchangeFailed handles an exchange without a response. Unless the time limit or the
// caller ended it, the placer sets the upstream aside, and the request is recorded
// as a possible cause of a crash if bytes of it may have reached the upstream and
// none that are no response came back.
func (h *Handler) exchangeFailed(ctx context.Context, t *attempts, p sched.Pick, err error) *vane.Refusal {
	var ce *conns.Error
	if !errors.As(err, &ce) || ce.ContextDone {
		t.sends++
		if context.Cause(ctx) == errStopped {
			return vane.Refuse(vane.ReasonNodeLeaving, "upstream %s did not respond before this node stopped", p.Upstream.Name).WithExecution(executionOf(ce)).WithCause(err)
		}
		return vane.Refuse(vane.ReasonUpstreamSlow, "upstream %s did not respond within the time limit", p.Upstream.Name).WithExecution(executionOf(ce)).WithCause(err)
	}
	h.setAside(t, p, ce)
	if ce.Dial {
		return vane.Refuse(vane.ReasonNoUpstream, "connecting to upstream %s failed", p.Upstream.Name).WithCause(err)
	}
	t.sends++
	if ce.Sent && !ce.Malformed && ctx.Err() == nil {
		h.recordCut(t, p.Upstream)
	}
	return vane.Refuse(vane.ReasonUpstreamFailed, "the connection to upstream %s failed before a response", p.Upstream.Name).WithExecution(executionOf(ce)).WithCause(err)
}

// setAside makes the placer avoid an upstream that failed, and tells the other nodes.
func (h *Handler) setAside(t *attempts, p sched.Pick, ce *conns.Error) {
	aside := h.Placer.RecordFailure(clock.BootTime(), p.Upstream.Name)
	h.UpstreamFailed(p.Upstream)
	h.Pool.CloseIdle(p.Upstream.Addr, p.Upstream.Name)
	h.Log.Warn("upstream set aside", "request_id", t.meta.ID, "upstream", p.Upstream.Name, "dial", ce.Dial, "malformed", ce.Malformed, "aside_ms", aside.Milliseconds(), "cause", ce.Cause.Error())
}

// executionOf returns NotRun if the exchange failed before any byte of the request
// could reach the upstream, else MayHaveRun.
func executionOf(ce *conns.Error) vane.Execution {
	if ce != nil && !ce.Sent {
		return vane.NotRun
	}
	return vane.MayHaveRun
}

// handleResponse relays a response. It returns a refusal if the response can't be
// relayed or did not arrive completely.
func (h *Handler) handleResponse(ctx context.Context, w http.ResponseWriter, r *http.Request, t *attempts, p sched.Pick, att *sched.Attempt, resp *conns.Response) *vane.Refusal {
	t.sends++
	m := h.Dialect.ParseResponse(resp.Status, resp.Header)
	if h.Placer.Observe(clock.BootTime(), p.Upstream.Name, m) {
		h.WeightsChanged(p.Upstream.Name, m.Weights)
	}
	h.observeSpeed(t, att, resp, m)
	h.observeWishes(t, p, resp, m)
	if m.NotRun {
		h.handleNotRun(t, p, resp, m)
		return vane.Refuse(vane.ReasonUpstreamFull, "upstream %s refused to run the request (status %d)", p.Upstream.Name, resp.Status).WithRetryAfter(busyRetryAfter)
	}
	if t.route.Kind == vane.RouteStream && resp.Status < http.StatusMultipleChoices {
		return h.relayStream(ctx, w, r, t, p, att, resp)
	}
	if t.relay != nil {
		return notResumed(p, resp)
	}
	if resp.Length > maxResponseBytes {
		return h.responseBroken(ctx, t, p, resp, errTooLong)
	}
	body, err := h.readHeld(t.request, resp.Body)
	if err != nil {
		return h.responseBroken(ctx, t, p, resp, err)
	}
	if resp.Complete() {
		if err := h.checkEnd(ctx, t, p, resp); err != nil {
			return h.responseBroken(ctx, t, p, resp, err)
		}
	}
	h.firstByte(t, att)
	if resp.Status >= http.StatusInternalServerError && t.route.Idempotent() && t.mayHaveRun+1 < t.route.MaxAttempts && h.RetryBudget(t.service).Take(time.Now()) {
		t.retryPaid = true
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s responded with status %d", p.Upstream.Name, resp.Status).WithExecution(vane.Ran)
	}
	if impliesNotRun(resp.Status) {
		// To a caller, the status would state that the request has not run, but the
		// upstream did not state that.
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s responded with status %d", p.Upstream.Name, resp.Status).WithExecution(vane.MayHaveRun)
	}
	if !m.Signed && resp.Status < http.StatusMultipleChoices {
		return vane.Refuse(vane.ReasonUpstreamWrongID, "the response of upstream %s lacks that upstream's signature", p.Upstream.Name).WithExecution(vane.MayHaveRun)
	}
	t.result.complete(time.Now(), resp.Status)
	if resp.Status < http.StatusMultipleChoices {
		h.recordAnswer(t)
	}
	h.beginResponse(w, r, t, resp)
	w.WriteHeader(resp.Status)
	// If the caller has left, the write fails. Nothing remains to be done then: the
	// server closes the connection.
	_, _ = w.Write(body)
	if !resp.Complete() {
		if ref := h.relayRest(ctx, w, t, p, resp); ref != nil {
			return ref
		}
	}
	h.endResponse(w, r, t)
	h.recordServed(t, p, resp)
	return nil
}

// observeSpeed takes what a response states about the speed of its upstream's machine. A
// response that is no answer does not show how long the work takes.
func (h *Handler) observeSpeed(t *attempts, att *sched.Attempt, resp *conns.Response, m vane.ResponseMeta) {
	t.result.slowdown = m.Load.Slowdown
	if resp.Status >= http.StatusMultipleChoices {
		h.Placer.SkipSample(att)
		t.assumed = 0 // an error says nothing about the time that the work takes
	}
}

// relayRest relays the rest of a response that is too long to be held until its end.
func (h *Handler) relayRest(ctx context.Context, w http.ResponseWriter, t *attempts, p sched.Pick, resp *conns.Response) *vane.Refusal {
	t.begun = true
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil {
			return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun).WithCause(werr)
		}
		if err == io.EOF && resp.Complete() {
			if err = h.checkEnd(ctx, t, p, resp); err == nil {
				return nil
			}
		}
		if err != nil {
			return h.responseBroken(ctx, t, p, resp, err)
		}
	}
}

// impliesNotRun reports whether callers take a status as a statement that their
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleNotRun handles the response of an upstream that refused to run the request.
func (h *Handler) handleNotRun(t *attempts, p sched.Pick, resp *conns.Response, m vane.ResponseMeta) {
	if !resp.Discard() {
		h.setAside(t, p, &conns.Error{Malformed: true, Cause: errTooLong})
	}
	h.Placer.MarkFull(clock.BootTime(), p.Upstream.Name)
	if m.WrongUpstream {
		h.UpstreamMismatch(p.Upstream)
	}
	h.Log.Info("not taken", "request_id", t.meta.ID, "upstream", p.Upstream.Name, "status", resp.Status, "weights", m.Weights, "running", m.Load.Running, "waiting", m.Load.Waiting)
}

// errTooLong is the cause if an upstream sends more than a response may hold.
var errTooLong = errors.New("the response is too long")

// responseBroken handles a response that is incomplete, malformed or too long. Unless
// the time limit or the caller ended it, the request is recorded as a possible cause
// of a crash if the connection ended, and otherwise the upstream is set aside. A
// stream that ends inside an event (io.EOF), or has something else among its events, is no
// reason for either.
func (h *Handler) responseBroken(ctx context.Context, t *attempts, p sched.Pick, resp *conns.Response, err error) *vane.Refusal {
	reason := vane.ReasonUpstreamFailed
	h.Log.Info("response broken off", "request_id", t.meta.ID, "upstream", p.Upstream.Name, "incarnation", p.Upstream.Incarnation,
		"framing", resp.Framing.String(), "request_write", resp.Written().String(), "ended", resp.Ended(), "err", err.Error())
	switch {
	case context.Cause(ctx) == errStopped:
		reason = vane.ReasonNodeLeaving
	case ctx.Err() != nil:
		reason = vane.ReasonQueueDeadline
	case err == errNotEvent, err == errNoMemory:
	case resp.Ended():
		h.recordCut(t, p.Upstream)
	case err != io.EOF:
		h.setAside(t, p, &conns.Error{Malformed: true, Cause: err})
	}
	return vane.Refuse(reason, "the response of upstream %s is incomplete, malformed or too long", p.Upstream.Name).WithExecution(vane.MayHaveRun).WithCause(err)
}

// recordServed records the metrics and the log line of a request whose response was
// relayed completely.
func (h *Handler) recordServed(t *attempts, p sched.Pick, resp *conns.Response) {
	d := time.Since(t.start)
	first, events, pause := d, 0, time.Duration(0)
	if t.relay != nil && t.relay.eventCount > 0 {
		first, events, pause = t.relay.firstAt.Sub(t.start), t.relay.eventCount, t.relay.maxGap
	}
	h.Metrics.observeServed(t.route.Name, d, first)
	if events > 1 {
		h.Metrics.observePause(t.route.Name, pause)
	}
	h.Metrics.countAnswer(t.route.Name, resp.Framing)
	h.Log.Info("answered", "request_id", t.meta.ID, "route", t.route.Name, "upstream", p.Upstream.Name, "incarnation", p.Upstream.Incarnation, "status", resp.Status, "framing", resp.Framing.String(), "request_write", resp.Written().String(),
		"attempts", t.sends, "events", events, "first_ms", first.Milliseconds(), "pause_ms", pause.Milliseconds(), "elapsed_ms", d.Milliseconds())
}
