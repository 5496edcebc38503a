package abuse_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/abuse"
	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/internal/port"
	"mustardvane.org/vane/platform"
	"mustardvane.org/vane/platform/stand"
	"mustardvane.org/vane/store"
)

// Limits of the nodes under test. The memory limit is also the bound of their resident memory,
// and the descriptor limit that of their open descriptors.
const (
	memoryMB  = 64
	maxFDs    = 400
	bodyBytes = 768 << 10
)

// clients are the numbers of clients of each load, without the limits enough to exceed the memory
// or the descriptors of a node.
var clients = map[abuse.Load]int{
	abuse.WholeBodies: 160, abuse.PartBodies: 160, abuse.LargeChunks: 160, abuse.SmallChunks: 120, abuse.DeclaredOver: 160,
	abuse.SentOver: 160, abuse.EndlessHeaders: 1000, abuse.UnreadPlain: 400, abuse.UnreadStreams: 320,
}

// mixedPart is the part of the clients of each load that come all at once in TestMixed.
const mixedPart = 2

// Bounds of the waits, long enough for a busy machine.
const (
	answerLimit  = 90 * time.Second // until an ordinary request is answered
	requestLimit = 5 * time.Second
	retryPause   = 50 * time.Millisecond
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "abuse")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "vaned")
		if out, err := exec.Command("go", "build", "-o", binary, "mustardvane.org/vane/cmd/vaned").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// limits are the limits of a node under test.
type limits struct {
	memoryMB, fds, bodyBytes int
}

// lowered are the limits of the tests with crowds.
var lowered = limits{memoryMB, maxFDs, bodyBytes}

// node is a node under test.
type node struct {
	*abuse.Process
	store       *stand.Store // nil in the product's own mode
	storeServer *httptest.Server
	callers     string   // address for callers
	others      []string // URLs of health checks, metrics and the like, which answer 200
	head        func(client int, load abuse.Load) string
}

// paths are the paths of the requests of each load, without their prefix.
var paths = map[abuse.Load]string{abuse.WholeBodies: "/safe/hold", abuse.UnreadPlain: "/safe/big", abuse.UnreadStreams: "/stream/big"}

// pathOf returns the path of a request of the load; ordinary requests have load -1.
func pathOf(load abuse.Load) string {
	if p, ok := paths[load]; ok {
		return p
	}
	return "/safe/x"
}

// upstream answers requests by their path: after a pause, with a long response, or at once.
func upstream(w http.ResponseWriter, r *http.Request) {
	// A request that is not read to its end has been withdrawn.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderResponseSeal, "i-0."+id)
	switch r.URL.Path {
	case "/v1/load":
		_, _ = io.WriteString(w, `{"incarnation":1}`)
	case "/safe/hold":
		select {
		case <-r.Context().Done():
		case <-time.After(3 * time.Second):
		}
		_, _ = io.WriteString(w, "held")
	case "/safe/big":
		_, _ = io.WriteString(w, strings.Repeat("b", 4<<20))
	case "/stream/big":
		w.Header().Set("Content-Type", "text/event-stream")
		data := strings.Repeat("b", 200<<10)
		for i := 1; i <= 32; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
				return
			}
		}
	default:
		_, _ = io.WriteString(w, "fine")
	}
}

