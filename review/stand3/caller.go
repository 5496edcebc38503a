package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Host and keys of the configuration.
const (
	host       = "taller.example"
	appService = "taller-app"
	llmService = "taller-llm"
	llmModel   = "m0"
)

// config returns a configuration. isolated names the tenants that share no kept parts.
func (w *world) config(isolated ...string) map[string]any {
	w.version++
	route := func(name, kind, service string, attempts, timeout, goal, priority int, sticky bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout, "latency-goal-ms": goal, "priority": priority,
			"service": service, "max-attempts": attempts, "public": false, "sticky": sticky, "resumable": false,
		}
	}
	notes := route("notes", "stream", llmService, 2, 15000, 400, 0, true)
	notes["gap-target-ms"] = 300
	tenants := []any{}
	for _, n := range []string{"norte", "sur"} {
		t := map[string]any{"name": n, "api-keys": []string{"key-" + n}, "priority": 1, "isolated": false}
		for _, i := range isolated {
			if i == n {
				t["isolated"] = true
			}
		}
		tenants = append(tenants, t)
	}
	return map[string]any{
		"version": w.version,
		"routes":  []any{route("stock", "safe", appService, 2, 1000, 100, 2, false), route("booking", "unsafe", appService, 1, 1000, 100, 2, false), notes},
		"services": []any{
			map[string]any{"name": appService, "health-path": "/healthz", "max-conns": 110},
			map[string]any{"name": llmService, "health-path": "/healthz", "max-conns": 370, "engine": map[string]any{
				"slots": 64, "kv-capacity": 128332, "kv-token-bytes": 35136, "link-mbps": 550000, "models": []any{map[string]any{"name": llmModel}},
			}},
		},
		"limits":  map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	}
}

// request is one attempt of a requester.
type request struct {
	id, path, tenant string
	body             []byte
	parts            string // X-Prompt-Prefix
	limit            time.Duration
	node             *node
}

// answer is what a requester got.
type answer struct {
	status int // zero for none
	sealed bool
	body   string
	err    error
	took   time.Duration
}

var requests atomic.Int64

// newID returns the id of a new attempt.
func newID() string { return fmt.Sprintf("r%06d%04x", requests.Add(1), rand.N(1<<16)) }

// clients are the channels of a requester to the nodes.
type clients struct {
	mu sync.Mutex
	by map[string]*http.Client
}

// of returns the client for a node.
func (c *clients) of(n *node) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = make(map[string]*http.Client)
	}
	if h, ok := c.by[n.name]; ok {
		return h
	}
	h := &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: 12 * time.Second}}
	c.by[n.name] = h
	return h
}

// send sends an attempt and reads the whole answer.
func (w *world) send(h *http.Client, q request) answer {
	method := http.MethodGet
	if len(q.body) > 0 {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+q.node.front+q.path, bytes.NewReader(q.body))
	must(err)
	r.Host = host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.limit.Milliseconds(), 10))
	r.Header.Set("X-Api-Key", "key-"+q.tenant)
	if q.parts != "" {
		r.Header.Set("X-Model", llmModel)
		r.Header.Set("X-Token-Usage", "1460,80")
		r.Header.Set("X-Prompt-Prefix", q.parts)
	}
	w.rec.add("sent", "%s: %s %s, tenant %s, to %s", q.id, method, q.path, q.tenant, q.node.name)
	begin := time.Now()
	hc := *h
	hc.Timeout = q.limit + 500*time.Millisecond
	resp, err := hc.Do(r)
	a := answer{err: err}
	if err == nil {
		var b []byte
		b, a.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.sealed, a.body = resp.StatusCode, resp.Header.Get("X-Response-Seal") != "", string(b)
	}
	a.took = time.Since(begin)
	text := a.body
	if len(text) > 100 || a.sealed {
		text = text[:min(len(text), 24)]
	}
	b, _ := json.Marshal(text)
	w.rec.add("answer", "%s (%s, tenant %s, at %s): status %d, sealed %t, %d ms, %s, error %v", q.id, q.path, q.tenant, q.node.name, a.status, a.sealed, a.took.Milliseconds(), b, a.err)
	return a
}
