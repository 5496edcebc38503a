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
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/front"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/site"
)

// dialect is a dialect of its own, so that the tests need no platform.
type dialect struct{}

func (dialect) Call(h http.Header) vane.CallMeta {
	ms, _ := strconv.Atoi(h.Get("Limit-Ms"))
	return vane.CallMeta{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"), TimeLimit: time.Duration(ms) * time.Millisecond}
}

func (dialect) Outgoing(h http.Header, f vane.Forward) http.Header {
	out := h.Clone()
	out.Del("Key")
	out.Set("Workspace", f.Workspace)
	out.Del("Last")
	if f.LastEvent != "" {
		out.Set("Last", f.LastEvent)
	}
	return out
}

func (dialect) Answer(_ int, h http.Header) vane.AnswerMeta {
	return vane.AnswerMeta{ID: h.Get("Id"), Signed: h.Get("Sig") != "", NotRun: h.Get("Not-Run") != ""}
}

func (dialect) WeightsOf([]byte) uint64 { return 0 }

// open admits everything and counts what it was given back.
type open struct {
	refuse   bool
	returned atomic.Int64
}

func (o *open) Take(string, float64) (time.Duration, bool) { return 1500 * time.Millisecond, !o.refuse }
func (o *open) Return(string, float64)                     { o.returned.Add(1) }

// noStore is a cache store that does not exist.
type noStore struct{}

func (noStore) Holds(string, string) bool { return false }
func (noStore) Addr() (string, bool)      { return "", false }

// upstream is a scripted upstream.
type upstream struct {
	addr string
	runs atomic.Int64
	mu   sync.Mutex
	last []string // Last headers that it got
	gone chan struct{}
}

// reply scripts the answer to the n-th request on an upstream. It returns false to
// close the connection.
type reply func(n int, w io.Writer, id string, r *http.Request) bool

func newUpstream(t *testing.T, f reply) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u := &upstream{addr: ln.Addr().String(), gone: make(chan struct{}, 16)}
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

func (u *upstream) serve(c net.Conn, f reply) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			u.gone <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		u.mu.Lock()
		u.last = append(u.last, req.Header.Get("Last"))
		u.mu.Unlock()
		n := int(u.runs.Add(1))
		if !f(n, c, req.Header.Get("Id"), req) {
			return
		}
	}
}

func whole(status int, body string, extra ...string) reply {
	return func(_ int, w io.Writer, id string, _ *http.Request) bool {
		lines := ""
		for _, e := range extra {
			lines += e + "\r\n"
		}
		_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, lines, len(body), body)
		return err == nil
	}
}

func signed(status int, body string) reply { return whole(status, body, "Sig: 1") }

func shed() reply { return whole(503, "", "Not-Run: 1") }

func silent(d time.Duration) reply {
	return func(int, io.Writer, string, *http.Request) bool { time.Sleep(d); return false }
}

