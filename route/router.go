package route

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/hosts"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/stream"
)

// Bounds of an attempt.
const (
	dialTimeout    = time.Second
	firstFactor    = 4                // first-token targets that an attempt may take
	firstMin       = 2 * time.Second  // but at least this long
	gapTimeout     = 10 * time.Second // silence in a stream
	totalTime      = 10 * time.Minute // of a job with all its attempts
	maxAnswer      = 64 << 20         // bytes of a plain answer
	idlePerHost    = 256
	defaultPrefill = 2000 // tokens a second, the slowest prefill that is waited for
	minGaps        = 5    // events that make the time between tokens worth comparing
)

// Router runs the attempts of requests. It is safe for concurrent use.
type Router struct {
	placer vane.Placer
	dir    *hosts.Directory
	rec    vane.Recorder
	budget *retry.Budget
	secret string
	http   *http.Client // keeps connections
	once   *http.Client // a new connection for each request
	moves  Versions
}

// Versions decides which version of a model's weights a request goes to, and is
// told what came of it.
type Versions interface {
	// Choose returns the versions that may serve the request, in order. An empty
	// version stands for any.
	Choose(model string, id [16]byte) []string
	// Observe takes the outcome of an attempt.
	Observe(model string, s canary.Sample)
}

// anyVersion takes all versions as equal.
type anyVersion struct{}

// Choose implements Versions.
func (anyVersion) Choose(string, [16]byte) []string { return []string{""} }

// Observe implements Versions.
func (anyVersion) Observe(string, canary.Sample) {}

// Option changes a router under construction.
type Option func(*Router)

// WithSecret sets the secret that cache salts are derived with.
func WithSecret(s string) Option { return func(r *Router) { r.secret = s } }

// WithBudget sets the budget of repeats.
func WithBudget(b *retry.Budget) Option { return func(r *Router) { r.budget = b } }

// WithVersions sets what decides between versions of a model.
func WithVersions(v Versions) Option { return func(r *Router) { r.moves = v } }

// New returns a router.
func New(placer vane.Placer, dir *hosts.Directory, rec vane.Recorder, opts ...Option) *Router {
	r := &Router{placer: placer, dir: dir, rec: rec, budget: retry.NewBudget(), moves: anyVersion{}}
	r.http = &http.Client{Transport: transport(false), CheckRedirect: noRedirect}
	r.once = &http.Client{Transport: transport(true), CheckRedirect: noRedirect}
	for _, o := range opts {
		o(r)
	}
	return r
}

// transport returns a transport to upstreams. Requests that may not be repeated
// use connections of their own: on a kept one, the client library would send a
// request again when the connection turns out to be closed.
func transport(single bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DisableKeepAlives:   single,
	}
}

// noRedirect keeps answers of upstreams as they are.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops idle connections.
func (rt *Router) Close() {
	rt.http.CloseIdleConnections()
	rt.once.CloseIdleConnections()
}

// attempt is one try of a job at one upstream.
type attempt struct {
	job    *Job
	query  vane.Query
	pick   vane.Pick
	sent   time.Time
	mark   sentMark
	first  time.Duration // until the first token; zero before it
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// errStalled cancels an attempt that is silent for too long.
var errStalled = errors.New("the upstream is silent; another one is tried")

// begin chooses an upstream and opens an attempt.
func (rt *Router) begin(ctx context.Context, j *Job, avoid []string) (*attempt, context.Context, error) {
	now := time.Now()
	q, pick, ok := rt.choose(now, j, avoid)
	if !ok {
		return nil, nil, vane.Refuse(vane.ReasonNoUpstream, "no live upstream serves model %q; retry later or check the list of hosts", j.Model).
			WithRetryAfter(time.Second)
	}
	actx, cancel := context.WithCancelCause(ctx)
	a := &attempt{job: j, query: q, pick: pick, sent: now, cancel: cancel}
	a.timer = time.AfterFunc(firstLimit(j), func() { cancel(errStalled) })
	rt.placer.Sent(now, q, pick)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.mark.got.Store(true) }}
	return a, httptrace.WithClientTrace(actx, trace), nil
}

// choose picks an upstream of the first version that has one. After a failure of
// the new version the old one is tried first.
func (rt *Router) choose(now time.Time, j *Job, avoid []string) (vane.Query, vane.Pick, bool) {
	versions := rt.moves.Choose(j.Model, j.ID)
	if len(avoid) > 0 {
		versions = slices.Clone(versions)
		slices.Reverse(versions)
	}
	q := vane.Query{Model: j.Model, Prompt: j.Prompt, Avoid: avoid}
	for _, v := range versions {
		q.Version = v
		if pick, ok := rt.placer.Pick(now, q); ok {
			return q, pick, true
		}
	}
	return q, vane.Pick{}, false
}

// observe tells the outcome of an attempt. Attempts that never ran, or whose
// caller left, say nothing about the version.
func (rt *Router) observe(a *attempt, ref *vane.Refusal, u stream.Usage, events int) {
	if ref != nil && (ref.Execution == vane.NotRun || ref.Reason == vane.ReasonCallerGone || ref.Reason == vane.ReasonUpstreamRejected) {
		return
	}
	s := canary.Sample{Version: a.pick.Upstream.Version, Route: a.job.Workspace, Failed: ref != nil, First: a.first}
	s.Uncached = a.job.Prompt.Tokens
	if u.Cached >= 0 {
		s.Uncached = max(0, u.Prompt-u.Cached)
	}
	if events > minGaps && a.first > 0 {
		s.Gap = (time.Since(a.sent) - a.first) / time.Duration(events-1)
	}
	rt.moves.Observe(a.job.Model, s)
}

