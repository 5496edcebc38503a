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
)

// Bounds of the client.
const (
	defaultTimeout = time.Second
	defaultWatch   = 2 * time.Second        // how long the platform holds a watch
	dialTimeout    = 500 * time.Millisecond // ten times a slow answer of the platform
	watchSlack     = 600 * time.Millisecond // added to it before the client gives up; a slow platform takes half of it
	relaxedWatch   = 15 * time.Second       // of watches that need not be prompt; below the platform's limit
	maxValue       = 1 << 20                // bytes of one object
	maxAnswer      = 64 << 20               // bytes of a list
	breakerTrips   = 5                      // consecutive failures that open the breaker
	breakerOpen    = time.Second            // until a trial call is let through
)

// Client talks to the platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	watch   time.Duration // how long the platform holds a watch
	proto   Protocol
	http    *http.Client
	breaker *gobreaker.CircuitBreaker[*Response]
	metrics *metrics
	onState func(up bool)
	cut     atomic.Bool
}

var _ vane.Store = (*Client)(nil)

// Option changes a client under construction.
type Option func(*Client)

// WithTimeout bounds every call but a watch.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithHTTPClient sets the HTTP client; its own timeout must be zero.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithProtocol sets the form of the calls. The default is the protocol of
// docs/PLATFORM.md.
func WithProtocol(p Protocol) Option { return func(c *Client) { c.proto = p } }

// WithWatchWait sets how long the platform holds a watch without a change.
func WithWatchWait(d time.Duration) Option { return func(c *Client) { c.watch = d } }

// WithMetrics counts calls in m.
func WithMetrics(m *Metrics) Option { return func(c *Client) { c.metrics = m.m } }

// WithStateFunc calls f when the platform becomes reachable or unreachable.
func WithStateFunc(f func(up bool)) Option { return func(c *Client) { c.onState = f } }

// New returns a client of the platform at the base URL.
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: defaultTimeout,
		watch:   defaultWatch,
		proto:   native{},
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		}},
		metrics: newMetrics(),
		onState: func(bool) {},
	}
	for _, o := range opts {
		o(c)
	}
	c.breaker = gobreaker.NewCircuitBreaker[*Response](gobreaker.Settings{
		Name:         "platform",
		Timeout:      breakerOpen,
		ReadyToTrip:  func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= breakerTrips },
		IsSuccessful: func(err error) bool { return err == nil || errors.Is(err, context.Canceled) },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			if to != gobreaker.StateHalfOpen {
				c.onState(to == gobreaker.StateClosed)
			}
		},
	})
	return c
}

// Block makes all calls fail as if the network to the platform were cut. It exists
// for failure tests.
func (c *Client) Block(cut bool) { c.cut.Store(cut) }

// errCut is the error of calls while the platform is cut off.
var errCut = errors.New("the platform is cut off")

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// opWatch is the operation of calls that wait for changes.
const opWatch = "watch"

// call is one exchange with the platform and its time limit.
type call struct {
	Request
	op    string
	limit time.Duration
}

// do performs the call once, through the breaker. Watches go past it: one that
// waits as the breaker's trial call would keep all other calls back.
func (c *Client) do(ctx context.Context, r call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.limit)
	defer cancel()
	start := time.Now()
	send := func() (*Response, error) { return c.roundTrip(ctx, r) }
	var a *Response
	var err error
	if r.op == opWatch {
		a, err = send()
	} else {
		a, err = c.breaker.Execute(send)
	}
	c.metrics.observe(r.op, a, err, time.Since(start))
	if err == nil {
		return a, nil
	}
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return nil, vane.Errorf(vane.KindUnavailable, "store."+r.op, "check the platform; calls resume by themselves", "the platform does not answer").WithCause(err)
	}
	var ve *vane.Error
	if errors.As(err, &ve) {
		return nil, err
	}
	kind := vane.KindUnavailable
	if r.Method != http.MethodGet {
		kind = vane.KindUnknownOutcome
	}
	return nil, vane.Errorf(kind, "store."+r.op, "check the platform; the call is retried", "no answer for %s", r.Path).WithCause(err)
}

// roundTrip sends the call and reads the whole answer. Statuses that mean that
// the platform is in trouble become errors, so that the breaker counts them.
func (c *Client) roundTrip(ctx context.Context, r call) (*Response, error) {
	if c.cut.Load() {
		return nil, errCut
	}
	u := c.base + r.Path
	if len(r.Query) > 0 {
		u += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, u, bytes.NewReader(r.Body))
	if err != nil {
		return nil, vane.Errorf(vane.KindInvalid, "store."+r.op, "correct the platform's URL", "bad request").WithCause(err)
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if err := troubled(r, resp.StatusCode); err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// troubled returns the error for a status that says that the platform did not
// serve the call. 429 and 503 promise that a write had no effect; other server
// errors leave that open.
func troubled(r call, status int) error {
	kind := vane.KindUnavailable
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
	case status < http.StatusInternalServerError:
		return nil
	case r.Method != http.MethodGet:
		kind = vane.KindUnknownOutcome
	}
	return vane.Errorf(kind, "store."+r.op, "the call is retried with backoff", "the platform answered %d", status)
}

// Get implements vane.Store.
func (c *Client) Get(ctx context.Context, key string) (vane.Object, error) {
	a, err := c.read(ctx, call{op: "get", Request: c.proto.Get(key)})
	if err != nil {
		return vane.Object{}, err
	}
	return c.proto.DecodeGet(key, a)
}

// List implements vane.Store. The revision of a list of several pages is that of
// the first, so that a watch from it misses nothing.
func (c *Client) List(ctx context.Context, prefix string) (vane.Batch, error) {
	var all vane.Batch
	for page := ""; ; {
		a, err := c.read(ctx, call{op: "list", Request: c.proto.List(prefix, page)})
		if err != nil {
			return vane.Batch{}, err
		}
		b, next, err := c.proto.DecodeBatch(prefix, a)
		if err != nil {
			return vane.Batch{}, err
		}
		if page == "" {
			all.Revision = b.Revision
		}
		all.Objects = append(all.Objects, b.Objects...)
		if next == "" {
			return all, nil
		}
		page = next
	}
}

// Watch implements vane.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
	return c.follow(ctx, prefix, after, c.watch, false)
}

// WatchRelaxed is like Watch, but waits longer and may return changes that are some
// seconds late.
func (c *Client) WatchRelaxed(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
	return c.follow(ctx, prefix, after, relaxedWatch, true)
}

// follow waits for one batch of changes.
func (c *Client) follow(ctx context.Context, prefix string, after uint64, wait time.Duration, relaxed bool) (vane.Batch, error) {
	x := c.proto.Watch(prefix, after, wait, relaxed)
	a, err := c.do(ctx, call{op: opWatch, Request: x, limit: wait + watchSlack})
	if err != nil {
		return vane.Batch{}, err
	}
	b, _, err := c.proto.DecodeBatch(prefix, a)
	return b, err
}

// Hosts implements vane.Store.
func (c *Client) Hosts(ctx context.Context) ([]vane.Upstream, error) {
	a, err := c.read(ctx, call{op: "hosts", Request: c.proto.Hosts()})
	if err != nil {
		return nil, err
	}
	return c.proto.DecodeHosts(a)
}