// events answers with a stream; a negative cut sends it whole, else it breaks off
// after so many bytes.
func events(text string, cut int) reply {
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

// bed is a front over scripted upstreams.
type bed struct {
	url     string
	closing atomic.Bool
	quota   *open
}

func newBed(t *testing.T, slack float64, ups ...*upstream) *bed {
	t.Helper()
	b := &bed{quota: &open{}}
	v := &mirror.View{Upstreams: map[string]vane.Upstream{}}
	for i, u := range ups {
		name := fmt.Sprintf("u%d", i)
		v.Upstreams[name] = vane.Upstream{Name: name, Addr: u.addr, Service: "s", Slots: 4, DataCentre: "dc", Role: vane.RoleService}
	}
	s := []vane.Share{{Service: "s", Weight: 1}}
	v.Config = site.New(1, site.WithRoutes(
		vane.Route{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: vane.RouteUnsafe, MaxAttempts: 1, Services: s, Timeout: 2 * time.Second},
		vane.Route{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: vane.RouteSafe, MaxAttempts: 2, Services: s, Timeout: 2 * time.Second},
		vane.Route{Name: "once", Host: "h", PathPrefix: "/once/", Kind: vane.RouteStream, MaxAttempts: 2, Services: s, Timeout: 2 * time.Second},
		vane.Route{Name: "resume", Host: "h", PathPrefix: "/resume/", Kind: vane.RouteStream, Resumable: true, MaxAttempts: 2, Services: s, Timeout: 2 * time.Second},
	), site.WithTenancies(vane.Tenancy{Workspace: "ws", Keys: []string{"k"}, Quota: vane.Quota{Rate: 1, Burst: 1}}))
	p := sched.New("dc", noStore{})
	p.Update(v)
	pool := conns.NewPool()
	t.Cleanup(pool.Close)
	w := retry.NewWindow(10*time.Second, 0, slack)
	h := front.New(front.Deps{
		View: func() *mirror.View { return v }, Dialect: dialect{}, Placer: p, Pool: pool, Quota: b.quota,
		Crashes: crash.NewRegistry(event.NewRing("n", 16)), RetryBudget: func(string) *retry.Window { return w },
		Draining: b.closing.Load, RefuseStreams: b.closing.Load, WeightsChanged: func(string, uint64) {}, UpstreamMismatch: func(vane.Upstream) {}, UpstreamFailed: func(vane.Upstream) {},
		Log: slog.New(slog.DiscardHandler), Metrics: front.NewMetrics(prometheus.NewRegistry()),
	})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	b.url = srv.URL
	return b
}

// ask sends a request and returns the status, the headers, and the body or the
// error of reading it.
func (b *bed) ask(ctx context.Context, path string, hdr ...string) (int, http.Header, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+path, strings.NewReader("body"))
	if err != nil {
		return 0, nil, "", err
	}
	req.Host = "h"
	req.Header.Set("Id", "id1")
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(hdr); i += 2 {
		req.Header.Set(hdr[i], hdr[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body), err
}

// What a status promises must be true: 503 only if nothing can have run.
func TestStatusPromises(t *testing.T) {
	broke := func(int, io.Writer, string, *http.Request) bool { return false }
	half := func(_ int, w io.Writer, id string, _ *http.Request) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSig: 1\r\nContent-Length: 10\r\n\r\nhalf")
		return false
	}
	for _, tt := range []struct {
		name, path string
		replies    []reply
		slack      float64
		status     int
		runs       int64 // requests that reached upstreams
	}{
		{"unsafe answered", "/unsafe/x", []reply{signed(200, "ok")}, 5, 200, 1},
		{"unsafe failure is passed on", "/unsafe/x", []reply{signed(500, "no")}, 5, 500, 1},
		{"unsafe broken off may have run", "/unsafe/x", []reply{broke, broke}, 5, 502, 1},
		{"unsafe half answered may have run", "/unsafe/x", []reply{half, half}, 5, 502, 1},
		{"unsafe shed by all has not run", "/unsafe/x", []reply{shed(), shed()}, 5, 503, 2},
		{"unsafe shed without repeats left", "/unsafe/x", []reply{shed(), shed()}, 0, 503, 1},
		{"unsafe without the upstream's signature", "/unsafe/x", []reply{whole(200, "ok")}, 5, 502, 1},
		{"safe broken off twice", "/safe/x", []reply{broke, broke}, 5, 502, 2},
		{"safe shed after it may have run", "/safe/x", []reply{broke, shed()}, 5, 502, 2},
		{"safe failure is repeated once", "/safe/x", []reply{signed(500, "no"), signed(500, "no")}, 5, 500, 2},
		{"safe failure is repeated with one repeat left", "/safe/x", []reply{signed(500, "no"), signed(200, "ok")}, 1, 200, 2},
		{"unsafe 503 without a statement may have run", "/unsafe/x", []reply{whole(503, "")}, 5, 502, 1},
		{"unsafe signed 503 without a statement may have run", "/unsafe/x", []reply{signed(503, "busy")}, 5, 502, 1},
		{"stream shed by all", "/once/x", []reply{shed(), shed()}, 5, 503, 2},
		{"stream broken before its first event", "/once/x", []reply{events("id: 1\ndata: a\n\n", 5), events("id: 1\ndata: a\n\n", 5)}, 5, 502, 1},
		{"no such route", "/none/x", []reply{signed(200, "ok")}, 5, 404, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var ups []*upstream
			for _, f := range tt.replies {
				ups = append(ups, newUpstream(t, f))
			}
			b := newBed(t, tt.slack, ups...)
			status, hdr, _, err := b.ask(t.Context(), tt.path)
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.Equal(hdr.Get("Retry-After") != "", tt.status == 503)
			runs := int64(0)
			for _, u := range ups {
				runs += u.runs.Load()
			}
			is.Equal(runs, tt.runs)
		})
	}
}

