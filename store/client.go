package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/internal/reply"
)

// Limits of the client.
const (
	defaultTimeout   = time.Second
	defaultWatchWait = 2 * time.Second         // how long the platform holds a watch without a change
	keepAliveIdle    = time.Second             // time without traffic after which a connection is probed
	keepAlivePeriod  = 500 * time.Millisecond  // time between two probes
	keepAliveProbes  = 3                       // unanswered probes after which a connection counts as lost
	dialTimeout      = 500 * time.Millisecond  // ten times the time of a slow response of the platform
	watchSlack       = 600 * time.Millisecond  // added to a watch's wait for the client's time limit; a slow platform needs half of it
	pollWait         = 10 * time.Millisecond   // how long the platform holds a poll without a change
	pollTimeout      = 1500 * time.Millisecond // several times what a slow platform needs
	relaxedWatchWait = 15 * time.Second        // how long the platform holds a relaxed watch without a change; below the platform's limit
	maxValueBytes    = 1 << 20                 // largest value of one object
	maxHeadBytes     = 32 << 10                // longest response head, with interim responses
	maxResponseBytes = 16 << 20                // longest response body, such as a page of a list
	maxListBytes     = 64 << 20                // longest list, in all its pages
	maxListPages     = 1000                    // pages hold some hundred objects
	maxDiscardBytes  = 64 << 10                // longest body of an error that is read so that the connection can be reused
	breakerFailures  = 5                       // consecutive failures that open the circuit breaker
	breakerOpenTime  = time.Second             // time until the open breaker lets a trial call through
)

// Client is a client of the platform's object API. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	watchWait time.Duration // how long the platform holds a watch without a change
	proto     Protocol
	http      *http.Client
	breaker   *gobreaker.CircuitBreaker[*Response]
	metrics   *metrics
	onState   func(up bool) // called when the platform becomes reachable or unreachable
	onRestore func(restores uint64)
	restores  atomic.Int64 // highest number of restores that a response has stated; negative before the first response
	blocked   atomic.Bool  // whether all calls fail as if the platform were unreachable
}

var _ vane.Store = (*Client)(nil)

// Option configures a client that New builds.
type Option func(*Client)

// WithTimeout sets the time limit of a call, including its retries if it reads;
// the default is one second. Watches have their own limit.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithHTTPClient sets the HTTP client. Its Timeout must be zero, since the client
// limits each call itself.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithProtocol sets the encoding of the calls. The default is the protocol of
// docs/PLATFORM.md.
func WithProtocol(p Protocol) Option { return func(c *Client) { c.proto = p } }

// WithWatchWait sets how long the platform holds a watch without a change; the
// default is two seconds.
func WithWatchWait(d time.Duration) Option { return func(c *Client) { c.watchWait = d } }

// WithMetrics counts and times the calls in m.
func WithMetrics(m *Metrics) Option { return func(c *Client) { c.metrics = m.m } }

// WithStateFunc sets a function that is called when the platform becomes reachable
// or unreachable, that is when the circuit breaker closes or opens.
func WithStateFunc(f func(up bool)) Option { return func(c *Client) { c.onState = f } }

// WithRestoreFunc sets a function that is called when a response shows that the platform
// has come back from a copy since an earlier response. It gets the number of restores, and
// must not block.
func WithRestoreFunc(f func(restores uint64)) Option { return func(c *Client) { c.onRestore = f } }

// New returns a client of the platform at the base URL.
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:      strings.TrimSuffix(base, "/"),
		timeout:   defaultTimeout,
		watchWait: defaultWatchWait,
		proto:     native{},
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
			DialContext: (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes,
			}}).DialContext,
		}},
		metrics:   newMetrics(),
		onState:   func(bool) {},
		onRestore: func(uint64) {},
	}
	for _, o := range opts {
		o(c)
	}
	c.restores.Store(-1)
	c.breaker = gobreaker.NewCircuitBreaker[*Response](gobreaker.Settings{
		Name:         "platform",
		Timeout:      breakerOpenTime,
		ReadyToTrip:  func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= breakerFailures },
		IsSuccessful: func(err error) bool { return err == nil || errors.Is(err, context.Canceled) },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			if to != gobreaker.StateHalfOpen {
				c.onState(to == gobreaker.StateClosed)
			}
		},
	})
	return c
}

