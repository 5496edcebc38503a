package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/sched"
)

// Bounds of attempts.
const (
	maxSends  = 4                     // upstreams that are asked for one request, those that refuse it included
	minLeft   = 15 * time.Millisecond // less time than this is not worth an attempt
	maxAnswer = 16 << 20              // bytes of a plain answer
)

// errAborted ends the handler with a broken connection, so that the caller does
// not take what it has for a whole answer.
var errAborted = http.ErrAbortHandler

// run is the state of a request over its attempts.
type run struct {
	*call
	sends int  // upstreams that the request was sent to
	runs  int  // of these, the ones on which it may have run
	paid  bool // the next attempt has been taken from the share of repeats
	avoid []string
	relay *relay // of a stream; nil until its head was sent
	last  *vane.Refusal
}

// serve sends the request to upstreams until one answers or nothing more may be
// tried.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	t := &run{call: c}
	h.RetryBudget(c.service).Fresh(c.begin)
	for {
		pick, ok := h.Placer.Pick(time.Now(), c.query(t.avoid))
		if !ok {
			h.give(w, t, t.refusal(vane.Refuse(vane.ReasonNoUpstream, "no upstream of service %s takes requests now", c.service).WithRetryAfter(busyRetryAfter)))
			return
		}
		ref := h.attempt(ctx, w, r, t, pick)
		if ref == nil {
			h.Crashes.Answered(c.tenancy.Workspace, c.print)
			return
		}
		t.last = ref
		t.avoid = append(t.avoid, pick.Upstream.Name)
		h.Log.Info("attempt failed", "request_id", c.meta.ID, "route", c.route.Name, "upstream", pick.Upstream.Name, "attempt", t.sends,
			"reason", ref.Reason.String(), "execution", ref.Execution.String(), "elapsed_ms", time.Since(c.begin).Milliseconds(), "detail", ref.Error())
		if final := h.again(ctx, t, ref); final != nil {
			h.give(w, t, final)
			return
		}
	}
}

// again returns the final refusal, or nil if the request may be sent once more.
func (h *Handler) again(ctx context.Context, t *run, ref *vane.Refusal) *vane.Refusal {
	if ref.Execution != vane.NotRun {
		t.runs++
	}
	now := time.Now()
	switch {
	case ctx.Err() == context.Canceled:
		return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun)
	case !now.Before(t.deadline.Add(-minLeft)):
		final := vane.Refuse(vane.ReasonQueueDeadline, "no answer within the time limit").WithRetryAfter(busyRetryAfter)
		return t.refusal(final)
	case ref.Execution != vane.NotRun && (!t.route.Idempotent() || t.runs >= t.route.MaxAttempts):
		return ref
	case t.sends >= maxSends:
		return t.refusal(ref)
	}
	if ref.Reason == vane.ReasonNoUpstream {
		return nil // nothing was sent, so that the next attempt is no repeat
	}
	if t.paid {
		t.paid = false
		return nil
	}
	if !h.RetryBudget(t.service).Take(now) {
		return t.refusal(vane.Refuse(vane.ReasonRetryBudget, "the share of repeats is used up").WithRetryAfter(busyRetryAfter))
	}
	return nil
}

// refusal returns ref with what is known of the execution over all attempts.
func (t *run) refusal(ref *vane.Refusal) *vane.Refusal {
	if t.runs > 0 {
		return ref.WithExecution(vane.MayHaveRun)
	}
	return ref
}

// give ends a request without a whole answer.
func (h *Handler) give(w http.ResponseWriter, t *run, ref *vane.Refusal) {
	if t.relay != nil {
		h.Metrics.refused(t.route.Name, ref.Reason)
		h.Log.Info("stream broken off", "request_id", t.meta.ID, "route", t.route.Name, "events", t.relay.events, "reason", ref.Reason.String(),
			"elapsed_ms", time.Since(t.begin).Milliseconds())
		panic(errAborted)
	}
	if ref.Reason == vane.ReasonCallerGone {
		h.Log.Info("caller left", "request_id", t.meta.ID, "route", t.route.Name, "elapsed_ms", time.Since(t.begin).Milliseconds())
		panic(errAborted)
	}
	h.refuse(w, t.call, ref)
}

