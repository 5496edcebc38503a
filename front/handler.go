package front

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/sched"
)

// Bounds of requests.
const (
	defaultTimeLimit = 30 * time.Second // for a request and a route that state none
	defaultBody      = 4 << 20          // bytes
	minRetryAfter    = 50 * time.Millisecond
	busyRetryAfter   = 300 * time.Millisecond // engines make room in tenths of a second
	startRetryAfter  = 500 * time.Millisecond // a node that starts reads its configuration within it
)

// Limiter holds workspaces to their quota.
type Limiter interface {
	// Take admits units of a workspace, or says when they may be had.
	Take(workspace string, units float64) (time.Duration, bool)
	// Return gives back units of a request that did not run.
	Return(workspace string, units float64)
}

// CrashTracker knows the requests during which upstreams crashed.
type CrashTracker interface {
	Check(workspace string, fingerprint uint64) error
	Lost(workspace string, fingerprint uint64, u vane.Upstream)
	Answered(workspace string, fingerprint uint64)
}

// Deps are the parts that the handler works with.
type Deps struct {
	View             func() *mirror.View
	Dialect          vane.Dialect
	Placer           *sched.Placer
	Pool             *conns.Pool
	Quota            Limiter
	Crashes          CrashTracker
	RetryBudget      func(service string) *retry.Window
	Draining         func() bool
	RefuseStreams    func() bool                           // streams that begin now may not end before the node stops
	WeightsChanged   func(upstream string, weights uint64) // an answer showed other weights
	UpstreamMismatch func(u vane.Upstream)                 // an answer showed that an upstream is not what it was believed to be
	UpstreamFailed   func(u vane.Upstream)                 // an upstream does not answer
	Log              *slog.Logger
	Metrics          *Metrics
}

// Handler serves callers.
type Handler struct {
	Deps
	inFlight atomic.Int64
}

// New returns a handler.
func New(d Deps) *Handler { return &Handler{Deps: d} }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// call is one request of a caller.
type call struct {
	meta     vane.CallMeta
	route    vane.Route
	tenancy  vane.Tenancy
	keyed    bool
	view     *mirror.View
	service  string
	body     []byte
	begin    time.Time
	deadline time.Time
	cost     float64 // units taken from the workspace's quota
	asked    float64 // units that the request is charged
	print    uint64  // fingerprint of the request's content
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	c := &call{meta: h.Dialect.Call(r.Header), begin: time.Now(), view: h.View()}
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
	if ref := h.admit(w, r, c); ref != nil {
		h.refuse(w, c, ref)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	h.serve(ctx, w, r, c)
}

// admit checks a request and reads its body. It returns a refusal if the request
// must not be sent.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, c *call) *vane.Refusal {
	cfg := c.view.Config
	if cfg == nil {
		return vane.Refuse(vane.ReasonNotReady, "this node knows no configuration yet; ask another one").WithRetryAfter(startRetryAfter)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := cfg.Match(r.Host, path)
	if !ok || len(route.Services) == 0 {
		return vane.Refuse(vane.ReasonModelUnknown, "no route for this host and path; check both")
	}
	c.route = route
	if route.Kind == vane.RouteStream && h.RefuseStreams() {
		return vane.Refuse(vane.ReasonLeaving, "this node is stopping; ask another one").WithRetryAfter(minRetryAfter)
	}
	if cfg.Keyed() && !route.Public {
		c.tenancy, c.keyed = cfg.ByKey(c.meta.Key)
		if !c.keyed {
			return vane.Refuse(vane.ReasonKeyUnknown, "the key is not known; ask the operator for one")
		}
	}
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if c.meta.TimeLimit > 0 {
		limit = min(limit, c.meta.TimeLimit)
	}
	c.deadline = c.begin.Add(limit)
	c.service = choose(route.Services, c.meta.ID)
	if ref := readBody(w, r, c, cfg.Limits.BodyBytes); ref != nil {
		return ref
	}
	c.print = fingerprint(r, c)
	if err := h.Crashes.Check(c.tenancy.Workspace, c.print); err != nil {
		return asRefusal(err)
	}
	if c.keyed && c.tenancy.Quota.Rate > 0 {
		c.asked = c.tenancy.Quota.Cost(c.meta)
		c.cost = c.asked
		if wait, ok := h.Quota.Take(c.tenancy.Workspace, c.cost); !ok {
			c.cost = 0
			return vane.Refuse(vane.ReasonLimitRate, "workspace %s is over its rate; come back later", c.tenancy.Workspace).WithRetryAfter(max(wait, minRetryAfter))
		}
	}
	return nil
}

// readBody reads the body of a request within the configured bound.
func readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) *vane.Refusal {
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return vane.Refuse(vane.ReasonBodyTooLarge, "the body has more than %d bytes; send less", limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		c.body = body
		return nil
	}
	if _, ok := err.(*http.MaxBytesError); ok {
		return vane.Refuse(vane.ReasonBodyTooLarge, "the body has more than %d bytes; send less", limit)
	}
	return vane.Refuse(vane.ReasonCallerGone, "the body broke off").WithCause(err)
}