// startPlatformNode starts a node on the users' platform with a stand-in for the store. A fdLimit
// other than zero limits the process's descriptors.
func startPlatformNode(t *testing.T, l limits, fdLimit int) *node {
	t.Helper()
	is := is.New(t)
	objects := stand.NewStore()
	storeServer := httptest.NewServer(objects)
	t.Cleanup(storeServer.Close)
	engine := stand.NewServer("i-0", &stand.RunLog{})
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" || r.URL.Path == "/order" {
			engine.ServeHTTP(w, r)
			return
		}
		upstream(w, r)
	}))
	t.Cleanup(up.Close)
	cfg := stand.Config(1)
	cfg["limits"].(map[string]any)["body-bytes"] = l.bodyBytes
	is.NoErr(objects.Put("config", "main", cfg))
	entry := engine.Entry(strings.TrimPrefix(up.URL, "http://"), "z", "ready")
	entry["slots"] = 512
	is.NoErr(objects.Put("servers", "i-0", entry))
	var ports [5]int
	for i := range 3 {
		p, err := port.Free()
		is.NoErr(err)
		ports[i] = p
	}
	internal, err := port.FreeRun(2)
	is.NoErr(err)
	ports[3], ports[4] = internal, internal+1
	set := stand.Settings("n0", strings.TrimPrefix(storeServer.URL, "http://"), ports)
	set["limits"] = map[string]any{"memory-mb": l.memoryMB, "max-fds": l.fds}
	b, err := json.Marshal(set)
	is.NoErr(err)
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	is.NoErr(os.WriteFile(file, b, 0o644))
	p, err := abuse.StartProcess(filepath.Join(dir, "log.jsonl"), []string{platform.SettingsEnv + "=" + file}, fdLimit, binary, "platform")
	is.NoErr(err)
	t.Cleanup(p.Kill)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	return &node{
		Process: p, store: objects, storeServer: storeServer, callers: at(0), others: []string{"http://" + at(1) + platform.Directory{}.ReadyPath(), "http://" + at(2) + stand.ResolvePath, "http://" + at(4) + "/metrics"},
		head: func(i int, load abuse.Load) string {
			out := "POST " + pathOf(load) + " HTTP/1.1\r\nHost: " + stand.Host + "\r\n"
			for name, v := range stand.CallerHeaders(fmt.Sprintf("c%d-%d-%d", load, i, time.Now().UnixNano()), stand.KeyA, 15000) {
				out += name + ": " + v + "\r\n"
			}
			return out
		},
	}
}

// startOwnNode starts a node with the product's own interface and a stand-in for the platform. Its
// memory limit is that of the environment, its descriptor limit that of the process.
func startOwnNode(t *testing.T, l limits) *node {
	t.Helper()
	is := is.New(t)
	platformFake := plat.New()
	platformServer := httptest.NewServer(platformFake)
	t.Cleanup(platformServer.Close)
	up := httptest.NewServer(http.HandlerFunc(upstream))
	t.Cleanup(up.Close)
	platformFake.SetHosts([]vane.Upstream{{Name: "i-0", Addr: strings.TrimPrefix(up.URL, "http://"), DataCentre: "z", Role: vane.RoleService, Service: "s", Incarnation: 1, Slots: 512}})
	fleet := &config.Fleet{
		Classes: []config.Class{{Name: "c", FirstToken: config.Duration(time.Second)}}, Models: []config.Model{{Name: "m"}},
		Services: []config.PlainService{{Name: "s"}}, Workspaces: []config.Workspace{{Name: "w", Class: "c", Rate: 1e9, Burst: 1e9, Keys: []config.Key{{ID: "k", SHA256: config.HashKey("key-of-workspace-w")}}}},
	}
	for _, p := range []string{"/safe/x", "/safe/hold", "/safe/big", "/stream/big"} {
		fleet.Services[0].Routes = append(fleet.Services[0].Routes, config.Route{Path: p, Methods: []string{http.MethodPost}, Idempotent: true, Open: true})
	}
	st := store.New(platformServer.URL)
	t.Cleanup(st.Close)
	_, err := admin.Apply(t.Context(), st, fleet, admin.AnyRevision)
	is.NoErr(err)
	var addrs [3]string
	for i := range addrs {
		p, err := port.Free()
		is.NoErr(err)
		addrs[i] = fmt.Sprintf("127.0.0.1:%d", p)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "vaned.yaml")
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, "node:\n  name: n0\n  data_centre: z\nlisten:\n  callers: %s\n  admin: %s\n  peers: %s\nplatform:\n  url: %s\npeers:\n  secret: secret-0123456789abcdef\ncallers:\n  max_body_bytes: %d\n",
		addrs[0], addrs[1], addrs[2], platformServer.URL, l.bodyBytes), 0o644))
	p, err := abuse.StartProcess(filepath.Join(dir, "log.jsonl"), []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", l.memoryMB)}, l.fds, binary, "run", "--config", file)
	is.NoErr(err)
	t.Cleanup(p.Kill)
	return &node{
		Process: p, callers: addrs[0], others: []string{"http://" + addrs[1] + "/metrics"},
		head: func(i int, load abuse.Load) string {
			return "POST /v1/services/s" + pathOf(load) + " HTTP/1.1\r\nHost: n0\r\nX-Client: " + fmt.Sprint(i) + "\r\n"
		},
	}
}