// attempt sends the request to one upstream and relays the answer.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, t *run, p sched.Pick) *vane.Refusal {
	q := t.query(nil)
	ticket := h.Placer.Begin(time.Now(), q, p)
	defer func() { h.Placer.End(time.Now(), ticket) }()
	f := vane.Forward{
		Workspace: t.tenancy.Workspace, TimeLimit: time.Until(t.deadline), Upstream: p.Upstream.Name, Weights: p.Weights,
		Priority: t.priority(), CacheSalt: p.Salt, FetchFrom: p.FetchFrom, SaveTo: p.SaveTo, LastEvent: t.meta.LastEvent,
	}
	if t.relay != nil && t.relay.lastID != "" {
		f.LastEvent = t.relay.lastID
	}
	h.Log.Info("sent", "request_id", t.meta.ID, "route", t.route.Name, "workspace", t.tenancy.Workspace, "upstream", p.Upstream.Name,
		"weights", p.Weights, "config", t.view.Config.Version, "price", p.Cost, "estimate_ms", p.Estimate.Milliseconds(),
		"load_age_ms", min(p.LoadAge, time.Hour).Milliseconds(), "fetch", p.FetchFrom, "save", p.SaveTo != "", "missing", p.UncachedTokens,
		"shared", p.SharedTokens, "stored", p.StoredTokens, "copies", p.Holders, "held", p.HoldsShared, "left_ms", f.TimeLimit.Milliseconds())
	maxIdle := conns.DefaultMaxIdle
	if t.route.Idempotent() {
		maxIdle = time.Minute
	}
	ans, err := h.Pool.Do(ctx, conns.Request{
		Addr: p.Upstream.Addr, Upstream: p.Upstream.Name, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: h.Dialect.Outgoing(r.Header, f), Body: t.body, MaxIdle: maxIdle,
		Match: func(status int, hd http.Header) bool {
			m := h.Dialect.Answer(status, hd)
			return m.ID == t.meta.ID || m.ID == "" && m.NotRun
		},
	})
	if err != nil {
		return h.unanswered(ctx, t, p, err)
	}
	defer ans.Close()
	return h.answered(ctx, w, t, p, ticket, ans)
}

// unanswered takes account of an exchange without an answer.
func (h *Handler) unanswered(ctx context.Context, t *run, p sched.Pick, err error) *vane.Refusal {
	var ce *conns.Error
	if !errors.As(err, &ce) || ce.ContextDone {
		t.sends++
		return vane.Refuse(vane.ReasonUpstreamSlow, "upstream %s did not answer in time", p.Upstream.Name).WithExecution(execution(ce)).WithCause(err)
	}
	aside := h.Placer.RecordFailure(time.Now(), p.Upstream.Name)
	h.UpstreamFailed(p.Upstream)
	h.Pool.CloseIdle(p.Upstream.Addr, p.Upstream.Name)
	h.Log.Warn("upstream set aside", "request_id", t.meta.ID, "upstream", p.Upstream.Name, "dial", ce.Dial, "aside_ms", aside.Milliseconds(), "cause", ce.Cause.Error())
	if ce.Dial {
		return vane.Refuse(vane.ReasonNoUpstream, "upstream %s accepts no connection", p.Upstream.Name).WithCause(err)
	}
	t.sends++
	if ce.Sent && ctx.Err() == nil {
		h.Crashes.Lost(t.tenancy.Workspace, t.print, p.Upstream)
	}
	return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s broke off", p.Upstream.Name).WithExecution(execution(ce)).WithCause(err)
}

// execution returns what a failed exchange says about the request.
func execution(ce *conns.Error) vane.Execution {
	if ce != nil && !ce.Sent {
		return vane.NotRun
	}
	return vane.MayHaveRun
}

