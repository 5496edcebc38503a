package front_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/front"
	"mustardvane.org/vane/linger"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/site"
)

// dialect is a vane.Dialect with a few plain headers, so that the tests do not
// depend on a platform's.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) vane.RequestMeta {
	ms, _ := strconv.Atoi(h.Get("Limit-Ms"))
	return vane.RequestMeta{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last"), TimeLimit: time.Duration(ms) * time.Millisecond}
}

func (dialect) UpstreamHeader(h http.Header, f vane.Forward) http.Header {
	out := h.Clone()
	out.Del("Key")
	out.Set("Workspace", f.Workspace)
	out.Del("Last")
	if f.LastEventID != "" {
		out.Set("Last", f.LastEventID)
	}
	return out
}

func (dialect) ParseResponse(_ int, h http.Header) vane.ResponseMeta {
	ms, _ := strconv.Atoi(h.Get("Back-In-Ms"))
	slowdown, _ := strconv.ParseFloat(h.Get("Slowdown"), 64)
	return vane.ResponseMeta{
		HasLoad: slowdown > 0, Load: vane.Load{Slowdown: slowdown}, ID: h.Get("Id"), Signed: h.Get("Sig") != "", NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != "", RetryAfter: time.Duration(ms) * time.Millisecond,
	}
}

func (dialect) ParseEventWeights([]byte) uint64 { return 0 }

// fakeLimiter admits every request unless refuse is set. It counts refunds.
type fakeLimiter struct {
	refuse  bool
	refunds atomic.Int64
}

func (o *fakeLimiter) Take(string, float64) (time.Duration, bool) {
	return 1500 * time.Millisecond, !o.refuse
}
func (o *fakeLimiter) Return(string, float64) { o.refunds.Add(1) }

// noCacheStore stands for a site without a cache store.
type noCacheStore struct{}

func (noCacheStore) Holds(string, string) bool { return false }
func (noCacheStore) Addr() (string, bool)      { return "", false }

// scriptedUpstream is an upstream whose responses are written by a responder.
type scriptedUpstream struct {
	addr         string
	listener     net.Listener
	requests     atomic.Int64
	mu           sync.Mutex
	lastEventIDs []string      // Last header of each request received
	disconnected chan struct{} // gets a value when a connection ends
	incarnation  atomic.Uint64 // of the process at the address
	replaced     atomic.Bool   // another upstream has taken over the address
	checks       atomic.Int64  // answers to checks which process runs
	silent       atomic.Bool   // the process at the address answers nothing
}

// responder writes the response to the n-th request, counted from 1, that an
// upstream received. It returns false to close the connection.
type responder func(n int, w io.Writer, id string, r *http.Request) bool

func newScriptedUpstream(t *testing.T, f responder) *scriptedUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u := &scriptedUpstream{addr: ln.Addr().String(), listener: ln, disconnected: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c, f)
		}
	}()
	return u
}

func (u *scriptedUpstream) serve(c net.Conn, f responder) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			u.disconnected <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		u.mu.Lock()
		u.lastEventIDs = append(u.lastEventIDs, req.Header.Get("Last"))
		u.mu.Unlock()
		n := int(u.requests.Add(1))
		if !f(n, c, req.Header.Get("Id"), req) {
			return
		}
	}
}

// respond sends a complete response with the given extra header lines.
func respond(status int, body string, extra ...string) responder {
	return func(_ int, w io.Writer, id string, _ *http.Request) bool {
		lines := ""
		for _, e := range extra {
			lines += e + "\r\n"
		}
		_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, lines, len(body), body)
		return err == nil
	}
}

// respondSigned sends a complete response with the test dialect's signature.
func respondSigned(status int, body string) responder { return respond(status, body, "Sig: 1") }

// respondNotRun sends a 503 that states that the request has not run.
func respondNotRun() responder { return respond(503, "", "Not-Run: 1") }

// stall closes the connection after d, without a response.
func stall(d time.Duration) responder {
	return func(int, io.Writer, string, *http.Request) bool { time.Sleep(d); return false }
}

// respondEvents responds with a stream of events. If cut is negative, the stream is
// complete, else the connection is closed after the first cut bytes of text.
func respondEvents(text string, cut int) responder {
	return func(_ int, w io.Writer, id string, _ *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		if cut >= 0 {
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", cut, text[:cut])
			time.Sleep(10 * time.Millisecond)
			return false
		}
		_, err := fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		return err == nil
	}
}