// askOnce sends one ordinary request over a new connection and returns an error unless it is
// answered.
func (n *node) askOnce(ctx context.Context) error { return n.ask(ctx, "body") }

// ask is like askOnce with another body.
func (n *node) ask(ctx context.Context, body string) error { return n.askPath(ctx, "", body) }

// askPath is like ask with another path.
func (n *node) askPath(ctx context.Context, path, body string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", n.callers)
	if err != nil {
		return err
	}
	defer conn.Close()
	if d, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(d); err != nil {
			return err
		}
	}
	head := n.head(0, -1)
	if path != "" {
		head = strings.Replace(head, pathOf(-1), path, 1)
	}
	if _, err := fmt.Fprintf(conn, "%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
		return err
	}
	b, err := io.ReadAll(conn)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(b), "HTTP/1.1 200") || !strings.Contains(string(b), "fine") {
		return fmt.Errorf("response %.200q", b)
	}
	return nil
}

// getOther returns an error unless all other URLs of the node answer 200.
func (n *node) getOther(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, u := range n.others {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if cerr := resp.Body.Close(); err != nil || cerr != nil || resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: status %d, %v", u, resp.StatusCode, errors.Join(err, cerr))
		}
	}
	return nil
}

// await repeats a check until it passes. The test fails if the process ends or time runs out.
func (n *node) await(t *testing.T, what string, check func(context.Context) error) {
	t.Helper()
	for end := time.Now().Add(answerLimit); ; time.Sleep(retryPause) {
		if err := n.Alive(); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), requestLimit)
		err := check(ctx)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v: %v", what, answerLimit, err)
		}
	}
}

// checkCrowds runs the crowds together against a node, and checks that it lives within its limits
// and still serves.
func checkCrowds(t *testing.T, n *node, crowds ...*abuse.Crowd) {
	t.Helper()
	n.await(t, "ordinary request before the load", n.askOnce)
	for _, c := range crowds {
		c.Addr, c.Head, c.BodyBytes = n.callers, n.head, bodyBytes
		c.Start(t.Context())
		defer c.Stop()
	}
	for _, c := range crowds {
		c.Settled()
	}
	n.await(t, "ordinary request during the load", n.askOnce)
	n.await(t, "health checks, directory and metrics during the load", n.getOther)
	for _, c := range crowds {
		c.Stop()
	}
	n.await(t, "ordinary request after the load", n.askOnce)
	rss, err := n.MaxRSS()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("at most %.1f MB resident and %d descriptors", float64(rss)/(1<<20), n.MaxFDs())
	if rss > memoryMB<<20 {
		t.Errorf("%.1f MB were resident, the limit is %d MB", float64(rss)/(1<<20), memoryMB)
	}
	if n.MaxFDs() > maxFDs {
		t.Errorf("%d descriptors were open, the limit is %d", n.MaxFDs(), maxFDs)
	}
}

// checkLoads runs each load against a new node.
func checkLoads(t *testing.T, start func(*testing.T) *node, loads ...abuse.Load) {
	t.Helper()
	for _, load := range loads {
		t.Run(load.String(), func(t *testing.T) {
			checkCrowds(t, start(t), &abuse.Crowd{Load: load, Clients: clients[load]})
		})
	}
}

// checkMixed runs all loads at once against a new node.
func checkMixed(t *testing.T, n *node) {
	t.Helper()
	var crowds []*abuse.Crowd
	for _, load := range abuse.Loads() {
		crowds = append(crowds, &abuse.Crowd{Load: load, Clients: clients[load] / mixedPart})
	}
	checkCrowds(t, n, crowds...)
}

// startPlatform starts a node on the users' platform with the lowered limits.
func startPlatform(t *testing.T) *node { return startPlatformNode(t, lowered, 0) }

// startOwn starts a node with the product's own interface with the lowered limits.
func startOwn(t *testing.T) *node { return startOwnNode(t, lowered) }

// The tests of loads guard against a process that holds what all callers send, or do not read,
// without a limit of the sum.

