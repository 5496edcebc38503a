package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// seal is the signature that servers put on their answers.
const seal = "3e1b.07.5a2.600.0.c9f2a4d1"

// entry is the object that a server writes about itself.
func entry(service, addr, state string, slots int, born int64, models []map[string]any) map[string]any {
	e := map[string]any{
		"service": service, "address": addr, "zone": "vik-a", "version": "v1", "slots": slots, "state": state, "cold-left-ms": 0,
		"seq": 1, "born": born,
	}
	if models != nil {
		e["stage"], e["models"] = "unified", models
	}
	return e
}

// wrongInstance answers a request that expects another server.
func wrongInstance(w http.ResponseWriter, r *http.Request, id string) bool {
	if x := r.Header.Get("X-Expect-Instance"); x == "" || x == id {
		return false
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", id)
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// app is a server of a plain service: slots requests at a time, each for the given work
// time, and a short queue.
type app struct {
	id    string
	slots chan struct{}
	queue chan struct{}
	work  time.Duration
	mu    sync.Mutex
	runs  io.Writer
}

func (a *app) load() string {
	running := len(a.slots)
	return fmt.Sprintf("%d,%d,%d", running, max(0, len(a.queue)-running), cap(a.slots))
}

func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wrongInstance(w, r, a.id) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", a.id)
		return
	}
	io.Copy(io.Discard, r.Body)
	select {
	case a.queue <- struct{}{}:
	default:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-a.queue }()
	select {
	case a.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-a.slots }()
	a.mu.Lock()
	fmt.Fprintf(a.runs, "%s run %s %s by %s\n", time.Now().Format("15:04:05.000"), id, r.URL.Path, a.id)
	a.mu.Unlock()
	time.Sleep(a.work)
	w.Header().Set("X-Server-Load", a.load())
	w.Header().Set("X-Response-Seal", seal)
	fmt.Fprint(w, strings.Repeat("0123456789", 80))
}

// serverMain is a server as a process of its own. It registers itself in the store.
func serverMain(args []string) {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	id := f.String("id", "", "instance id")
	service := f.String("service", "", "service")
	addr := f.String("addr", "", "address")
	storeAddr := f.String("store", "", "address of the store")
	slots := f.Int("slots", 6, "slots")
	work := f.Duration("work", 60*time.Millisecond, "time of a request")
	f.Parse(args)
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	a := &app{id: *id, slots: make(chan struct{}, *slots), queue: make(chan struct{}, 5**slots), work: *work, runs: os.Stdout}
	born := time.Now().UnixMilli()
	go func() {
		for ; ; time.Sleep(heartbeat) {
			register(*storeAddr, *id, entry(*service, *addr, "ready", *slots, born, nil))
		}
	}()
	http.Serve(ln, a)
}

// register creates or replaces a server's entry.
func register(storeAddr, id string, spec any) {
	b, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": id}, "spec": spec})
	c := http.Client{Timeout: time.Second}
	for _, m := range []struct{ method, path string }{{http.MethodPut, "/objects/servers/" + id}, {http.MethodPost, "/objects/servers"}} {
		req, _ := http.NewRequest(m.method, "http://"+storeAddr+m.path, strings.NewReader(string(b)))
		req.Header.Set("Content-Type", "application/json")
		if r, err := c.Do(req); err == nil {
			r.Body.Close()
			if r.StatusCode < 300 {
				return
			}
		}
	}
}
