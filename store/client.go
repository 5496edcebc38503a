package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
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
	watchWait      = 2 * time.Second // how long the platform holds a watch
	watchSlack     = time.Second     // added to it before the client gives up
	maxValue       = 1 << 20         // bytes of one object
	maxAnswer      = 64 << 20        // bytes of a list
	breakerTrips   = 5               // consecutive failures that open the breaker
	breakerOpen    = time.Second     // until a trial call is let through
)

// Header names of the platform's protocol.
const (
	HeaderVersion   = "Object-Version"
	HeaderIfVersion = "If-Version"
	HeaderRevision  = "Platform-Revision"
)

// Wire is the form of a list or watch answer.
type Wire struct {
	Revision uint64       `json:"revision"`
	Objects  []WireObject `json:"objects"`
}

// WireObject is the form of one object in a list or watch answer.
type WireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"` // base64 in JSON
	Deleted bool   `json:"deleted,omitempty"`
}

// Client talks to the platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	breaker *gobreaker.CircuitBreaker[*answer]
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

// WithMetrics counts calls in m.
func WithMetrics(m *Metrics) Option { return func(c *Client) { c.metrics = m.m } }

// WithStateFunc calls f when the platform becomes reachable or unreachable.
func WithStateFunc(f func(up bool)) Option { return func(c *Client) { c.onState = f } }

// New returns a client of the platform at the base URL.
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: defaultTimeout,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}},
		metrics: newMetrics(),
		onState: func(bool) {},
	}
	for _, o := range opts {
		o(c)
	}
	c.breaker = gobreaker.NewCircuitBreaker[*answer](gobreaker.Settings{
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

// Cut makes all calls fail as if the network to the platform were cut. It exists
// for failure tests.
func (c *Client) Cut(cut bool) { c.cut.Store(cut) }

// errCut is the error of calls while the platform is cut off.
var errCut = errors.New("the platform is cut off")

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// answer is a response whose body has been read.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call is one request to the platform.
type call struct {
	op     string
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	limit  time.Duration
}

// do performs the call once, through the breaker.
func (c *Client) do(ctx context.Context, r call) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.limit)
	defer cancel()
	start := time.Now()
	a, err := c.breaker.Execute(func() (*answer, error) { return c.roundTrip(ctx, r) })
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
	if r.method != http.MethodGet {
		kind = vane.KindUnknown
	}
	return nil, vane.Errorf(kind, "store."+r.op, "check the platform; the call is retried", "no answer for %s", r.path).WithCause(err)
}

// roundTrip sends the call and reads the whole answer. Statuses that mean that
// the platform is in trouble become errors, so that the breaker counts them.
func (c *Client) roundTrip(ctx context.Context, r call) (*answer, error) {
	if c.cut.Load() {
		return nil, errCut
	}
	u := c.base + r.path
	if len(r.query) > 0 {
		u += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, u, bytes.NewReader(r.body))
	if err != nil {
		return nil, vane.Errorf(vane.KindInvalid, "store."+r.op, "correct the platform's URL", "bad request").WithCause(err)
	}
	for k, v := range r.header {
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
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
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
	case r.method != http.MethodGet:
		kind = vane.KindUnknown
	}
	return vane.Errorf(kind, "store."+r.op, "the call is retried with backoff", "the platform answered %d", status)
}

// Get implements vane.Store.
func (c *Client) Get(ctx context.Context, key string) (vane.Object, error) {
	a, err := c.read(ctx, call{op: "get", path: objectPath(key)})
	if err != nil {
		return vane.Object{}, err
	}
	if a.status == http.StatusNotFound {
		return vane.Object{}, vane.Errorf(vane.KindNotFound, "store.get", "create it first", "no object %s", key)
	}
	if a.status != http.StatusOK {
		return vane.Object{}, unexpected("get", a)
	}
	v, err := version(a)
	return vane.Object{Key: key, Version: v, Value: a.body}, err
}

// List implements vane.Store.
func (c *Client) List(ctx context.Context, prefix string) (vane.Batch, error) {
	a, err := c.read(ctx, call{op: "list", path: "/v1/objects", query: url.Values{"prefix": {prefix}}})
	if err != nil {
		return vane.Batch{}, err
	}
	return batch("list", a)
}

// Watch implements vane.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (vane.Batch, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {watchWait.String()},
	}
	a, err := c.do(ctx, call{op: "watch", method: http.MethodGet, path: "/v1/watch", query: q, limit: watchWait + watchSlack})
	if err != nil {
		return vane.Batch{}, err
	}
	if a.status == http.StatusGone {
		return vane.Batch{}, vane.Errorf(vane.KindCompacted, "store.watch", "list again and watch from the list's revision", "revision %d is gone", after)
	}
	return batch("watch", a)
}

// Hosts implements vane.Store.
func (c *Client) Hosts(ctx context.Context) ([]vane.Upstream, error) {
	a, err := c.read(ctx, call{op: "hosts", path: "/v1/hosts"})
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, unexpected("hosts", a)
	}
	var ups []vane.Upstream
	if err := json.Unmarshal(a.body, &ups); err != nil {
		return nil, unexpected("hosts", a).WithCause(err)
	}
	return ups, nil
}

// batch decodes a list or watch answer.
func batch(op string, a *answer) (vane.Batch, error) {
	if a.status != http.StatusOK {
		return vane.Batch{}, unexpected(op, a)
	}
	var w Wire
	if err := json.Unmarshal(a.body, &w); err != nil {
		return vane.Batch{}, unexpected(op, a).WithCause(err)
	}
	b := vane.Batch{Revision: w.Revision, Objects: make([]vane.Object, 0, len(w.Objects))}
	for _, o := range w.Objects {
		b.Objects = append(b.Objects, vane.Object(o))
	}
	return b, nil
}

// version reads the object's version from the answer's header.
func version(a *answer) (uint64, error) {
	v, err := strconv.ParseUint(a.header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, unexpected("version", a).WithCause(err)
	}
	return v, nil
}

// unexpected reports an answer outside the protocol.
func unexpected(op string, a *answer) *vane.Error {
	return vane.Errorf(vane.KindInternal, "store."+op, "check that platform.url names an object API of this version", "unexpected answer with status %d", a.status)
}

// objectPath returns the path of an object, with each part escaped.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}
