package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/claim"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/entry"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/hosts"
	"mustardvane.org/vane/linger"
	"mustardvane.org/vane/queue"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/route"
	"mustardvane.org/vane/store"
	"mustardvane.org/vane/stream"
	"mustardvane.org/vane/target"
)

// scriptedUpstream is an upstream, engine and plain service in one, whose responses are
// written by a responder.
type scriptedUpstream struct {
	addr     string
	requests atomic.Int64 // without those for its load
}

// responder writes the response to a request. first is set for the first request over a
// connection. It returns false to close the connection.
type responder func(c net.Conn, r *http.Request, first bool) bool

func newScriptedUpstream(t *testing.T, f responder) *scriptedUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u := &scriptedUpstream{addr: ln.Addr().String()}
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
	for first := true; ; first = false {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == "/v1/load" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"incarnation\":1}")
			return
		}
		u.requests.Add(1)
		if !f(c, r, first) {
			return
		}
	}
}

// firstPlacer picks the first upstream that is not excluded.
type firstPlacer struct {
	mu  sync.Mutex
	ups []vane.Upstream
}

func (p *firstPlacer) Update(_ time.Time, ups []vane.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ups = ups
}

func (p *firstPlacer) Pick(_ time.Time, q vane.Query) (vane.Pick, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.ups {
		if u.Role == vane.RoleEngine && !slices.Contains(q.Exclude, u.Name) {
			return vane.Pick{Upstream: u}, true
		}
	}
	return vane.Pick{}, false
}

func (*firstPlacer) RecordSent(time.Time, vane.Query, vane.Pick)               {}
func (*firstPlacer) RecordFirstToken(time.Time, vane.Query, vane.Pick)         {}
func (*firstPlacer) RecordDone(time.Time, vane.Query, vane.Pick, vane.Outcome) {}
func (*firstPlacer) RecordFailure(time.Time, string)                           {}
func (*firstPlacer) RecordLoad(time.Time, string, vane.Load)                   {}

// unlimited is a vane.Limiter and a vane.Reservation without a limit.
type unlimited struct{}

func (unlimited) Reserve(context.Context, string, int) (vane.Reservation, error) {
	return unlimited{}, nil
}
func (unlimited) Settle(int) {}

// newTestServer starts a server over the upstreams, each of which is an engine of model m and
// an instance of service s. Its routes are /safe and /unsafe; the key is k.
func newTestServer(t *testing.T, ups ...*scriptedUpstream) *httptest.Server {
	t.Helper()
	methods := []string{"GET", "HEAD", "POST"}
	view := config.NewView(&config.Fleet{
		Classes:    []config.Class{{Name: "c", FirstToken: config.Duration(30 * time.Second)}},
		Models:     []config.Model{{Name: "m"}},
		Services:   []config.PlainService{{Name: "s", Routes: []config.Route{{Path: "/safe", Methods: methods, Idempotent: true}, {Path: "/unsafe", Methods: methods}}}},
		Workspaces: []config.Workspace{{Name: "w", Class: "c", Rate: 1e9, Burst: 1e9, Keys: []config.Key{{ID: "k", SHA256: config.HashKey("k")}}}},
	}, 1)
	events := event.NewRing("n", 16)
	st := store.New("http://platform", store.WithHTTPClient(&http.Client{Transport: plat.NewTransport(plat.New(), 1)}))
	placer := &firstPlacer{}
	dir := hosts.New(st, placer, events)
	var list []vane.Upstream
	for i, u := range ups {
		name := string(rune('a' + i))
		list = append(list,
			vane.Upstream{Name: "engine-" + name, Addr: u.addr, Role: vane.RoleEngine, Model: "m", Incarnation: 1},
			vane.Upstream{Name: "service-" + name, Addr: u.addr, Role: vane.RoleService, Service: "s", Incarnation: 1})
	}
	dir.SetUpstreams(list)
	rt := route.New(placer, dir, events, route.WithBudget(retry.NewBudget(retry.WithShare(10))))
	t.Cleanup(rt.Close)
	s := entry.New(entry.Deps{
		View: func() *config.View { return view }, KeyFreshness: func() (bool, string) { return true, "" },
		Router: rt, Gate: queue.NewGate(queue.NewScheduler(), 1024), Limiter: unlimited{},
		Claims: claim.NewRegistry(st, "n", events), Crashes: crash.NewRegistry(events), Signer: stream.NewSigner("secret"),
		Recorder: events, EntryAddresses: func(string) []entry.Address { return nil }, Targets: target.NewTracker(),
	})
	srv := httptest.NewUnstartedServer(s.Handler())
	srv.Config.ConnContext = linger.ConnContext
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}