// Block makes all calls fail as if the platform were unreachable, until it is
// called with false. It exists for failure tests.
func (c *Client) Block(blocked bool) { c.blocked.Store(blocked) }

// errBlocked is the error of calls while Block is in effect.
var errBlocked = errors.New("calls to the platform are blocked for a test")

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// opWatch is the operation of calls that wait for changes.
const opWatch = "watch"

// call is one request to the platform, its operation and its time limit.
type call struct {
	Request
	op      string // operation, for errors and metrics
	timeout time.Duration
}

// do performs the call once, through the circuit breaker. Watches bypass it: a
// watch that is the breaker's trial call would block all other calls while it
// waits.
func (c *Client) do(ctx context.Context, r call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	start := time.Now()
	send := func() (*Response, error) { return c.roundTrip(ctx, r) }
	var resp *Response
	var err error
	if r.op == opWatch {
		resp, err = send()
	} else {
		resp, err = c.breaker.Execute(send)
	}
	c.metrics.observe(r.op, resp, err, time.Since(start))
	if err == nil {
		return resp, nil
	}
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return nil, vane.Errorf(vane.KindUnavailable, "store."+r.op, "check the platform; calls resume automatically", "the platform did not respond to recent calls; the circuit breaker rejects new ones").WithCause(err)
	}
	var ve *vane.Error
	if errors.As(err, &ve) {
		return nil, err
	}
	kind := vane.KindUnavailable
	if r.Method != http.MethodGet {
		kind = vane.KindUnknownOutcome
	}
	return nil, vane.Errorf(kind, "store."+r.op, "check the platform; the call is retried", "no response for %s", r.Path).WithCause(err)
}

// roundTrip sends the call and reads the whole response. A status that says that
// the platform did not serve the call becomes an error, so that the breaker counts
// it.
func (c *Client) roundTrip(ctx context.Context, r call) (*Response, error) {
	if c.blocked.Load() {
		return nil, errBlocked
	}
	u := c.base + r.Path
	if len(r.Query) > 0 {
		u += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, u, bytes.NewReader(r.Body))
	if err != nil {
		return nil, vane.Errorf(vane.KindInvalid, "store."+r.op, "correct the platform's URL", "cannot build the request").WithCause(err)
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	restores, err := c.recordRestores(r, resp.Header)
	if err != nil {
		return nil, err
	}
	if err := statusError(r, resp.StatusCode); err != nil {
		// The body is of no interest, also if it can't be read.
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
		return nil, err
	}
	body, err := reply.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Framing: conns.FramingOf(resp), Restores: restores}, nil
}

// recordRestores returns the number of restores that a response states, or the highest
// known one if it states none. The error is that of a response from before a restore that
// is already known; its contents are outdated.
func (c *Client) recordRestores(r call, h http.Header) (uint64, error) {
	n, ok := c.proto.Restores(h)
	if !ok {
		return uint64(max(0, c.restores.Load())), nil
	}
	for {
		old := c.restores.Load()
		switch {
		case int64(n) == old:
			return n, nil
		case int64(n) < old:
			kind := vane.KindUnavailable
			if r.Method != http.MethodGet {
				kind = vane.KindUnknownOutcome
			}
			return 0, vane.Errorf(kind, "store."+r.op, "the call is repeated", "the response is from before the platform came back from a copy")
		case c.restores.CompareAndSwap(old, int64(n)):
			c.metrics.restores.Set(float64(n))
			if old >= 0 {
				c.onRestore(n)
			}
			return n, nil
		}
	}
}

// outdated reports whether a version is from before a restore that is known. The revision
// in it may by now stand for something else.
func (c *Client) outdated(version uint64) bool {
	return vane.RevisionOf(version) > 0 && int64(vane.RestoresOf(version)) < c.restores.Load()
}

// statusError returns the error for a status that says that the platform did not
// serve the call, or nil. After 429 and 503 a write had no effect; after other
// server errors that is not known.
func statusError(r call, status int) error {
	kind := vane.KindUnavailable
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
	case status < http.StatusInternalServerError:
		return nil
	case r.Method != http.MethodGet:
		kind = vane.KindUnknownOutcome
	}
	return vane.Errorf(kind, "store."+r.op, "the call is retried with backoff", "the platform responded with status %d", status)
}