// answered relays an answer, or says why it is of no use.
func (h *Handler) answered(ctx context.Context, w http.ResponseWriter, t *run, p sched.Pick, ticket *sched.Attempt, ans *conns.Response) *vane.Refusal {
	t.sends++
	m := h.Dialect.Answer(ans.Status, ans.Header)
	if h.Placer.Observe(time.Now(), p.Upstream.Name, m) {
		h.WeightsChanged(p.Upstream.Name, m.Weights)
	}
	if m.NotRun {
		h.notRun(t, p, ans, m)
		return vane.Refuse(vane.ReasonUpstreamFull, "upstream %s did not take the request (status %d)", p.Upstream.Name, ans.Status).WithRetryAfter(busyRetryAfter)
	}
	if t.route.Kind == vane.RouteStream && ans.Status < http.StatusMultipleChoices {
		return h.stream(ctx, w, t, p, ticket, ans)
	}
	if t.relay != nil {
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s did not go on with the stream (status %d)", p.Upstream.Name, ans.Status).WithExecution(vane.MayHaveRun)
	}
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer || !ans.Complete() {
		return h.broken(ctx, t, p, err)
	}
	h.Placer.FirstByte(time.Now(), ticket)
	if ans.Status >= http.StatusInternalServerError && t.route.Idempotent() && t.runs+1 < t.route.MaxAttempts && h.RetryBudget(t.service).Take(time.Now()) {
		t.paid = true
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s answered %d", p.Upstream.Name, ans.Status).WithExecution(vane.Ran)
	}
	if promises(ans.Status) {
		// Passed on, the status would say that the request has not run, which the
		// upstream does not state.
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s answered %d", p.Upstream.Name, ans.Status).WithExecution(vane.MayHaveRun)
	}
	if !m.Signed && ans.Status < http.StatusMultipleChoices {
		return vane.Refuse(vane.ReasonUpstreamCrossed, "the answer of upstream %s is not its own", p.Upstream.Name).WithExecution(vane.MayHaveRun)
	}
	copyHeader(w.Header(), ans.Header)
	w.WriteHeader(ans.Status)
	// A caller that has left is noticed by the server; the answer is delivered as
	// far as it goes.
	_, _ = w.Write(body)
	h.served(t, p, ans.Status)
	return nil
}

// promises says whether a status tells a caller that its request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// notRun takes account of an upstream that did not take the request.
func (h *Handler) notRun(t *run, p sched.Pick, ans *conns.Response, m vane.AnswerMeta) {
	// The body of a refusal is of no use, but the connection is.
	_, _ = io.CopyN(io.Discard, ans.Body, maxAnswer)
	h.Placer.MarkFull(time.Now(), p.Upstream.Name)
	if m.Wrong {
		h.UpstreamMismatch(p.Upstream)
	}
	h.Log.Info("not taken", "request_id", t.meta.ID, "upstream", p.Upstream.Name, "status", ans.Status, "weights", m.Weights, "running", m.Load.Running, "waiting", m.Load.Waiting)
}

// broken takes account of an answer that broke off.
func (h *Handler) broken(ctx context.Context, t *run, p sched.Pick, err error) *vane.Refusal {
	reason := vane.ReasonUpstreamFailed
	if ctx.Err() != nil {
		reason = vane.ReasonQueueDeadline
	} else {
		h.Crashes.Lost(t.tenancy.Workspace, t.print, p.Upstream)
	}
	return vane.Refuse(reason, "the answer of upstream %s broke off", p.Upstream.Name).WithExecution(vane.MayHaveRun).WithCause(err)
}

// served counts an answered request.
func (h *Handler) served(t *run, p sched.Pick, status int) {
	d := time.Since(t.begin)
	first, events, pause := d, 0, time.Duration(0)
	if t.relay != nil {
		first, events, pause = t.relay.first.Sub(t.begin), t.relay.events, t.relay.pause
	}
	h.Metrics.served(t.route.Name, d, first)
	h.Log.Info("answered", "request_id", t.meta.ID, "route", t.route.Name, "upstream", p.Upstream.Name, "status", status,
		"attempts", t.sends, "events", events, "first_ms", first.Milliseconds(), "pause_ms", pause.Milliseconds(), "elapsed_ms", d.Milliseconds())
}

// connHeaders hold for one connection only, or are set by the HTTP server.
var connHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyHeader copies the headers of an answer.
func copyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	for _, name := range connHeaders {
		if name == "Connection" && dst.Get(name) == "close" && src.Get(name) == "" {
			continue // set by this node, which is leaving
		}
		dst.Del(name)
	}
	if src.Get("Content-Type") == "" {
		dst["Content-Type"] = nil // otherwise the server guesses one
	}
}
