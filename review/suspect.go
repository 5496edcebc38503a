package main

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Deployment of the case. Of the seven servers two crash at a time: a share of 0.29.
const (
	suspectNodes   = 6
	suspectServers = 7
	crashedAtOnce  = 2
	suspectClients = 130
	popularShare   = 0.28 // of the requests read one path while it is popular, the share of hot_key in the site
	popularFrom    = 3 * time.Second
	popularFor     = 6 * time.Second // for_s of hot_key in the site
	otherPaths     = 475             // the others read one of these, as many as a class has things
	suspectWork    = 240 * time.Millisecond
	suspectPause   = 500 * time.Millisecond // between two requests of a requester
	crashDown      = time.Second
	crashGap       = 3500 * time.Millisecond
	crashes        = 3
	suspectRun     = 30 * time.Second
)

// appProcess is a server as a process of its own.
type appProcess struct {
	id, addr string
	cmd      *exec.Cmd
}

func (p *appProcess) start(w *world) error {
	f, err := os.OpenFile(filepath.Join(w.dir, p.id), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	p.cmd = exec.Command(self(), "server", "--id", p.id, "--service", "kafi81c", "--addr", p.addr, "--store", w.store.addr,
		"--slots", "6", "--work", suspectWork.String())
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		return err
	}
	track(p.cmd)
	return nil
}

// runs returns the number of requests that the server has run.
func (p *appProcess) runs(w *world) int {
	b, err := os.ReadFile(filepath.Join(w.dir, p.id))
	if err != nil {
		return 0
	}
	return bytes.Count(b, []byte(" run "))
}

func (p *appProcess) kill() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// appConfig is a config with a safe route to a plain service.
func appConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-safe", "host": host, "path-prefix": "/filo73/de11/", "kind": "safe", "timeout-ms": 4000, "latency-goal-ms": 300,
			"priority": 2, "service": "kafi81c", "max-attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "kafi81c", "health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "sese880", "api-keys": []string{"wu3fexd9dnn2ctnfzs98"}, "priority": 1, "isolated": false}},
	}
}

// tally counts what the requesters got.
type tally struct {
	mu           sync.Mutex
	total        int
	byStatus     map[int]int
	denied       int
	deniedByNode map[string]int
	lastDenied   time.Duration
}

// suspect crashes two of seven servers, three times, while requesters read, a part of them one popular
// path. The reads are proper, and none of them makes a server crash.
func suspect(recordPath string) (bool, error) {
	w, err := newWorld(recordPath, suspectNodes)
	if err != nil {
		return false, err
	}
	defer w.close()
	ports, err := freePorts(suspectServers)
	if err != nil {
		return false, err
	}
	var apps []*appProcess
	for i, p := range ports {
		a := &appProcess{id: fmt.Sprintf("i-%08x", 0x5a000+i), addr: fmt.Sprintf("127.0.0.1:%d", p)}
		if err := a.start(w); err != nil {
			return false, err
		}
		w.cleanup = append(w.cleanup, a.kill)
		apps = append(apps, a)
	}
	w.store.put("config", "main", appConfig())
	if err := w.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	t := &tally{byStatus: map[int]int{}, deniedByNode: map[string]int{}}
	begin := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range suspectClients {
		wg.Go(func() { readPath(w, t, i, begin, stop) })
	}
	time.Sleep(4 * time.Second)
	for i := range crashes {
		if !w.trouble {
			break
		}
		if err := crash(w, apps, i*crashedAtOnce); err != nil {
			return false, err
		}
		time.Sleep(crashGap - crashDown)
	}
	time.Sleep(suspectRun - time.Since(begin))
	close(stop)
	wg.Wait()
	for _, a := range apps {
		w.say("server %s ran %d requests", a.id, a.runs(w))
		if b, err := os.ReadFile(filepath.Join(w.dir, a.id)); err == nil {
			w.log("its runs, by the time of day:\n%s", b)
		}
	}
	allowed := 5 + t.total/500
	w.say("%d requests, by status: %v; denied by the nodes: %d (allowed: %d), by node: %v, the last one %.1f s after the start",
		t.total, t.byStatus, t.denied, allowed, t.deniedByNode, t.lastDenied.Seconds())
	return t.denied > allowed, nil
}

// crash kills crashedAtOnce of the servers and starts them again. It takes those that have
// run the most requests but for the first skip, so that each has some at the moment.
func crash(w *world, apps []*appProcess, skip int) error {
	apps = slices.Clone(apps)
	slices.SortFunc(apps, func(a, b *appProcess) int { return cmp.Compare(b.runs(w), a.runs(w)) })
	apps = apps[skip : skip+crashedAtOnce]
	for _, a := range apps {
		a.cmd.Process.Kill()
		w.log("server %s crashes", a.id)
	}
	for _, a := range apps {
		a.cmd.Wait()
	}
	time.Sleep(crashDown)
	for _, a := range apps {
		if err := a.start(w); err != nil {
			return err
		}
		w.log("server %s is back", a.id)
	}
	return nil
}

// readPath is one requester: it reads the popular path again and again, each time at one
// of the addresses that the directory names.
func readPath(w *world, t *tally, i int, begin time.Time, stop chan struct{}) {
	c := &http.Client{Timeout: 4 * time.Second}
	defer c.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(suspectPause))):
		}
		at := w.nodes[rand.IntN(len(w.nodes))]
		id := fmt.Sprintf("%08x%08x", i, n)
		path := "/filo73/de11/2f"
		since := time.Since(begin)
		if since < popularFrom || since > popularFrom+popularFor || rand.Float64() >= popularShare {
			path = fmt.Sprintf("/filo73/de11/%x", 0x1000+rand.IntN(otherPaths))
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+at.front()+path, nil)
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "4000")
		req.Header.Set("X-Api-Key", "wu3fexd9dnn2ctnfzs98")
		status, sealed, text := 0, false, ""
		r, err := c.Do(req)
		if err == nil {
			b, _ := io.ReadAll(r.Body)
			r.Body.Close()
			status, sealed = r.StatusCode, r.Header.Get("X-Response-Seal") != ""
			if !sealed {
				text = string(bytes.TrimSpace(b))
			}
		}
		w.log("request %s for %s at %s: status %d, signature %t %s", id, path, at.name, status, sealed, text)
		t.mu.Lock()
		t.total++
		t.byStatus[status]++
		if !sealed && status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			t.denied++
			t.deniedByNode[at.name]++
			t.lastDenied = time.Since(begin)
		}
		t.mu.Unlock()
	}
}
