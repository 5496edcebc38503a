package route

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/hosts"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/stream"
)

// Limits of attempts and connections.
const (
	dialTimeout       = time.Second
	firstTokenFactor  = 4                // an attempt may wait this many first-token targets for its first token
	minFirstTokenWait = 2 * time.Second  // lower bound of that product, before the prefill time is added
	gapTimeout        = 10 * time.Second // longest time without data in a stream
	jobTimeout        = 10 * time.Minute // longest duration of a job over all its attempts
	maxHeadBytes      = 32 << 10         // longest response head, with interim responses
	maxResponseBytes  = 64 << 20         // largest response that is not streamed
	maxIdlePerHost    = 256
	slowPrefillRate   = 2000 // tokens per second; the slowest prefill that an attempt waits for
	minEvents         = 5    // events needed for a meaningful time between tokens
)

// Router runs the attempts of requests. It is safe for concurrent use.
type Router struct {
	placer    vane.Placer
	dir       *hosts.Directory
	recorder  vane.Recorder
	budget    *retry.Budget
	secret    string
	reused    *http.Client // reuses connections
	singleUse *http.Client // uses a new connection for each request
	policy    VersionPolicy
	held      heldBytes // of responses that are read whole
}

// VersionPolicy decides which version of a model's weights serves a request, and is
// told the outcome. Implementations must be safe for concurrent use.
type VersionPolicy interface {
	// Choose returns the versions that may serve the request, in order of preference.
	// An empty version stands for any.
	Choose(model string, id [16]byte) []string
	// Observe takes the outcome of an attempt.
	Observe(model string, s canary.Sample)
}

// anyVersion is the policy that does not distinguish between versions.
type anyVersion struct{}

// Choose implements VersionPolicy.
func (anyVersion) Choose(string, [16]byte) []string { return []string{""} }

// Observe implements VersionPolicy.
func (anyVersion) Observe(string, canary.Sample) {}

// Option configures a router in [New].
type Option func(*Router)

// WithSecret sets the secret from which cache salts are derived.
func WithSecret(s string) Option { return func(r *Router) { r.secret = s } }

// WithBudget sets the retry budget.
func WithBudget(b *retry.Budget) Option { return func(r *Router) { r.budget = b } }

// WithVersionPolicy sets the policy that chooses between versions of a model.
func WithVersionPolicy(v VersionPolicy) Option { return func(r *Router) { r.policy = v } }

// WithMaxIdle limits the idle connections to all upstreams together, so that they leave
// descriptors for others.
func WithMaxIdle(n int) Option {
	return func(r *Router) { r.reused.Transport.(noUpgrade).MaxIdleConns = n }
}

// New returns a router. Without options it has a default retry budget, no secret, and
// treats all versions of a model as equal.
func New(placer vane.Placer, dir *hosts.Directory, rec vane.Recorder, opts ...Option) *Router {
	r := &Router{placer: placer, dir: dir, recorder: rec, budget: retry.NewBudget(), policy: anyVersion{}}
	r.reused = &http.Client{Transport: noUpgrade{transport(false)}, CheckRedirect: noRedirect}
	r.singleUse = &http.Client{Transport: noUpgrade{transport(true)}, CheckRedirect: noRedirect}
	for _, o := range opts {
		o(r)
	}
	return r
}

// transport returns a transport to upstreams. Requests that must not be sent twice use
// single-use connections: on a reused one, net/http sends a request again if the
// connection turns out to be closed.
func transport(single bool) *http.Transport {
	return &http.Transport{
		DialContext:         dialUpstream(),
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DisableKeepAlives:   single,
		// Without this limit a head may have 10 MB.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// noUpgrade is a transport that fails if an upstream switches protocols (status 101), which
// no request asks for. What follows has no framing of HTTP, so that its end shows nothing.
type noUpgrade struct{ *http.Transport }

// errUpgrade is the error of a request whose upstream switched protocols.
var errUpgrade = errors.New("the upstream switched protocols without being asked")

// RoundTrip implements http.RoundTripper.
func (t noUpgrade) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, errUpgrade
	}
	return resp, err
}

// noRedirect returns redirects of upstreams to the caller instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (rt *Router) Close() {
	rt.reused.CloseIdleConnections()
	rt.singleUse.CloseIdleConnections()
}