// Get implements vane.Store.
func (c *Client) Get(ctx context.Context, key string) (vane.Object, error) {
	resp, err := c.read(ctx, call{op: "get", Request: c.proto.Get(key)})
	if err != nil {
		return vane.Object{}, err
	}
	o, err := c.proto.DecodeGet(key, resp)
	o.Version = vane.VersionOf(resp.Restores, o.Version)
	return o, err
}

// List implements vane.Store. A list of several pages has the revision of its first
// page, so that a watch from there misses no change.
func (c *Client) List(ctx context.Context, prefix string) (vane.Batch, error) {
	var all vane.Batch
	size, page := 0, ""
	for range maxListPages {
		resp, err := c.read(ctx, call{op: "list", Request: c.proto.List(prefix, page)})
		if err != nil {
			return vane.Batch{}, err
		}
		if size += len(resp.Body); size > maxListBytes {
			break
		}
		b, next, err := c.decodeBatch(prefix, resp)
		if err != nil {
			return vane.Batch{}, err
		}
		if page == "" {
			all.Revision = b.Revision
		}
		if vane.RestoresOf(all.Revision) != resp.Restores {
			return vane.Batch{}, vane.Errorf(vane.KindUnavailable, "store.list", "the call is repeated", "the platform came back from a copy between two pages of the list")
		}
		all.Objects = append(all.Objects, b.Objects...)
		if next == "" {
			return all, nil
		}
		page = next
	}
	return vane.Batch{}, vane.Errorf(vane.KindUnavailable, "store.list", "check the platform; the call is retried", "the list of %q does not end within %d pages and %d bytes", prefix, maxListPages, maxListBytes)
}

// Watch implements vane.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
	return c.watchOnce(ctx, prefix, after, c.watchWait, c.watchWait+watchSlack, false)
}

// WatchUpTo is like Watch, but the platform holds the watch without a change for the given
// time.
func (c *Client) WatchUpTo(ctx context.Context, prefix string, after uint64, wait time.Duration) (vane.Batch, error) {
	return c.watchOnce(ctx, prefix, after, wait, wait+watchSlack, false)
}

// WatchRelaxed is like Watch, but waits longer and may return changes some seconds
// late, which costs the platform less.
func (c *Client) WatchRelaxed(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
	return c.watchOnce(ctx, prefix, after, relaxedWatchWait, relaxedWatchWait+watchSlack, true)
}

// Poll is like Watch, but hardly waits. It shows soon whether the platform answers again.
func (c *Client) Poll(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
	return c.watchOnce(ctx, prefix, after, pollWait, pollTimeout, false)
}

// watchOnce waits for one batch of changes. The platform answers after wait at the latest,
// if it is not slow, and the call is given up after timeout.
func (c *Client) watchOnce(ctx context.Context, prefix string, after uint64, wait, timeout time.Duration, relaxed bool) (vane.Batch, error) {
	if c.outdated(after) {
		return vane.Batch{}, Compacted()
	}
	x := c.proto.Watch(prefix, vane.RevisionOf(after), wait, relaxed)
	resp, err := c.do(ctx, call{op: opWatch, Request: x, timeout: timeout})
	if err != nil {
		return vane.Batch{}, err
	}
	if c.outdated(after) {
		return vane.Batch{}, Compacted()
	}
	b, _, err := c.decodeBatch(prefix, resp)
	return b, err
}

// decodeBatch decodes the response to a list or a watch.
func (c *Client) decodeBatch(prefix string, resp *Response) (vane.Batch, string, error) {
	b, next, err := c.proto.DecodeBatch(prefix, resp)
	b.Revision = vane.VersionOf(resp.Restores, b.Revision)
	for i, o := range b.Objects {
		b.Objects[i].Version = vane.VersionOf(resp.Restores, o.Version)
	}
	return b, next, err
}

// Hosts implements vane.Store.
func (c *Client) Hosts(ctx context.Context) ([]vane.Upstream, error) {
	resp, err := c.read(ctx, call{op: "hosts", Request: c.proto.Hosts()})
	if err != nil {
		return nil, err
	}
	return c.proto.DecodeHosts(resp)
}