// testFront is an HTTP server with a front.Handler over scripted upstreams.
type testFront struct {
	url      string
	server   *httptest.Server
	handler  *front.Handler
	stopping atomic.Bool
	until    time.Time // time until which the front serves requests while it is stopping
	quota    *fakeLimiter
	placer   *sched.Placer
	view     *mirror.View
	crashes  *crash.Registry
	events   *event.Ring

	upstreams   []*scriptedUpstream
	partCrashes atomic.Int64 // crashes that the tracker of prompt parts counted

	mu      sync.Mutex
	results []canary.Sample
	load    func(ctx context.Context, name string) (vane.Load, bool) // answers load checks; nil if no upstream does
	checked []string                                                 // upstreams that were asked for their load
}

func (b *testFront) upstreamLoad(ctx context.Context, u vane.Upstream, _ string) (vane.Load, bool) {
	b.mu.Lock()
	b.checked = append(b.checked, u.Name)
	b.mu.Unlock()
	if b.load == nil {
		return vane.Load{}, false
	}
	return b.load(ctx, u.Name)
}

func (b *testFront) recordResult(_ vane.Upstream, _ string, s canary.Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, s)
}

// upstreamsOf returns the upstreams as a view lists them.
func upstreamsOf(ups []*scriptedUpstream) map[string]vane.Upstream {
	out := make(map[string]vane.Upstream)
	for i, u := range ups {
		name := fmt.Sprintf("u%d", i)
		out[name] = vane.Upstream{Name: name, Addr: u.addr, Service: "s", Slots: 4, DataCentre: "dc", Role: vane.RoleService, Incarnation: u.incarnation.Load()}
	}
	return out
}

// processOf returns a function that checks the processes of the upstreams.
func processOf(ups *[]*scriptedUpstream) func(context.Context, vane.Upstream, string) (uint64, vane.ProcessState) {
	return func(_ context.Context, u vane.Upstream, _ string) (uint64, vane.ProcessState) {
		for _, s := range *ups {
			if s.addr != u.Addr {
				continue
			}
			c, err := net.Dial("tcp", s.addr)
			switch {
			case err != nil:
				return 0, vane.ProcessGone
			case c.Close() != nil || s.silent.Load():
				return 0, vane.ProcessUnknown
			case s.replaced.Load():
				return 0, vane.ProcessReplaced
			}
			s.checks.Add(1)
			return s.incarnation.Load(), vane.ProcessRuns
		}
		return 0, vane.ProcessUnknown
	}
}

// setUpstreams replaces the upstreams that the placer picks from, in place of those that
// were set aside too.
func (b *testFront) setUpstreams(ups ...*scriptedUpstream) {
	b.upstreams = ups
	v := *b.view
	v.Upstreams = upstreamsOf(ups)
	b.placer.Update(&mirror.View{Config: v.Config, Upstreams: map[string]vane.Upstream{}})
	b.placer.Update(&v)
}

// newTestFront starts a front for the given upstreams. slack is the number of retries
// that its retry budget allows.
func newTestFront(t *testing.T, slack float64, ups ...*scriptedUpstream) *testFront {
	t.Helper()
	b := &testFront{quota: &fakeLimiter{}, events: event.NewRing("n", 16), upstreams: ups}
	v := &mirror.View{Upstreams: upstreamsOf(ups)}
	s := []vane.WeightedService{{Service: "s", Weight: 1}}
	v.Config = site.New(1, site.WithRoutes(
		vane.Route{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: vane.RouteUnsafe, MaxAttempts: 1, Services: s, Timeout: 10 * time.Second},
		vane.Route{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: vane.RouteSafe, MaxAttempts: 2, Services: s, Timeout: 10 * time.Second},
		vane.Route{Name: "once", Host: "h", PathPrefix: "/once/", Kind: vane.RouteStream, MaxAttempts: 2, Services: s, Timeout: 10 * time.Second},
		vane.Route{Name: "resume", Host: "h", PathPrefix: "/resume/", Kind: vane.RouteStream, Resumable: true, MaxAttempts: 2, Services: s, Timeout: 10 * time.Second},
	), site.WithServices(vane.Service{Name: "s", HealthPath: "/healthz"}), site.WithWorkspaces(vane.WorkspaceConfig{Workspace: "ws", Keys: []string{"k"}, Quota: vane.Quota{Rate: 1, Burst: 1}}))
	p := sched.New("dc", noCacheStore{})
	p.Update(v)
	b.placer, b.view, b.crashes = p, v, crash.NewRegistry(b.events)
	pool := conns.NewPool()
	t.Cleanup(pool.Close)
	w := retry.NewWindow(10*time.Second, 0, slack)
	h := front.New(front.Deps{
		RecordResult: b.recordResult, UpstreamLoad: b.upstreamLoad,
		View: func() *mirror.View { return v }, Dialect: dialect{}, Placer: p, Pool: pool, Quota: b.quota,
		Crashes: b.crashes, Parts: newParts(&b.partCrashes), RetryBudget: func(string) *retry.Window { return w },
		Draining: b.stopping.Load, Closing: func() (time.Time, bool) { return b.until, b.stopping.Load() }, WeightsChanged: func(string, uint64) {}, UpstreamMismatch: func(vane.Upstream) {}, UpstreamFailed: func(vane.Upstream) {}, UpstreamLeaving: func(vane.Upstream) {}, Process: processOf(&b.upstreams),
		Log: slog.New(slog.DiscardHandler), Metrics: front.NewMetrics(prometheus.NewRegistry()),
	})
	b.handler, b.server = h, httptest.NewUnstartedServer(h)
	b.server.Config.ConnContext = linger.ConnContext
	b.server.Start()
	t.Cleanup(b.server.Close)
	b.url = b.server.URL
	return b
}

