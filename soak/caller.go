package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// Times of callers.
const (
	limitMS     = 3000
	callTimeout = 5 * time.Second // beyond the time limit that the request states
	askTimeout  = time.Second
	pauseMax    = 30 * time.Millisecond
)

// kind is a kind of request.
type kind int

// The kinds of requests.
const (
	unsafe kind = iota
	safe
	stream
	kinds
)

// paths of the kinds.
var paths = [kinds]string{"/unsafe/x", "/safe/x", "/stream/x"}

// result is one request as its caller saw it.
type result struct {
	id, tenant string
	kind       kind
	status     int // zero if there was no head of an answer
	body       string
	err        error // of the body
	sent, end  time.Time
	addr       string
}

// callers send requests until they are stopped.
type callers struct {
	nodes []*node

	mu      sync.Mutex
	results []result
}

// run is one caller. It keeps its connections and its directory answer.
func (c *callers) run(ctx context.Context, n int, r *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: askTimeout}).DialContext},
		Timeout:   callTimeout,
	}
	defer client.CloseIdleConnections()
	var addrs []string
	var until time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(until) {
			if a, ttl := c.resolve(ctx, r); len(a) > 0 {
				addrs, until = a, time.Now().Add(ttl)
			}
		}
		if len(addrs) > 0 {
			c.ask(client, addrs[r.IntN(len(addrs))], fmt.Sprintf("c%d-%d", n, i), kind(r.IntN(int(kinds))), r.IntN(2) == 0)
		}
		time.Sleep(time.Duration(r.Int64N(int64(pauseMax))))
	}
}

// resolve asks a node where to connect.
func (c *callers) resolve(ctx context.Context, r *rand.Rand) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.nodes[r.IntN(len(c.nodes))].directory()+stand.ResolvePath, nil)
	if err != nil {
		return nil, 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var v stand.ResolveResponse
	if json.NewDecoder(resp.Body).Decode(&v) != nil {
		return nil, 0
	}
	return v.Addresses, time.Duration(v.TTL * float64(time.Second))
}

// ask sends one request and records what came of it.
func (c *callers) ask(client *http.Client, addr, id string, k kind, a bool) {
	res := result{id: id, kind: k, addr: addr, tenant: stand.WorkspaceB, sent: time.Now()}
	key := stand.KeyB
	if a {
		res.tenant, key = stand.WorkspaceA, stand.KeyA
	}
	// POST with a body that can't be read twice, so that the client library does not
	// repeat the request by itself.
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+paths[k], io.NopCloser(strings.NewReader("body of "+id)))
	if err != nil {
		return
	}
	req.Host = stand.Host
	for name, v := range stand.CallerHeaders(id, key, limitMS) {
		req.Header.Set(name, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		res.err = err
	} else {
		b, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.status, res.body, res.err = resp.StatusCode, string(b), rerr
	}
	res.end = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, res)
}
