package edge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/edge"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/internal/port"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/site"
	"mustardvane.org/vane/store"
)

// waitTimeout bounds the waits of these tests. No test draws conclusions from how long
// a wait takes.
const waitTimeout = 30 * time.Second

// decoder reads objects in the native format.
type decoder struct{}

func (decoder) ConfigPrefix() string   { return "config/" }
func (decoder) UpstreamPrefix() string { return "upstreams/" }
func (decoder) WeightsPrefix() string  { return "weights/" }
func (decoder) RolloutPrefix() string  { return "rollouts/" }

func (decoder) Config(o vane.Object) (*site.Config, bool) {
	var v struct {
		Version uint64       `json:"version"`
		Routes  []vane.Route `json:"routes"`
	}
	if json.Unmarshal(o.Value, &v) != nil {
		return nil, false
	}
	return site.New(v.Version, site.WithRoutes(v.Routes...), site.WithServices(vane.Service{Name: "llm", HealthPath: "/health"})), true
}

func (decoder) Upstream(o vane.Object) (vane.Upstream, bool) {
	var u vane.Upstream
	return u, json.Unmarshal(o.Value, &u) == nil
}

func (decoder) Weights(o vane.Object) (vane.TargetWeights, bool) {
	var w vane.TargetWeights
	return w, json.Unmarshal(o.Value, &w) == nil
}

func (decoder) Rollout(o vane.Object) (vane.Rollout, bool) {
	var r vane.Rollout
	return r, json.Unmarshal(o.Value, &r) == nil
}

// dialect implements the minimum that a request needs.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) vane.RequestMeta {
	m := vane.RequestMeta{ID: h.Get("Id"), Model: "m"}
	for _, id := range h["Part"] {
		m.Parts = append(m.Parts, vane.PromptPart{ID: id, Tokens: 100})
	}
	return m
}
func (dialect) UpstreamHeader(h http.Header, _ vane.Forward) http.Header {
	return http.Header{"Id": h["Id"], "Part": h["Part"]}
}
func (dialect) ParseResponse(_ int, h http.Header) vane.ResponseMeta {
	return vane.ResponseMeta{ID: h.Get("Id"), Signed: true}
}
func (dialect) ParseEventWeights([]byte) uint64 { return 0 }

// directory answers with a plain list of addresses.
type directory struct{}

func (directory) Path() string                               { return "/entries" }
func (directory) ReadyPath() string                          { return "/ready" }
func (directory) Zone(*http.Request) string                  { return "" }
func (directory) Answer(addrs []string, _ time.Duration) any { return addrs }

// order is a weights order that an engine received.
type order struct {
	vane.WeightsOrder
	engine string
	at     time.Time
}

// engines are scripted engines that load weights at once.
type engines struct {
	mu      sync.Mutex
	weights map[string]uint64
	seq     map[string]uint64
	orders  []order
	process func(healthPath string) (uint64, vane.ProcessState) // answers checks which process runs; nil for one that states no start
}

func (e *engines) Order(_ context.Context, u vane.Upstream, o vane.WeightsOrder) (vane.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.ExpectedOrders != e.seq[u.Name] {
		return vane.OrderBusy, nil
	}
	e.seq[u.Name]++
	e.weights[u.Name] = o.Weights
	e.orders = append(e.orders, order{o, u.Name, time.Now()})
	return vane.OrderAccepted, nil
}

func (e *engines) Report(_ context.Context, u vane.Upstream) (vane.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return vane.EngineReport{Weights: map[string]uint64{"m": e.weights[u.Name]}, AcceptedOrders: e.seq[u.Name]}, nil
}

func (e *engines) Load(context.Context, vane.Upstream, string) (vane.Load, bool) {
	return vane.Load{}, false
}

func (e *engines) Process(_ context.Context, _ vane.Upstream, healthPath string) (uint64, vane.ProcessState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return 0, vane.ProcessRuns
	}
	return e.process(healthPath)
}

func (*engines) CacheContents(context.Context, string) (vane.CacheChanges, error) {
	return vane.CacheChanges{}, nil
}

func (*engines) CacheChanges(context.Context, string, uint64) (vane.CacheChanges, error) {
	return vane.CacheChanges{}, nil
}

func (e *engines) loaded(n uint64, count int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	got := 0
	for _, w := range e.weights {
		if w == n {
			got++
		}
	}
	return got == count
}

// fleet is a set of nodes in front of scripted engines.
type fleet struct {
	t           *testing.T
	plat        *plat.Platform
	storeClient *store.Client
	engines     *engines
	url         string
	settings    []edge.Settings
	log         slog.Handler // of all nodes
	stop        []context.CancelFunc
	done        []chan error

	mu    sync.Mutex
	ended []error // errors of nodes whose Run failed
}