// attempt is one try of a job at one upstream.
type attempt struct {
	job        *Job
	query      vane.Query
	pick       vane.Pick
	sentAt     time.Time
	conn       connTracker
	firstToken time.Duration // time from sentAt to the first token; zero before it
	cancel     context.CancelCauseFunc
	timer      *time.Timer // cancels the attempt with errStalled if no data arrives in time
}

// errStalled is the cancellation cause of an attempt that received no data for too
// long.
var errStalled = errors.New("the upstream sent no data within the time limit")

// begin chooses an upstream and starts an attempt. The returned context belongs to it.
func (rt *Router) begin(ctx context.Context, j *Job, avoid []string) (*attempt, context.Context, error) {
	now := time.Now()
	q, pick, ok := rt.choose(now, j, avoid)
	if !ok {
		return nil, nil, vane.Refuse(vane.ReasonNoUpstream, "no live upstream serves model %q; retry later or check the list of hosts", j.Model).
			WithRetryAfter(time.Second)
	}
	actx, cancel := context.WithCancelCause(ctx)
	a := &attempt{job: j, query: q, pick: pick, sentAt: now, cancel: cancel}
	a.timer = time.AfterFunc(firstTokenLimit(j), func() { cancel(errStalled) })
	rt.placer.RecordSent(now, q, pick)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.conn.connected.Store(true) }}
	return a, httptrace.WithClientTrace(actx, trace), nil
}

// choose picks an upstream of the first version that has one. After a failed attempt,
// the versions are tried in reverse order, so that a new version is tried last.
func (rt *Router) choose(now time.Time, j *Job, avoid []string) (vane.Query, vane.Pick, bool) {
	versions := rt.policy.Choose(j.Model, j.ID)
	if len(avoid) > 0 {
		versions = slices.Clone(versions)
		slices.Reverse(versions)
	}
	q := vane.Query{Model: j.Model, Prompt: j.Prompt, Exclude: avoid}
	for _, v := range versions {
		q.Version = v
		if pick, ok := rt.placer.Pick(now, q); ok {
			return q, pick, true
		}
	}
	return q, vane.Pick{}, false
}

// observe reports the outcome of an attempt to the version policy. It ignores attempts
// that never ran or whose caller left, since they say nothing about the version.
func (rt *Router) observe(a *attempt, ref *vane.Refusal, u stream.Usage, events int) {
	if ref != nil && (ref.Execution == vane.NotRun || ref.Reason == vane.ReasonCallerGone || ref.Reason == vane.ReasonUpstreamRejected) {
		return
	}
	s := canary.Sample{At: time.Now(), Version: a.pick.Upstream.Version, Route: a.job.Workspace, Failed: ref != nil, FirstToken: a.firstToken}
	s.UncachedTokens = a.job.Prompt.Tokens
	if u.Cached >= 0 {
		s.UncachedTokens = max(0, u.Prompt-u.Cached)
	}
	if events > minEvents && a.firstToken > 0 {
		s.TokenGap = (time.Since(a.sentAt) - a.firstToken) / time.Duration(events-1)
	}
	rt.policy.Observe(a.job.Model, s)
}

// firstTokenLimit returns how long an attempt waits for the first token. It includes
// the time that a slow prefill of the prompt needs.
func firstTokenLimit(j *Job) time.Duration {
	prefill := time.Duration(j.Prompt.Tokens) * time.Second / slowPrefillRate
	return max(minFirstTokenWait, firstTokenFactor*j.FirstTokenTarget) + prefill
}

// end finishes an attempt. cached is negative if it is not known.
func (rt *Router) end(a *attempt, cached int) {
	a.timer.Stop()
	a.cancel(nil)
	rt.placer.RecordDone(time.Now(), a.query, a.pick, vane.Outcome{TimeToFirstToken: a.firstToken, CachedTokens: cached})
}

// recordFirstToken records the first token of an attempt and reports the first of the
// job.
func (rt *Router) recordFirstToken(a *attempt) {
	a.firstToken = time.Since(a.sentAt)
	rt.placer.RecordFirstToken(time.Now(), a.query, a.pick)
	if a.job.Callbacks.OnFirstToken != nil && !a.job.firstTokenSeen {
		a.job.firstTokenSeen = true
		a.job.Callbacks.OnFirstToken(time.Since(a.job.Begin))
	}
}