func TestTimeLimit(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
	}{{"/unsafe/x", 504}, {"/safe/x", 504}, {"/once/x", 504}} {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t, 5, newUpstream(t, silent(3*time.Second)))
			begin := time.Now()
			status, _, _, err := b.ask(t.Context(), tt.path, "Limit-Ms", "150")
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.True(time.Since(begin) < time.Second)
		})
	}
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 5, newUpstream(t, signed(200, "ok")))
	status, _, _, err := b.ask(t.Context(), "/safe/x", "Key", "other")
	is.NoErr(err)
	is.Equal(status, 401)
	b.quota.refuse = true
	status, hdr, _, err := b.ask(t.Context(), "/safe/x")
	is.NoErr(err)
	is.Equal(status, 429)
	is.Equal(hdr.Get("Retry-After"), "1.500")
}

// Units of a request that did not run are given back.
func TestQuotaIsReturned(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 5, newUpstream(t, shed()))
	_, _, _, err := b.ask(t.Context(), "/safe/x")
	is.NoErr(err)
	is.Equal(b.quota.returned.Load(), int64(1))
}

// A stopping node takes no stream that could outlast it, and says so.
func TestClosingRefusesStreams(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, signed(200, "ok"))
	b := newBed(t, 5, u)
	b.closing.Store(true)
	status, hdr, _, err := b.ask(t.Context(), "/resume/x")
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(hdr.Get("Retry-After") != "")
	is.Equal(u.runs.Load(), int64(0))
	status, _, _, err = b.ask(t.Context(), "/safe/x")
	is.NoErr(err)
	is.Equal(status, 200)
}

const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// A broken stream goes on after its last whole event; no piece is lost or doubled,
// wherever it broke.
func TestStreamGoesOn(t *testing.T) {
	second := func(u *upstream) reply {
		return func(n int, w io.Writer, id string, r *http.Request) bool {
			rest := text
			if last := r.Header.Get("Last"); last != "" {
				_, rest, _ = strings.Cut(text, "id: "+last+"\n")
				_, rest, _ = strings.Cut(rest, "\n\n")
			}
			return events(rest, -1)(n, w, id, r)
		}
	}
	for cut := 1; cut < len(text); cut++ {
		t.Run(strconv.Itoa(cut), func(t *testing.T) {
			is := is.New(t)
			broken := newUpstream(t, events(text, cut))
			next := newUpstream(t, second(nil))
			b := newBed(t, 5, broken, next)
			status, _, body, err := b.ask(t.Context(), "/resume/x")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, text)
		})
	}
}

// A stream that must not run twice ends visibly broken.
func TestBrokenStreamLooksBroken(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 5, newUpstream(t, events(text, 20)), newUpstream(t, events(text, -1)))
	_, _, body, err := b.ask(t.Context(), "/once/x")
	is.True(err != nil)
	is.True(strings.HasPrefix(text, body))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// An upstream stops working as soon as the caller has left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 4)
	u := newUpstream(t, func(_ int, w io.Writer, _ string, _ *http.Request) bool { started <- struct{}{}; return true })
	b := newBed(t, 5, u)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, _, _, err := b.ask(ctx, "/resume/x")
	is.True(err != nil)
	select {
	case <-u.gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream was not told")
	}
	is.Equal(u.runs.Load(), int64(1)) // and the request was not repeated
}
