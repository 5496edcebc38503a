package front

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/sched"
)

// Limits of requests, and the Retry-After delays of refusals.
const (
	defaultTimeLimit    = 30 * time.Second // used if neither the request nor its route states a limit
	DefaultMaxBodyBytes = 4 << 20
	minRetryAfter       = 50 * time.Millisecond
	busyRetryAfter      = 300 * time.Millisecond // engines usually free a slot within tenths of a second
	startupRetryAfter   = 500 * time.Millisecond // a starting node reads its configuration within this time
)

// Limiter enforces the quotas of workspaces.
type Limiter interface {
	// Take charges units to a workspace and returns true. If the quota does not
	// suffice, it charges nothing and returns false with the time after which the
	// units are expected to be available.
	Take(workspace string, units float64) (time.Duration, bool)
	// Return refunds the units of a request that did not run.
	Return(workspace string, units float64)
}

// CrashTracker records the requests during which upstreams crashed. Requests are
// identified by their workspace and the hash of their content.
type CrashTracker interface {
	// Check returns an error if the request is known to crash upstreams.
	Check(workspace string, fingerprint uint64) error
	// RecordCrash records that u crashed while it may have been running the request.
	RecordCrash(workspace string, fingerprint uint64, u vane.Upstream)
	// RecordSuccess clears the crashes of a request that got a complete response.
	RecordSuccess(workspace string, fingerprint uint64)
}

// Deps are the dependencies of a [Handler]. All fields but Memory are required, and all
// functions must be safe for concurrent use.
type Deps struct {
	View             func() *mirror.View // returns the current configuration and upstreams
	Dialect          vane.Dialect
	Placer           *sched.Placer
	Pool             *conns.Pool
	Quota            Limiter
	Crashes          CrashTracker
	Parts            PartTracker
	RetryBudget      func(service string) *retry.Window                                                        // returns the retry budget of a service
	Draining         func() bool                                                                               // reports whether the node is shutting down; callers are then asked to close their connections
	Closing          func() (until time.Time, ok bool)                                                         // reports whether callers know that the node stops, and until when it serves requests
	WeightsChanged   func(upstream string, weights uint64)                                                     // called when a response shows that an upstream's weights have changed
	UpstreamMismatch func(u vane.Upstream)                                                                     // called when a response shows that another upstream has the address
	UpstreamFailed   func(u vane.Upstream)                                                                     // called when an upstream can't be reached or its connection fails before a response
	Process          func(ctx context.Context, u vane.Upstream, healthPath string) (uint64, vane.ProcessState) // returns the incarnation of an upstream's process, if one runs
	UpstreamLoad     func(ctx context.Context, u vane.Upstream, healthPath string) (vane.Load, bool)           // asks an upstream for its load; false if it does not state it in time
	UpstreamLeaving  func(u vane.Upstream)                                                                     // called when a response shows that an upstream is leaving
	Memory           *memory.Budget                                                                            // bytes held for callers; nil for no limit
	RecordResult     func(u vane.Upstream, service string, s canary.Sample)                                    // called with the result of each attempt that ran
	Log              *slog.Logger
	Metrics          *Metrics
}

// Handler is the http.Handler for the callers of a node.
type Handler struct {
	Deps
	inFlight    atomic.Int64
	crashChecks crashChecks
	processes   processChecks
	waiting     waiting
	stopped     context.Context // ends when Stop is called
	stop        context.CancelFunc
}

