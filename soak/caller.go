package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// Time limits and pauses of callers.
const (
	deadlineMS     = 3000            // time limit that each request states
	callTimeout    = 5 * time.Second // must exceed deadlineMS
	connectTimeout = time.Second     // limit for connecting to a node, and for a directory query
	maxPause       = 30 * time.Millisecond
	maxLongWork    = 1500 // longest time in milliseconds that a long request takes at its upstream
)

// kind is the kind of the route of a request.
type kind int

const (
	unsafe    kind = iota // must not run twice
	safe                  // may be retried
	stream                // response is a stream of events
	kindCount             // number of kinds
)

// kindPaths are the request paths of the kinds.
var kindPaths = [kindCount]string{"/unsafe/x", "/safe/x", "/stream/x"}

// result is the outcome of one request as its caller saw it.
type result struct {
	id, workspace string
	kind          kind
	status        int // zero if no response headers were received
	body          string
	stated        bool  // the response stated the end of its body
	err           error // error from sending the request or reading the body
	sent, ended   time.Time
	nodeAddr      string
}

// callers is the state that all callers share.
type callers struct {
	nodes []*node

	mu      sync.Mutex
	results []result
}

// run sends requests as caller n, one at a time, until ctx ends. It reuses its
// connections, and queries a node's directory again when its last response has expired.
func (c *callers) run(ctx context.Context, n int, r *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext},
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
			work := 0
			if r.IntN(8) == 0 {
				work = r.IntN(maxLongWork)
			}
			c.send(client, addrs[r.IntN(len(addrs))], fmt.Sprintf("c%d-%d", n, i), kind(r.IntN(int(kindCount))), r.IntN(2) == 0, work)
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
	}
}

// resolve queries the directory of a random node for the addresses to connect to. It
// returns them with the time for which they are valid, and none if the query failed.
func (c *callers) resolve(ctx context.Context, r *rand.Rand) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
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

// send sends one request to addr and records its result. The request has the key of
// workspace A if workspaceA is set, else that of workspace B. It takes workMS milliseconds at
// its upstream, or the usual time if that is zero.
func (c *callers) send(client *http.Client, addr, id string, k kind, workspaceA bool, workMS int) {
	res := result{id: id, kind: k, nodeAddr: addr, workspace: stand.WorkspaceB, sent: time.Now()}
	key := stand.KeyB
	if workspaceA {
		res.workspace, key = stand.WorkspaceA, stand.KeyA
	}
	// The method is POST and the body can't be read twice, so that net/http does not retry
	// the request by itself.
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+kindPaths[k], io.NopCloser(strings.NewReader(stand.RequestBody(id, 0))))
	if err != nil {
		return
	}
	req.Host = stand.Host
	for name, v := range stand.CallerHeaders(id, key, deadlineMS) {
		req.Header.Set(name, v)
	}
	if workMS > 0 {
		req.Header.Set(stand.HeaderWork, strconv.Itoa(workMS))
	}
	resp, err := client.Do(req)
	if err != nil {
		res.err = err
	} else {
		b, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.status, res.body, res.err = resp.StatusCode, string(b), rerr
		res.stated = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	}
	res.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, res)
}