// send sends a request with the header names and values in hdr. It returns the
// status, the headers, and the body with the error of reading it.
func (b *testFront) send(ctx context.Context, path string, hdr ...string) (int, http.Header, string, error) {
	resp, body, err := b.exchange(ctx, path, hdr...)
	if resp == nil {
		return 0, nil, "", err
	}
	return resp.StatusCode, resp.Header, body, err
}

// exchange is like send, but returns the whole response, which is nil if there was none.
// Its body has been read.
func (b *testFront) exchange(ctx context.Context, path string, hdr ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+path, strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	req.Host = "h"
	req.Header.Set("Id", "id1")
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(hdr); i += 2 {
		req.Header.Set(hdr[i], hdr[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// A 503 states that the request has not run, so it may only be sent if no upstream
// can have run it.
func TestStatusPromises(t *testing.T) {
	closeConn := func(int, io.Writer, string, *http.Request) bool { return false }
	respondHalf := func(_ int, w io.Writer, id string, _ *http.Request) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSig: 1\r\nContent-Length: 10\r\n\r\nhalf")
		return false
	}
	for _, tt := range []struct {
		name, path string
		replies    []responder
		slack      float64
		status     int
		received   int64 // requests that reached upstreams
	}{
		{"unsafe answered", "/unsafe/x", []responder{respondSigned(200, "ok")}, 5, 200, 1},
		{"unsafe failure is passed on", "/unsafe/x", []responder{respondSigned(500, "no")}, 5, 500, 1},
		{"unsafe broken off may have run", "/unsafe/x", []responder{closeConn, closeConn}, 5, 502, 1},
		{"unsafe half answered may have run", "/unsafe/x", []responder{respondHalf, respondHalf}, 5, 502, 1},
		{"unsafe shed by all has not run", "/unsafe/x", []responder{respondNotRun(), respondNotRun()}, 5, 503, 2},
		{"unsafe shed without repeats left", "/unsafe/x", []responder{respondNotRun(), respondNotRun()}, 0, 503, 1},
		{"unsafe without the upstream's signature", "/unsafe/x", []responder{respond(200, "ok")}, 5, 502, 1},
		{"safe broken off twice", "/safe/x", []responder{closeConn, closeConn}, 5, 502, 2},
		{"safe shed after it may have run", "/safe/x", []responder{closeConn, respondNotRun()}, 5, 502, 2},
		{"safe failure is repeated once", "/safe/x", []responder{respondSigned(500, "no"), respondSigned(500, "no")}, 5, 500, 2},
		{"safe failure is repeated with one repeat left", "/safe/x", []responder{respondSigned(500, "no"), respondSigned(200, "ok")}, 1, 200, 2},
		{"unsafe 503 without a statement may have run", "/unsafe/x", []responder{respond(503, "")}, 5, 502, 1},
		{"unsafe signed 503 without a statement may have run", "/unsafe/x", []responder{respondSigned(503, "busy")}, 5, 502, 1},
		{"stream shed by all", "/once/x", []responder{respondNotRun(), respondNotRun()}, 5, 503, 2},
		{"stream broken before its first event", "/once/x", []responder{respondEvents("id: 1\ndata: a\n\n", 5), respondEvents("id: 1\ndata: a\n\n", 5)}, 5, 502, 1},
		{"no such route", "/none/x", []responder{respondSigned(200, "ok")}, 5, 404, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var ups []*scriptedUpstream
			for _, f := range tt.replies {
				ups = append(ups, newScriptedUpstream(t, f))
			}
			b := newTestFront(t, tt.slack, ups...)
			status, hdr, _, err := b.send(t.Context(), tt.path)
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.Equal(hdr.Get("Retry-After") != "", tt.status == 503)
			received := int64(0)
			for _, u := range ups {
				received += u.requests.Load()
			}
			is.Equal(received, tt.received)
		})
	}
}

// If no upstream responds within the time limit, the caller gets a 504 at its end.
func TestTimeLimit(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
	}{{"/unsafe/x", 504}, {"/safe/x", 504}, {"/once/x", 504}} {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			b := newTestFront(t, 5, newScriptedUpstream(t, stall(3*time.Second)))
			begin := time.Now()
			status, _, _, err := b.send(t.Context(), tt.path, "Limit-Ms", "150")
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.True(time.Since(begin) < time.Second)
		})
	}
}