// New returns a handler with the given dependencies.
func New(d Deps) *Handler {
	h := &Handler{Deps: d, waiting: newWaiting()}
	h.stopped, h.stop = context.WithCancel(context.Background())
	return h
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Stop ends all requests in flight: those whose response has not begun get a refusal, the
// others are broken off. It does not wait for them. The node must be closing.
func (h *Handler) Stop() { h.stop() }

// errStopped is the cause of the end of a request's context if the handler was stopped.
var errStopped = errors.New("the node has stopped")

// request is the state of one request of a caller.
type request struct {
	meta          vane.RequestMeta
	route         vane.Route
	tenancy       vane.WorkspaceConfig // zero unless authenticated is true
	authenticated bool                 // a valid key was required and presented
	view          *mirror.View         // configuration and upstreams at the request's arrival
	service       string               // service of the route that was chosen for the request
	body          []byte
	held          held // memory of the body and of the response
	start         time.Time
	deadline      time.Time
	reserved      float64  // quota units charged and not refunded
	quotaCost     float64  // quota units that the request costs; zero if its workspace has no quota
	fingerprint   uint64   // identifies the request's content in the CrashTracker
	parts         []uint64 // identifies the shared parts of the prompt in the PartTracker
	lateKeys      []uint64 // identifies the request, and these parts, once its answer has begun
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	c := &request{meta: h.Dialect.ParseRequest(r.Header), start: time.Now(), view: h.View()}
	defer c.held.close()
	if ref := h.admit(w, r, c); ref != nil {
		h.refuse(w, c, ref)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.stopped, func() { cancel(errStopped) })()
	ctx, end := context.WithDeadline(ctx, c.deadline)
	defer end()
	h.serve(ctx, w, r, c)
}

// admit checks a request, reads its body and charges the workspace's quota. It
// returns a refusal if the request must not be sent.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, c *request) *vane.Refusal {
	cfg := c.view.Config
	if cfg == nil {
		return vane.Refuse(vane.ReasonNotReady, "this node has no configuration yet; use another node").WithRetryAfter(startupRetryAfter)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := cfg.Match(r.Host, path)
	if !ok || len(route.Services) == 0 {
		return vane.Refuse(vane.ReasonModelUnknown, "no route for this host and path; check both")
	}
	c.route = route
	if cfg.RequiresKeys() && !route.Public {
		c.tenancy, c.authenticated = cfg.WorkspaceByKey(c.meta.Key)
		if !c.authenticated {
			return vane.Refuse(vane.ReasonKeyUnknown, "the API key is not known; ask the operator for a valid one")
		}
	}
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if c.meta.TimeLimit > 0 {
		limit = min(limit, c.meta.TimeLimit)
	}
	c.deadline = c.start.Add(limit)
	if until, ok := h.Closing(); ok && (route.Kind == vane.RouteStream || c.deadline.After(until)) {
		return vane.Refuse(vane.ReasonNodeLeaving, "this node is stopping; use another node").WithRetryAfter(minRetryAfter)
	}
	if sched.RegionsOf(route.Regions, c.tenancy.Regions).Empty() {
		return vane.Refuse(vane.ReasonNoUpstream, "route %s allows the regions %v and workspace %s the regions %v; no region is in both", route.Name, route.Regions, c.tenancy.Workspace, c.tenancy.Regions)
	}
	c.service = chooseService(route.Services, c.meta.ID)
	if ref := h.readBody(w, r, c, cfg.Limits.BodyBytes); ref != nil {
		return ref
	}
	c.fingerprint = fingerprint(r, c)
	if err := h.Crashes.Check(c.tenancy.Workspace, c.fingerprint); err != nil {
		return asRefusal(err)
	}
	c.parts = crash.SharedParts(c.service, c.meta.Parts)
	c.lateKeys = crash.LateKeys(c.tenancy.Workspace, c.fingerprint, c.parts)
	if ref := h.checkParts(c, c.start); ref != nil {
		return ref
	}
	if c.authenticated && c.tenancy.Quota.Rate > 0 {
		c.quotaCost = c.tenancy.Quota.Cost(c.meta)
		c.reserved = c.quotaCost
		if wait, ok := h.Quota.Take(c.tenancy.Workspace, c.reserved); !ok {
			c.reserved = 0
			return vane.Refuse(vane.ReasonLimitRate, "workspace %s is over its request rate; retry later", c.tenancy.Workspace).WithRetryAfter(max(wait, minRetryAfter))
		}
	}
	return nil
}

// chooseService picks one of a route's services in proportion to their weights. The
// choice is made by a hash of the request id, so that a repeated request goes to the
// same service. Negative weights count as zero.
func chooseService(shares []vane.WeightedService, id string) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0.0
	for _, s := range shares {
		total += max(0, s.Weight)
	}
	const bits = 53 // precision of a float64
	at := total * float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
	for _, s := range shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// fingerprint returns a hash of a request's method, host, target and body.
func fingerprint(r *http.Request, c *request) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest's write methods never return an error.
	_, _ = d.WriteString(r.Method + "\x00" + r.Host + "\x00" + r.RequestURI + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// refuse answers a request for which no response can be relayed, and refunds its
// units if it did not run. If it may have run, the status is 502, or 504 after the
// time limit, since other statuses could state that it did not run.
func (h *Handler) refuse(w http.ResponseWriter, c *request, ref *vane.Refusal) {
	status := ref.Status()
	if ref.Execution == vane.NotRun && c.reserved > 0 {
		h.Quota.Return(c.tenancy.Workspace, c.reserved)
		c.reserved = 0
	}
	if ref.Execution != vane.NotRun {
		status = http.StatusBadGateway
		if ref.Reason == vane.ReasonQueueDeadline {
			status = http.StatusGatewayTimeout
		}
	}
	h.Metrics.countRefused(c.route.Name, ref.Reason)
	h.Log.Info("refused", "request_id", c.meta.ID, "route", c.route.Name, "workspace", c.tenancy.Workspace, "status", status,
		"reason", ref.Reason.String(), "units", c.quotaCost, "rate", c.tenancy.Quota.Rate, "config", c.configVersion(), "execution", ref.Execution.String(), "retry_after_ms", ref.RetryAfter.Milliseconds(),
		"elapsed_ms", time.Since(c.start).Milliseconds(), "detail", ref.Message)
	if ref.RetryAfter > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		w.Header().Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.closeIfDraining(w)
	http.Error(w, ref.Message, status)
}

// configVersion returns the version of the configuration that applies to the
// request, or zero if there is none.
func (c *request) configVersion() uint64 {
	if c.view.Config == nil {
		return 0
	}
	return c.view.Config.Version
}

// asRefusal returns err itself if it is a refusal, else an internal error that
// wraps it. Since the cause is unknown, the latter says that the request may have
// run.
func asRefusal(err error) *vane.Refusal {
	if r, ok := err.(*vane.Refusal); ok {
		return r
	}
	return vane.Refuse(vane.ReasonInternal, "internal error").WithExecution(vane.MayHaveRun).WithCause(err)
}

// routePriorityLevels is the number of route priorities within each workspace
// priority.
const routePriorityLevels = 3

// priority returns the rank of the request in an upstream's queue, where 0 is
// served first. The priority of the workspace outranks that of the route. The rank is
// -1, for none, if the route has no prompts.
func (c *request) priority() int {
	if !c.route.HasPrompts {
		return -1
	}
	return c.rank()
}

// rank returns the rank of the request among those that want the same upstreams, where 0 is
// served first.
func (c *request) rank() int {
	p := min(c.route.Priority, routePriorityLevels-1)
	if c.tenancy.HasPriority {
		p += routePriorityLevels * c.tenancy.Priority
	}
	return p
}

// placementQuery returns the properties by which the placer picks an upstream.
// avoid names the upstreams that must not be picked.
func (c *request) placementQuery(avoid []string) sched.Query {
	q := sched.Query{
		ID: c.meta.ID, Service: c.service, Model: c.meta.Model, Parts: c.meta.Parts, PromptTokens: c.meta.PromptTokens,
		Bytes: len(c.body), Objective: c.route.LatencyTarget, Avoid: avoid, Regions: sched.RegionsOf(c.route.Regions, c.tenancy.Regions),
	}
	if c.tenancy.Isolated {
		q.CacheScope = c.tenancy.Workspace
	}
	return q
}