// send sends the attempt's request and checks the status of the response.
func (rt *Router) send(ctx context.Context, a *attempt, streamed bool, offset, maxTokens int) (*http.Response, error) {
	req, err := rt.request(ctx, a.job, a.pick.Upstream, streamed, offset, maxTokens)
	if err != nil {
		return nil, vane.Refuse(vane.ReasonInternal, "the request could not be built").WithCause(err)
	}
	resp, err := rt.reused.Do(req)
	if err != nil {
		return nil, rt.sendError(ctx, a, err)
	}
	rt.learnFromHeader(a.pick.Upstream, resp.Header)
	if err := rt.checkStatus(a, resp); err != nil {
		drainBody(resp.Body)
		return nil, err
	}
	return resp, nil
}

// sendError returns the refusal for a request that got no response.
func (rt *Router) sendError(ctx context.Context, a *attempt, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		err = cause
	}
	return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s did not respond", a.pick.Upstream.Name).
		WithExecution(a.conn.execution()).WithCause(err)
}

// checkStatus returns nil for status 200, and a refusal for any other one.
func (rt *Router) checkStatus(a *attempt, resp *http.Response) error {
	name := a.pick.Upstream.Name
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		// By the upstream protocol, these two statuses mean that the request was not
		// run.
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s takes no new work", name)
	case resp.StatusCode >= http.StatusInternalServerError:
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s responded with status %d", name, resp.StatusCode).WithExecution(vane.MayHaveRun)
	default:
		return vane.Refuse(vane.ReasonUpstreamRejected, "upstream %s rejected the request with status %d; correct its fields", name, resp.StatusCode).
			WithExecution(vane.MayHaveRun)
	}
}

// learnFromHeader records the incarnation and the load that an upstream reports in the
// headers of a response.
func (rt *Router) learnFromHeader(u vane.Upstream, h http.Header) {
	if inc, ok := incarnation(h); ok && inc != u.Incarnation {
		rt.dir.ObserveIncarnation(u.Name, inc)
		return
	}
	l, known := load(h)
	l.Draining = h.Get(headerDraining) != ""
	switch {
	case known:
		rt.dir.ReportLoad(u.Name, u.Incarnation, l)
	case l.Draining:
		rt.dir.MarkDraining(u.Name, u.Incarnation)
	}
}

// handleFailure records a failed attempt and decides whether to retry.
func (rt *Router) handleFailure(ctx context.Context, j *Job, a *attempt, n int, ref *vane.Refusal) retry.Decision {
	now := time.Now()
	rt.placer.RecordFailure(now, a.pick.Upstream.Name)
	left := jobTimeout - now.Sub(j.Begin)
	v := retry.Decide(retry.Attempt{Number: n, Execution: ref.Execution, Idempotent: true, Left: left}, rt.budget, now)
	if ctx.Err() != nil {
		v = retry.Decision{Reason: vane.ReasonCallerGone}
	}
	if v.Retry {
		rt.recorder.Record(vane.Event{
			Kind: vane.EventRerouted, Reason: ref.Reason, Workspace: j.Workspace, RequestID: j.RequestID(),
			Subject: a.pick.Upstream.Name, Observed: float64(n), Threshold: retry.MaxAttempts,
		})
	}
	return v
}

// refusal returns err as a refusal. An error of another type becomes a refusal with
// ReasonInternal that says that the request may have run.
func refusal(err error) *vane.Refusal {
	var r *vane.Refusal
	if errors.As(err, &r) {
		return r
	}
	return vane.Refuse(vane.ReasonInternal, "internal error; report the request id to the operator").WithExecution(vane.MayHaveRun).WithCause(err)
}

// worse returns the execution state that holds for two attempts together.
func worse(a, b vane.Execution) vane.Execution { return max(a, b) }

// streamRefusal returns the refusal for a response that is incomplete or invalid.
func streamRefusal(u vane.Upstream, err error) *vane.Refusal {
	r := vane.Refuse(vane.ReasonUpstreamFailed, "the stream of upstream %s broke; repeat the request with Last-Event-ID to go on", u.Name)
	switch stream.KindOf(err) {
	case stream.KindEmpty:
		r.Reason = vane.ReasonUpstreamEmpty
	case stream.KindWrongID:
		r.Reason = vane.ReasonUpstreamWrongID
	case stream.KindCallerGone:
		r.Reason = vane.ReasonCallerGone
	}
	return r.WithExecution(vane.MayHaveRun).WithCause(err)
}