// An unknown key gets a 401, and a workspace over its quota a 429 with the time
// until the units are available.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	b := newTestFront(t, 5, newScriptedUpstream(t, respondSigned(200, "ok")))
	status, _, _, err := b.send(t.Context(), "/safe/x", "Key", "other")
	is.NoErr(err)
	is.Equal(status, 401)
	b.quota.refuse = true
	status, hdr, _, err := b.send(t.Context(), "/safe/x")
	is.NoErr(err)
	is.Equal(status, 429)
	is.Equal(hdr.Get("Retry-After"), "1.500")
}

// The quota units of a request that did not run are refunded.
func TestQuotaIsReturned(t *testing.T) {
	is := is.New(t)
	b := newTestFront(t, 5, newScriptedUpstream(t, respondNotRun()))
	_, _, _, err := b.send(t.Context(), "/safe/x")
	is.NoErr(err)
	is.Equal(b.quota.refunds.Load(), int64(1))
}

// A node that is about to stop refuses new streams with Retry-After, since they might
// not end before it stops. Other requests are still served.
func TestClosingRefusesStreams(t *testing.T) {
	is := is.New(t)
	u := newScriptedUpstream(t, respondSigned(200, "ok"))
	b := newTestFront(t, 5, u)
	b.until = time.Now().Add(time.Minute)
	b.stopping.Store(true)
	status, hdr, _, err := b.send(t.Context(), "/resume/x")
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(hdr.Get("Retry-After") != "")
	is.Equal(u.requests.Load(), int64(0))
	status, _, _, err = b.send(t.Context(), "/safe/x")
	is.NoErr(err)
	is.Equal(status, 200)
}

// Wherever a resumable stream breaks, another upstream continues it after its last
// complete event, and no event is lost or repeated.
func TestStreamGoesOn(t *testing.T) {
	for cut := 1; cut < len(streamText); cut++ {
		t.Run(strconv.Itoa(cut), func(t *testing.T) {
			is := is.New(t)
			broken := newScriptedUpstream(t, respondEvents(streamText, cut))
			next := newScriptedUpstream(t, respondRest)
			b := newTestFront(t, 5, broken, next)
			status, _, body, err := b.send(t.Context(), "/resume/x")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, streamText)
		})
	}
}

// If a stream on a route without resumption breaks, the caller gets an incomplete
// body with io.ErrUnexpectedEOF and not the events of a second run.
func TestBrokenStreamLooksBroken(t *testing.T) {
	is := is.New(t)
	b := newTestFront(t, 5, newScriptedUpstream(t, respondEvents(streamText, 20)), newScriptedUpstream(t, respondEvents(streamText, -1)))
	_, _, body, err := b.send(t.Context(), "/once/x")
	is.True(err != nil)
	is.True(strings.HasPrefix(streamText, body))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// When the caller leaves, the connection to the upstream is closed, so that it can
// stop its work, and the request is not sent again.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 4)
	u := newScriptedUpstream(t, func(_ int, w io.Writer, _ string, _ *http.Request) bool { started <- struct{}{}; return true })
	b := newTestFront(t, 5, u)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, _, _, err := b.send(ctx, "/resume/x")
	is.True(err != nil)
	select {
	case <-u.disconnected:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the upstream was still open 5 s after the caller had left")
	}
	is.Equal(u.requests.Load(), int64(1)) // the request was not sent again
}
