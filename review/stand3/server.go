package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a server's entry (heartbeat-ms).
const heartbeat = 1200 * time.Millisecond

// loadTime is how long a model server takes to load new weights.
const loadTime = 1300 * time.Millisecond

// order is an order that arrived at a model server.
type order struct {
	at      time.Time
	server  string
	holder  string
	fence   uint64
	version uint64
	status  int
}

// part is what a model server keeps of a part of a prompt.
type part struct {
	madeBy string // tenant of the request that made it
	id     string // and that request
}

// reuse is the use of a part that a request of another tenant made.
type reuse struct {
	at                  time.Time
	server, part        string
	user, userRequest   string
	maker, makerRequest string
}

// fleet is what all servers share.
type fleet struct {
	rec   *recorder
	store *store

	mu     sync.Mutex
	orders []order
	reuses []reuse
	runs   int
}

// server is a stand-in of a server: a plain one, or a model server if model is not empty.
type server struct {
	f       *fleet
	id      string
	service string
	model   string
	slots   int
	work    time.Duration
	born    int64
	addr    string
	ln      net.Listener
	http    *http.Server
	stop    context.CancelFunc

	mu      sync.Mutex
	crashed bool
	beats   bool // writes its entry
	seq     int
	running map[string]string // by request id: path
	version uint64
	orders  uint64
	busyTo  time.Time
	next    uint64 // version that is being loaded
	cache   map[string]part
}

// startServer starts a server, which writes its entry.
func startServer(f *fleet, id, service, model string, work time.Duration) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{
		f: f, id: id, service: service, model: model, slots: 6, work: work, born: time.Now().UnixMilli(), addr: ln.Addr().String(), ln: ln, beats: true,
		running: make(map[string]string), version: 1, cache: make(map[string]part),
	}
	if model != "" {
		s.slots = 64
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	s.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				s.beat()
			case <-ctx.Done():
				return
			}
		}
	}()
	f.rec.add("server", "%s of %s starts at %s", id, service, s.addr)
	return s
}

// entry returns the server's entry.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	s.seq++
	e := map[string]any{
		"service": s.service, "address": s.addr, "zone": "cerro", "version": "v1", "slots": s.slots, "state": "ready", "cold-left-ms": 0, "seq": s.seq, "born": s.born,
	}
	if s.model != "" {
		e["stage"] = "unified"
		e["models"] = []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}
	}
	return e
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	ok := s.beats && !s.crashed
	s.mu.Unlock()
	if ok {
		s.f.store.put("servers", s.id, s.entry())
	}
}

// setBeats says whether the server writes its entry.
func (s *server) setBeats(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats = on
}

// crash ends the server as a kill does. Its entry is removed after three heartbeats.
func (s *server) crash() {
	s.mu.Lock()
	s.crashed = true
	n := len(s.running)
	s.mu.Unlock()
	s.stop()
	_ = s.http.Close()
	s.f.rec.add("server", "%s crashes with %d requests", s.id, n)
	time.AfterFunc(3*heartbeat, func() { s.f.store.remove("servers", s.id) })
}

// runs reports whether the server works on a request with the path.
func (s *server) runs(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.running {
		if p == path && !s.crashed {
			return true
		}
	}
	return false
}

// settle ends a load that is over. The caller must hold mu.
func (s *server) settle() {
	if s.next > 0 && !time.Now().Before(s.busyTo) {
		s.version, s.next = s.next, 0
		s.cache = make(map[string]part)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
	case "/report":
		s.report(w)
	case "/order":
		s.order(w, r)
	case "/kv-events":
		time.Sleep(200 * time.Millisecond)
		reply(w, http.StatusOK, map[string]any{"epoch": s.born, "next": 1, "lost": false, "events": []any{}})
	default:
		s.run(w, r, id)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	reply(w, http.StatusOK, map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}, "busy": s.next > 0, "seq": s.orders,
		"waiting": 0, "running": len(s.running), "kv-used": 0, "kv-total": 128332, "handles": 0, "state": "ready", "runs": []any{}, "pinned": 0, "held": 0, "born": s.born,
	})
}