// firstLimit returns how long the first token may take before the attempt is
// given up. A long prompt gets the time that a slow prefill needs.
func firstLimit(j *Job) time.Duration {
	prefill := time.Duration(j.Prompt.Tokens) * time.Second / defaultPrefill
	return max(firstMin, firstFactor*j.Target) + prefill
}

// end closes an attempt. cached is negative if it is not known.
func (rt *Router) end(a *attempt, cached int) {
	a.timer.Stop()
	a.cancel(nil)
	rt.placer.Done(time.Now(), a.query, a.pick, vane.Outcome{First: a.first, Cached: cached})
}

// first notes the first token of an attempt.
func (rt *Router) first(a *attempt) {
	a.first = time.Since(a.sent)
	rt.placer.First(time.Now(), a.query, a.pick)
	if a.job.Notify.First != nil && !a.job.begun {
		a.job.begun = true
		a.job.Notify.First(time.Since(a.job.Begin))
	}
}

// send sends the attempt's request and checks the status of the answer.
func (rt *Router) send(ctx context.Context, a *attempt, streamed bool, offset, maxTokens int) (*http.Response, error) {
	req, err := rt.request(ctx, a.job, a.pick.Upstream, streamed, offset, maxTokens)
	if err != nil {
		return nil, vane.Refuse(vane.ReasonInternal, "the request could not be built").WithCause(err)
	}
	resp, err := rt.http.Do(req)
	if err != nil {
		return nil, rt.sendError(ctx, a, err)
	}
	rt.learn(a.pick.Upstream, resp.Header)
	if err := rt.checkStatus(a, resp); err != nil {
		drainBody(resp.Body)
		return nil, err
	}
	return resp, nil
}

// sendError classes a request without an answer.
func (rt *Router) sendError(ctx context.Context, a *attempt, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		err = cause
	}
	return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s did not answer", a.pick.Upstream.Name).
		WithExecution(a.mark.execution()).WithCause(err)
}

// checkStatus classes an answer that is not 200.
func (rt *Router) checkStatus(a *attempt, resp *http.Response) error {
	name := a.pick.Upstream.Name
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		// By the upstreams' protocol these say that nothing was run.
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s takes no new work", name)
	case resp.StatusCode >= http.StatusInternalServerError:
		return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s answered %d", name, resp.StatusCode).WithExecution(vane.MayHaveRun)
	default:
		return vane.Refuse(vane.ReasonUpstreamRejected, "upstream %s rejected the request with status %d; correct its fields", name, resp.StatusCode).
			WithExecution(vane.MayHaveRun)
	}
}

// learn takes what an upstream says about itself on an answer.
func (rt *Router) learn(u vane.Upstream, h http.Header) {
	if inc, ok := incarnation(h); ok && inc != u.Incarnation {
		rt.dir.Saw(u.Name, inc)
		return
	}
	var l vane.Load
	running, waiting, found := strings.Cut(h.Get(headerLoad), "/")
	l.Running, _ = strconv.Atoi(running)
	l.Waiting, _ = strconv.Atoi(waiting)
	l.Draining = h.Get(headerDraining) != ""
	if found || l.Draining {
		rt.dir.TakeLoad(u.Name, u.Incarnation, l)
	}
}

// failed notes a failed attempt and decides what follows.
func (rt *Router) failed(ctx context.Context, j *Job, a *attempt, n int, ref *vane.Refusal) retry.Verdict {
	now := time.Now()
	rt.placer.Failed(now, a.pick.Upstream.Name)
	left := totalTime - now.Sub(j.Begin)
	v := retry.Decide(retry.Attempt{Number: n, Execution: ref.Execution, Idempotent: true, Left: left}, rt.budget, now)
	if ctx.Err() != nil {
		v = retry.Verdict{Reason: vane.ReasonCallerGone}
	}
	if v.Again {
		rt.rec.Record(vane.Event{
			What: vane.EventRerouted, Reason: ref.Reason, Workspace: j.Workspace, Request: j.RequestID(),
			Subject: a.pick.Upstream.Name, Have: float64(n), Want: retry.MaxAttempts,
		})
	}
	return v
}

// refusal returns err as a refusal.
func refusal(err error) *vane.Refusal {
	var r *vane.Refusal
	if errors.As(err, &r) {
		return r
	}
	return vane.Refuse(vane.ReasonInternal, "unexpected failure").WithExecution(vane.MayHaveRun).WithCause(err)
}

// worst returns the execution that is true after two attempts.
func worst(a, b vane.Execution) vane.Execution { return max(a, b) }

// streamRefusal turns a broken stream into a refusal.
func streamRefusal(u vane.Upstream, err error) *vane.Refusal {
	r := vane.Refuse(vane.ReasonUpstreamFailed, "the stream of upstream %s broke; repeat the request with Last-Event-ID to go on", u.Name)
	switch stream.KindOf(err) {
	case stream.KindEmpty:
		r.Reason = vane.ReasonUpstreamEmpty
	case stream.KindWrongID:
		r.Reason = vane.ReasonUpstreamCrossed
	case stream.KindCallerGone:
		r.Reason = vane.ReasonCallerGone
	}
	return r.WithExecution(vane.MayHaveRun).WithCause(err)
}

// readAll reads a plain answer within its bound.
func readAll(body io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		return nil, vane.Refuse(vane.ReasonUpstreamFailed, "the answer is larger than %d bytes; ask for fewer tokens", maxAnswer).WithExecution(vane.MayHaveRun)
	}
	return b, err
}