func TestPlatformWholeBodies(t *testing.T)  { checkLoads(t, startPlatform, abuse.WholeBodies) }
func TestPlatformPartBodies(t *testing.T)   { checkLoads(t, startPlatform, abuse.PartBodies) }
func TestPlatformLargeChunks(t *testing.T)  { checkLoads(t, startPlatform, abuse.LargeChunks) }
func TestPlatformSmallChunks(t *testing.T)  { checkLoads(t, startPlatform, abuse.SmallChunks) }
func TestPlatformDeclaredOver(t *testing.T) { checkLoads(t, startPlatform, abuse.DeclaredOver) }
func TestPlatformSentOver(t *testing.T)     { checkLoads(t, startPlatform, abuse.SentOver) }
func TestPlatformHeaders(t *testing.T)      { checkLoads(t, startPlatform, abuse.EndlessHeaders) }
func TestPlatformUnread(t *testing.T)       { checkLoads(t, startPlatform, abuse.UnreadPlain) }
func TestPlatformUnreadStreams(t *testing.T) {
	checkLoads(t, startPlatform, abuse.UnreadStreams)
}
func TestPlatformMixed(t *testing.T) { checkMixed(t, startPlatform(t)) }

func TestOwnWholeBodies(t *testing.T)   { checkLoads(t, startOwn, abuse.WholeBodies) }
func TestOwnPartBodies(t *testing.T)    { checkLoads(t, startOwn, abuse.PartBodies) }
func TestOwnLargeChunks(t *testing.T)   { checkLoads(t, startOwn, abuse.LargeChunks) }
func TestOwnSmallChunks(t *testing.T)   { checkLoads(t, startOwn, abuse.SmallChunks) }
func TestOwnDeclaredOver(t *testing.T)  { checkLoads(t, startOwn, abuse.DeclaredOver) }
func TestOwnSentOver(t *testing.T)      { checkLoads(t, startOwn, abuse.SentOver) }
func TestOwnHeaders(t *testing.T)       { checkLoads(t, startOwn, abuse.EndlessHeaders) }
func TestOwnUnread(t *testing.T)        { checkLoads(t, startOwn, abuse.UnreadPlain) }
func TestOwnUnreadStreams(t *testing.T) { checkLoads(t, startOwn, abuse.UnreadStreams) }
func TestOwnMixed(t *testing.T)         { checkMixed(t, startOwn(t)) }

// smallestHost are the limits of the smallest host, with the largest legal body there.
var smallestHost = limits{112, 4100, 4 << 20}

// TestLargestBody checks that a calm node on the smallest host serves the largest legal body. It
// guards against a budget that is too small for it.
func TestLargestBody(t *testing.T) {
	for _, tt := range []struct {
		name  string
		start func(*testing.T) *node
	}{
		{"platform", func(t *testing.T) *node { return startPlatformNode(t, smallestHost, 0) }},
		{"own", func(t *testing.T) *node { return startOwnNode(t, smallestHost) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := tt.start(t)
			n.await(t, "ordinary request", n.askOnce)
			body := strings.Repeat(".", smallestHost.bodyBytes)
			for range 3 {
				n.await(t, "largest body", func(ctx context.Context) error { return n.ask(ctx, body) })
			}
			rss, err := n.MaxRSS()
			is.New(t).NoErr(err)
			t.Logf("at most %.1f MB resident", float64(rss)/(1<<20))
			if rss > int64(smallestHost.memoryMB)<<20 {
				t.Errorf("%.1f MB were resident", float64(rss)/(1<<20))
			}
		})
	}
}

// storeDownClients is the number of clients in TestStoreConnection, more than the descriptors.
const storeDownClients = 1000

// TestStoreConnection checks that a node whose callers take all the descriptors that they can get
// reaches the store again after the connection to it was lost.
func TestStoreConnection(t *testing.T) {
	is := is.New(t)
	n := startPlatformNode(t, lowered, maxFDs)
	n.await(t, "ordinary request", n.askOnce)
	n.store.SetFaults(stand.Faults{Unavailable: true})
	n.storeServer.CloseClientConnections()
	c := &abuse.Crowd{Load: abuse.PartBodies, Clients: storeDownClients, Addr: n.callers, Head: n.head, BodyBytes: 1 << 10}
	c.Start(t.Context())
	defer c.Stop()
	c.Settled()
	n.storeServer.CloseClientConnections()
	n.store.SetFaults(stand.Faults{})
	is.NoErr(n.store.Put("config", "main", stand.Config(2)))
	n.await(t, "request on a new route", func(ctx context.Context) error {
		return n.askPath(ctx, stand.RoutePath(2)+"x", "body")
	})
}