func freePort(t *testing.T) int {
	t.Helper()
	p, err := port.Free()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// withLog sets the handler of the nodes' log lines.
func withLog(h slog.Handler) func(*fleet) { return func(f *fleet) { f.log = h } }

func newFleet(t *testing.T, nodes int, upstream http.Handler, opts ...func(*fleet)) *fleet {
	t.Helper()
	f := &fleet{t: t, log: slog.DiscardHandler, plat: plat.New(), engines: &engines{weights: map[string]uint64{}, seq: map[string]uint64{}}}
	for _, o := range opts {
		o(f)
	}
	ps := httptest.NewServer(f.plat)
	us := httptest.NewServer(upstream)
	f.url = strings.TrimPrefix(ps.URL, "http://")
	f.storeClient = store.New(ps.URL)
	for i := range nodes {
		set := edge.DefaultSettings()
		set.Node, set.DataCentre, set.IP, set.StoreAddr = fmt.Sprintf("n%d", i), "dc", "127.0.0.1", f.url
		set.CallerAddr = fmt.Sprintf("127.0.0.1:%d", freePort(t))
		set.ReadyAddr = fmt.Sprintf("127.0.0.1:%d", freePort(t))
		set.DirectoryAddr = fmt.Sprintf("127.0.0.1:%d", freePort(t))
		set.MeshPort, set.MetricsPort = freePort(t), freePort(t)
		set.Grace, set.DirectoryTTLMax, set.FencePause = 2*time.Second, 300*time.Millisecond, 500*time.Millisecond
		f.settings = append(f.settings, set)
	}
	for i := range 4 {
		u := vane.Upstream{Name: fmt.Sprintf("e%d", i), Addr: strings.TrimPrefix(us.URL, "http://"), DataCentre: "dc", Role: vane.RoleEngine, Service: "llm", Model: "m", Weights: 1, Slots: 8}
		f.engines.weights[u.Name] = 1
		f.put("upstreams/"+u.Name, u)
	}
	for i := range nodes {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.stop {
			f.stop[i]()
			<-f.done[i]
		}
		us.Close()
		ps.Close()
	})
	return f
}

func (f *fleet) start(i int) {
	ad := edge.Adapter{Protocol: store.Native(), Decoder: decoder{}, Dialect: dialect{}, Control: f.engines, Directory: directory{}}
	n, err := edge.New(f.settings[i], ad, slog.New(f.log))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		err := n.Run(ctx)
		if err != nil {
			f.mu.Lock()
			f.ended = append(f.ended, fmt.Errorf("node %s: %w", f.settings[i].Node, err))
			f.mu.Unlock()
		}
		done <- err
		close(done)
	}()
	f.stop, f.done = append(f.stop, cancel), append(f.done, done)
}

// put writes an object whatever its version.
func (f *fleet) put(key string, v any) {
	f.t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	want := uint64(0)
	if o, err := f.storeClient.Get(f.t.Context(), key); err == nil {
		want = o.Version
	}
	if _, err := f.storeClient.Put(f.t.Context(), key, want, b); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) configure(version int) {
	f.put("config/main", map[string]any{"version": version, "routes": []vane.Route{{
		Name: "r", Host: "h", PathPrefix: "/r/", Kind: vane.RouteStream, MaxAttempts: 1, Timeout: 10 * time.Second, Services: []vane.WeightedService{{Service: "llm", Weight: 1}},
	}}})
}

// waitFor waits until the condition holds.
func (f *fleet) waitFor(what string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.t.Fatalf("timed out waiting until %s; nodes that failed: %v", what, f.ended)
		}
	}
}

// entries returns the addresses in the directory answer of node i, or nil on an error.
func (f *fleet) entries(i int) []string {
	resp, err := http.Get("http://" + f.settings[i].DirectoryAddr + "/entries")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out []string
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out
}

// request sends a request to node i.
func (f *fleet) request(i int, path string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.settings[i].CallerAddr+path, strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Id", "id")
	return http.DefaultClient.Do(req)
}

// echoHandler answers with the request's id and two events, the second after a pause.
func echoHandler(pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
		_, _ = io.WriteString(w, "id: 2\n\n")
	})
}

// A node without a configuration refuses requests as not run. With one, all nodes list
// it as ready.
func TestReadiness(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, echoHandler(0))
	f.waitFor("a node listens", func() bool { r, err := f.request(0, "/r/x"); return err == nil && r.StatusCode == 503 })
	f.configure(1)
	for i := range 3 {
		f.waitFor("all nodes are listed", func() bool { return len(f.entries(i)) == 3 })
	}
	resp, err := f.request(1, "/r/x")
	is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "id: 1\n\nid: 2\n\n")
}