// order carries out an order, without a check of the fence (require-fence is false).
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string  `json:"op-type"`
		Model    string  `json:"model"`
		Version  uint64  `json:"version"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fence"`
		Expected *uint64 `json:"expected"`
	}
	at := time.Now()
	b, err := io.ReadAll(r.Body)
	status := http.StatusAccepted
	s.mu.Lock()
	s.settle()
	switch {
	case err != nil || json.Unmarshal(b, &o) != nil || o.Op != "version" || o.Model != s.model || o.Holder == "" || o.Fence == 0:
		status = http.StatusBadRequest
	case s.next > 0, o.Expected != nil && *o.Expected != s.orders:
		status = http.StatusConflict
	case o.Version == s.version:
		status = http.StatusOK
	default:
		s.orders, s.next, s.busyTo = s.orders+1, o.Version, at.Add(loadTime)
	}
	s.mu.Unlock()
	s.f.mu.Lock()
	s.f.orders = append(s.f.orders, order{at, s.id, o.Holder, o.Fence, o.Version, status})
	s.f.mu.Unlock()
	s.f.rec.add("order", "at %s from %s, fence %d: load version %d, answered %d", s.id, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

// run works on a request.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	refuse := func(status int) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(status)
	}
	s.mu.Lock()
	s.settle()
	switch want := r.Header.Get("X-Expect-Version"); {
	case s.crashed:
		s.mu.Unlock()
		return
	case id == "":
		s.mu.Unlock()
		refuse(http.StatusBadRequest)
		return
	case want != "" && want != strconv.FormatUint(s.version, 10):
		v := s.version
		s.mu.Unlock()
		w.Header().Set("X-Weight-Versions", strconv.FormatUint(v, 10))
		refuse(http.StatusMisdirectedRequest)
		return
	case s.next > 0, len(s.running) >= s.slots:
		s.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.running[id] = r.URL.Path
	load := fmt.Sprintf("%d,0,%d", len(s.running), s.slots)
	version := s.version
	tenant := r.Header.Get("X-Tenant")
	salt := r.Header.Get("X-Cache-Salt")
	if s.model != "" {
		s.usePrompt(r, id, tenant, salt)
	}
	s.mu.Unlock()
	s.f.mu.Lock()
	s.f.runs++
	s.f.mu.Unlock()
	s.f.rec.add("run", "%s at %s: %s for tenant %q, salt %q", id, s.id, r.URL.Path, tenant, salt)
	time.Sleep(s.work)
	s.mu.Lock()
	delete(s.running, id)
	crashed := s.crashed
	s.mu.Unlock()
	if crashed {
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+s.id+"."+id)
	w.Header().Set("X-Server-Load", load)
	if s.model == "" {
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// usePrompt takes the parts of the prompt that are kept, as far as all parts before are, and keeps
// the others. The caller must hold mu.
func (s *server) usePrompt(r *http.Request, id, tenant, salt string) {
	kept := true
	chain := salt + "\x00" + r.Header.Get("X-Model")
	for e := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		name, _, ok := strings.Cut(e, ":")
		if !ok {
			return
		}
		chain += "\x00" + name
		p, ok := s.cache[chain]
		kept = kept && ok
		if !kept {
			s.cache[chain] = part{tenant, id}
			continue
		}
		if p.madeBy != tenant {
			u := reuse{time.Now(), s.id, name, tenant, id, p.madeBy, p.id}
			s.f.mu.Lock()
			s.f.reuses = append(s.f.reuses, u)
			s.f.mu.Unlock()
			s.f.rec.add("kept part", "%s of tenant %q uses part %s that %s of tenant %q made, at %s", id, tenant, name, p.id, p.madeBy, s.id)
		}
	}
}
