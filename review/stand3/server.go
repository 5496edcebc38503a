package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
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

// begun is the begin of a run.
type begun struct {
	at         time.Time
	server, id string
}

// fleet is what all servers share.
type fleet struct {
	rec   *recorder
	store *store

	mu     sync.Mutex
	reuses []reuse
	begun  []begun // runs
	came   []arrival
	runs   int
}

// misbehaviour is what a bad version does with a request.
type misbehaviour int

const (
	sound  misbehaviour = iota
	fails               // runs the request and answers 500
	refuse              // answers 503 and says that the request has not run
)

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	release string
	bad     bool
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
	beats   bool // writes its entry
	state   string
	release string                             // version of its software
	answer  func(r *http.Request) misbehaviour // nil for none
	seq     int
	running map[string]string // by request id: path
	version uint64
	orders  uint64
	busyTo  time.Time
	next    uint64 // version that is being loaded
	cache   map[string]part
	byUser  map[string]int // runs by tenant
}

// startServer starts a server, which writes its entry.
func startServer(f *fleet, id, service, model string, work time.Duration) *server {
	return startRelease(f, id, service, model, work, "v1", nil)
}

// startRelease starts a server of a version of its software.
func startRelease(f *fleet, id, service, model string, work time.Duration, release string, answer func(r *http.Request) misbehaviour) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{
		f: f, id: id, service: service, model: model, slots: 6, work: work, born: time.Now().UnixMilli(), addr: ln.Addr().String(), ln: ln, beats: true,
		state: "ready", release: "v1", running: make(map[string]string), version: 1, cache: make(map[string]part), byUser: make(map[string]int),
	}
	s.release, s.answer = release, answer
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
		"service": s.service, "address": s.addr, "zone": "cerro", "version": s.release, "slots": s.slots, "state": s.state, "cold-left-ms": 0, "seq": s.seq, "born": s.born,
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
	ok := s.beats
	s.mu.Unlock()
	if ok {
		s.f.store.put("servers", s.id, s.entry())
	}
}

// leave makes the server report that it drains. It exits after the given time.
func (s *server) leave(after time.Duration) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	s.f.rec.add("server", "%s has reported that it drains", s.id)
	time.AfterFunc(after, func() {
		s.setBeats(false)
		s.stop()
		s.f.store.remove("servers", s.id)
		_ = s.http.Close()
		s.f.rec.add("server", "%s exits", s.id)
	})
}

// setBeats says whether the server writes its entry.
func (s *server) setBeats(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats = on
}

// ran returns the number of runs by tenant.
func (s *server) ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byUser)
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
	s.f.rec.add("order", "at %s from %s, fence %d: load version %d, answered %d", s.id, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

// run works on a request.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	does := sound
	if s.answer != nil {
		does = s.answer(r)
	}
	s.f.mu.Lock()
	s.f.came = append(s.f.came, arrival{time.Now(), s.release, does != sound})
	s.f.mu.Unlock()
	notRun := func(status int) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(status)
	}
	if does == refuse {
		s.f.rec.add("refused", "%s at %s of %s: %s", id, s.id, s.release, r.URL.Path)
		w.Header().Set("X-Server-Load", fmt.Sprintf("0,0,%d", s.slots))
		notRun(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.settle()
	switch want := r.Header.Get("X-Expect-Version"); {
	case id == "":
		s.mu.Unlock()
		notRun(http.StatusBadRequest)
		return
	case want != "" && want != strconv.FormatUint(s.version, 10):
		v := s.version
		s.mu.Unlock()
		w.Header().Set("X-Weight-Versions", strconv.FormatUint(v, 10))
		notRun(http.StatusMisdirectedRequest)
		return
	case s.next > 0, len(s.running) >= s.slots:
		s.mu.Unlock()
		notRun(http.StatusServiceUnavailable)
		return
	}
	s.running[id] = r.URL.Path
	load := fmt.Sprintf("%d,0,%d", len(s.running), s.slots)
	version := s.version
	tenant := r.Header.Get("X-Tenant")
	salt := r.Header.Get("X-Cache-Salt")
	s.byUser[tenant]++
	if s.model != "" {
		s.usePrompt(r, id, tenant, salt)
	}
	s.mu.Unlock()
	s.f.mu.Lock()
	s.f.runs++
	s.f.begun = append(s.f.begun, begun{time.Now(), s.id, id})
	s.f.mu.Unlock()
	s.f.rec.add("run", "%s at %s: %s for tenant %q, salt %q", id, s.id, r.URL.Path, tenant, salt)
	time.Sleep(s.work)
	s.mu.Lock()
	delete(s.running, id)
	s.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal."+s.id+"."+id)
	w.Header().Set("X-Server-Load", load)
	if does == fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
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