// Only one lease holder at a time sends orders. Fencing numbers never decrease, and a
// pause separates the orders of two holders.
func TestOneHolderOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, echoHandler(0))
	f.configure(1)
	f.put("weights/m", vane.TargetWeights{Model: "m", Version: 2})
	f.waitFor("all engines have the weights", func() bool { return f.engines.loaded(2, 4) })
	f.engines.mu.Lock()
	first := f.engines.orders[0].Holder
	f.engines.mu.Unlock()
	for i, s := range f.settings {
		if s.Node == first {
			f.stop[i]()
		}
	}
	f.put("weights/m", vane.TargetWeights{Model: "m", Version: 3})
	f.waitFor("all engines have the next weights", func() bool { return f.engines.loaded(3, 4) })
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	var last order
	for _, o := range f.engines.orders {
		is.True(o.Fence >= last.Fence)
		if last.Holder != "" && o.Holder != last.Holder {
			is.True(o.at.Sub(last.at) >= f.settings[0].FencePause)
		}
		last = o
	}
}

// A planned stop breaks no stream, and the other nodes no longer list the stopping
// node.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, echoHandler(700*time.Millisecond))
	f.configure(1)
	f.waitFor("both nodes are listed", func() bool { return len(f.entries(1)) == 2 })
	resp, err := f.request(0, "/r/x")
	is.NoErr(err)
	br := bufio.NewReader(resp.Body)
	line, err := br.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "id: 1\n")
	f.stop[0]()
	f.waitFor("the node is not listed", func() bool { e := f.entries(1); return len(e) == 1 && e[0] == f.settings[1].CallerAddr })
	rest, err := io.ReadAll(br)
	is.NoErr(err)
	is.Equal(string(rest), "\nid: 2\n\n")
}

// Requests that come during a planned stop over connections that were open before it get a
// response each, also if they may not be repeated and come late or outlast the grace period.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, echoHandler(time.Second))
	f.put("config/main", map[string]any{"version": 1, "routes": []vane.Route{{
		Name: "r", Host: "h", PathPrefix: "/r/", Kind: vane.RouteUnsafe, MaxAttempts: 1, Timeout: 10 * time.Second, Services: []vane.WeightedService{{Service: "llm", Weight: 1}},
	}}})
	f.waitFor("the node serves", func() bool { r, err := f.request(0, "/r/x"); return err == nil && r.StatusCode == http.StatusOK })
	// The grace period is 2 s; the node closes its listener after about 0.9 s.
	late := []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 1300 * time.Millisecond}
	statuses := make([]int, len(late))
	conns := make([]net.Conn, len(late))
	for i := range conns {
		c, err := net.Dial("tcp", f.settings[0].CallerAddr)
		is.NoErr(err)
		defer c.Close()
		conns[i] = c
	}
	f.stop[0]()
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() {
			time.Sleep(late[i])
			if _, err := fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: id%d\r\nContent-Length: 0\r\n\r\n", i); err != nil {
				t.Error(err)
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("the request after %v was lost: %v", late[i], err)
				return
			}
			if _, err := io.ReadAll(resp.Body); err != nil {
				t.Errorf("the response after %v is incomplete: %v", late[i], err)
			}
			statuses[i] = resp.StatusCode
		})
	}
	wg.Wait()
	is.Equal(statuses, []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusServiceUnavailable})
}

// During a store outage the nodes keep serving with the known configuration. After it,
// a new configuration takes effect on the other node too.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, echoHandler(0))
	f.configure(1)
	f.waitFor("both nodes are listed", func() bool { return len(f.entries(0)) == 2 })
	f.plat.SetFaults(plat.Faults{Down: true})
	time.Sleep(3 * time.Second) // longer than a watch call lasts
	resp, err := f.request(0, "/r/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	f.plat.SetFaults(plat.Faults{})
	f.put("config/main", map[string]any{"version": 2, "routes": []vane.Route{}})
	f.waitFor("the new configuration is in force", func() bool { r, err := f.request(1, "/r/x"); return err == nil && r.StatusCode == 404 })
}

// A node that was cut off for so long that its record was removed writes the record
// again.
func TestForgottenNodeJoinsAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, echoHandler(0))
	f.configure(1)
	key := mirror.PeerKey(f.settings[0].Node)
	var o vane.Object
	f.waitFor("the node has joined", func() bool {
		var err error
		o, err = f.storeClient.Get(t.Context(), key)
		return err == nil && len(f.entries(0)) == 2
	})
	is.NoErr(f.storeClient.Delete(t.Context(), key, o.Version))
	f.waitFor("the node has joined again", func() bool {
		again, err := f.storeClient.Get(t.Context(), key)
		return err == nil && again.Version > o.Version
	})
}
