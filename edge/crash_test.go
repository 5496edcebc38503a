package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// crashingEngine is an engine whose process ends when it begins to answer a request with
// the deadly part. It is back after three seconds.
type crashingEngine struct {
	fleet *crashingFleet
	addr  string
}

// crashingFleet is a set of crashing engines.
type crashingFleet struct {
	late    bool // they crash after the first event of the answer
	mu      sync.Mutex
	deadly  []time.Time // arrivals of requests with the deadly part
	crashes []time.Time
}

// start starts the engine's process.
func (e *crashingEngine) start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.addr = ln.Addr().String()
	srv := &http.Server{}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		deadly := slices.Contains(r.Header["Part"], "deadly")
		if deadly {
			e.fleet.mu.Lock()
			e.fleet.deadly = append(e.fleet.deadly, time.Now())
			e.fleet.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Id", r.Header.Get("Id"))
		if deadly && e.fleet.late {
			_, _ = io.WriteString(w, "id: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		if deadly {
			e.crash(srv)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "id: 1\n\n")
	})
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// crash ends the process and starts the next one later.
func (e *crashingEngine) crash(srv *http.Server) {
	_ = srv.Close()
	e.fleet.mu.Lock()
	e.fleet.crashes = append(e.fleet.crashes, time.Now())
	e.fleet.mu.Unlock()
	time.AfterFunc(3*time.Second, func() { _ = e.start() })
}

// send sends a request with the parts to node i and returns the status, or zero if the
// answer is incomplete.
func (f *fleet) send(i int, id string, parts ...string) int { return f.sendBody(i, id, id, parts...) }

// sendBody is like send, with a body of its own.
func (f *fleet) sendBody(i int, id, body string, parts ...string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.settings[i].CallerAddr+"/r/x", strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	req.Host = "h"
	req.Header = http.Header{"Id": {id}, "Part": parts}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// newCrashingFleet starts nodes with crashing engines, and waits until all nodes are listed.
func newCrashingFleet(t *testing.T, nodes int, late bool) (*fleet, *crashingFleet) {
	t.Helper()
	is := is.New(t)
	// The engines that the fleet starts with answer nothing, so that none answers a
	// deadly request before its node knows the crashing engines.
	f := newFleet(t, nodes, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	cf := &crashingFleet{late: late}
	for i := range 16 {
		e := &crashingEngine{fleet: cf, addr: "127.0.0.1:0"}
		is.NoErr(e.start())
		name := fmt.Sprintf("e%d", i)
		f.put("upstreams/"+name, vane.Upstream{Name: name, Addr: e.addr, DataCentre: "dc", Role: vane.RoleEngine, Service: "llm", Model: "m", Weights: 1, Slots: 8})
	}
	f.configure(1)
	for i := range nodes {
		f.waitFor("all nodes are listed", func() bool { return len(f.entries(i)) == nodes })
	}
	return f, cf
}

// startLater starts one more node and returns its index.
func (f *fleet) startLater() int {
	later := f.settings[0]
	later.Node = "later"
	later.CallerAddr = fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
	later.ReadyAddr = fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
	later.DirectoryAddr = fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
	later.MeshPort, later.MetricsPort = freePort(f.t), freePort(f.t)
	f.settings = append(f.settings, later)
	i := len(f.settings) - 1
	f.start(i)
	f.waitFor("the later node is listed", func() bool { return len(f.entries(0)) == i+1 })
	return i
}

// Requests of which no two are alike share a part that crashes engines. All nodes refuse
// them soon, a node that starts later too, and sound requests that share the first part
// are served throughout.
func TestDeadlyPartReachesFewEngines(t *testing.T) {
	t.Parallel()
	testDeadlyRequests(t, false, true)
}

// The same for a part that crashes engines after the first event of the answer.
func TestPartThatCrashesAfterTheFirstEvent(t *testing.T) {
	t.Parallel()
	testDeadlyRequests(t, true, true)
}

// The same for one request that is sent again and again, and crashes engines after the first
// event of its answer.
func TestRequestThatCrashesAfterItsFirstEvent(t *testing.T) {
	t.Parallel()
	testDeadlyRequests(t, true, false)
}

// testDeadlyRequests sends requests that crash engines beside sound ones. late tells when
// they crash; parts is set if they share a part, and not set if they are all the same.
func testDeadlyRequests(t *testing.T, late, parts bool) {
	is := is.New(t)
	const nodes = 4
	f, cf := newCrashingFleet(t, nodes, late)
	stop := make(chan struct{})
	var sound sync.WaitGroup
	var mu sync.Mutex
	denied := 0
	for i := range nodes {
		sound.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if s := f.send(i, fmt.Sprintf("sound-%d-%d", i, n), "first", "session", "own"); s == http.StatusUnprocessableEntity {
					mu.Lock()
					denied++
					mu.Unlock()
				}
			}
		})
	}
	sent := 0
	deadly := func(i int) int {
		sent++
		if !parts {
			return f.sendBody(i, fmt.Sprintf("deadly-%d", sent), "the same", "first", fmt.Sprint("own-", sent), "deadly")
		}
		return f.send(i, fmt.Sprintf("deadly-%d", sent), "first", "deadly", fmt.Sprint("own-", sent))
	}
	const contact = 3 * time.Second // the time in which nodes learn of each other's crashes
	begin := time.Now()
	for time.Since(begin) < 2*contact {
		deadly(sent % nodes)
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	sound.Wait()
	cf.mu.Lock()
	// Crashes after which requests count as late: more for a part, since the requests differ.
	allowed := 3
	if parts {
		allowed = 5
	}
	tooLate := 0
	for _, at := range cf.deadly {
		if len(cf.crashes) >= allowed && at.Sub(cf.crashes[allowed-1]) > contact {
			tooLate++
		}
	}
	crashes := len(cf.crashes)
	cf.mu.Unlock()
	t.Logf("%d deadly requests, %d crashes, %d reached engines late, %d sound ones denied", sent, crashes, tooLate, denied)
	is.True(crashes >= 3)
	is.True(tooLate <= 3)
	is.Equal(denied, 0)
	for i := range nodes {
		is.Equal(deadly(i), http.StatusUnprocessableEntity)
		is.Equal(f.send(i, "after", "first", "session", "own"), http.StatusOK)
	}
	i := f.startLater()
	f.waitFor("the later node refuses the deadly requests", func() bool { return deadly(i) == http.StatusUnprocessableEntity })
}
