package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a server does with a request that it runs.
type answer struct {
	status int
	work   time.Duration // before the answer, or before each event of a stream
	events int           // of a stream; zero for a plain answer
}

// server is a stand-in for one server of a service. It runs each request at once.
type server struct {
	id, service, version, zone, addr string

	w      *world
	answer func(r *http.Request) answer
	ln     net.Listener
	http   *http.Server
	mu     sync.Mutex
	active int
}

// start opens the server and registers it in the store.
func (w *world) startServer(id, service, version, zone string, f func(r *http.Request) answer) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	s := &server{id: id, service: service, version: version, zone: zone, addr: ln.Addr().String(), w: w, answer: f, ln: ln}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	s.register("ready")
	w.servers = append(w.servers, s)
	return s
}

// register writes the server's entry.
func (s *server) register(state string) {
	s.w.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slots": slots, "state": state, "cold-left-ms": 0, "seq": 1, "born": s.w.begin.UnixMilli(),
	})
	s.w.record("server %s (%s %s) %s", s.id, s.service, s.version, state)
}

// slots is the number of requests that a server works on at a time.
const slots = 64

// stop ends the server at once, and removes its entry.
func (s *server) stop() {
	_ = s.http.Close()
	s.w.store.remove("servers", s.id)
	s.w.record("server %s (%s %s) stopped", s.id, s.service, s.version)
}

// drain makes the server leave as the pages say: it goes on for drain-ms and a little longer.
func (s *server) drain() {
	s.register("draining")
	time.Sleep(drainTime + 500*time.Millisecond)
	s.stop()
}

// drainTime is drain-ms.
const drainTime = 2 * time.Second

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.active++
	running := s.active
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	h := w.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(running, slots), slots))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a := s.answer(r)
	s.w.arrived(s, id, a)
	h.Set("X-Response-Seal", s.id+"."+id)
	if a.events == 0 {
		time.Sleep(a.work)
		body := "answer to " + id
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte(body))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(a.status)
	rc := http.NewResponseController(w)
	for i := range a.events {
		select {
		case <-time.After(a.work):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, id, i+1); err != nil || rc.Flush() != nil {
			return
		}
	}
}

// healthPath is the path of the servers' health probe.
const healthPath = "/healthz"