// choose returns the service of a request. The shares hold over many requests, and
// a request keeps its service.
func choose(shares []vane.Share, id string) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0.0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	const bits = 53
	at := total * float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
	for _, s := range shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// fingerprint identifies a request's content.
func fingerprint(r *http.Request, c *call) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(r.Method + "\x00" + r.Host + "\x00" + r.RequestURI + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// refuse answers a request that no upstream answered.
func (h *Handler) refuse(w http.ResponseWriter, c *call, ref *vane.Refusal) {
	status := ref.Status()
	if ref.Execution == vane.NotRun && c.cost > 0 {
		h.Quota.Return(c.tenancy.Workspace, c.cost)
		c.cost = 0
	}
	if ref.Execution != vane.NotRun {
		status = http.StatusBadGateway
		if ref.Reason == vane.ReasonQueueDeadline {
			status = http.StatusGatewayTimeout
		}
	}
	h.Metrics.refused(c.route.Name, ref.Reason)
	h.Log.Info("refused", "request_id", c.meta.ID, "route", c.route.Name, "workspace", c.tenancy.Workspace, "status", status,
		"reason", ref.Reason.String(), "units", c.asked, "rate", c.tenancy.Quota.Rate, "config", c.version(), "execution", ref.Execution.String(), "retry_after_ms", ref.RetryAfter.Milliseconds(),
		"elapsed_ms", time.Since(c.begin).Milliseconds(), "detail", ref.Message)
	if ref.RetryAfter > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		w.Header().Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, ref.Message, status)
}

// version returns the version of the configuration that the request was handled by.
func (c *call) version() uint64 {
	if c.view.Config == nil {
		return 0
	}
	return c.view.Config.Version
}

// asRefusal returns err as a refusal.
func asRefusal(err error) *vane.Refusal {
	if r, ok := err.(*vane.Refusal); ok {
		return r
	}
	return vane.Refuse(vane.ReasonInternal, "internal error").WithExecution(vane.MayHaveRun).WithCause(err)
}

// priorityRanks is the number of route priorities within one of the workspaces'.
const priorityRanks = 3

// priority returns the rank at an upstream: that of the workspace goes before that
// of the route.
func (c *call) priority() int {
	if !c.route.Prompted {
		return -1
	}
	p := min(c.route.Priority, priorityRanks-1)
	if c.tenancy.Ranked {
		p += priorityRanks * c.tenancy.Priority
	}
	return p
}

// query returns what the placer needs to know.
func (c *call) query(avoid []string) sched.Query {
	q := sched.Query{
		ID: c.meta.ID, Service: c.service, Model: c.meta.Model, Parts: c.meta.Parts, PromptTokens: c.meta.Prompt,
		Bytes: len(c.body), Objective: c.route.Objective, Avoid: avoid,
	}
	if c.tenancy.Isolated {
		q.CacheScope = c.tenancy.Workspace
	}
	return q
}
