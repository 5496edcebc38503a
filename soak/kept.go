package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// Load of the callers that keep connections.
const (
	keptPerNode   = 32                     // connections that callers keep to each node
	maxKeptIdle   = 7 * time.Second        // longest time between two requests on a connection; nearly the grace period
	redialPause   = 150 * time.Millisecond // after a node has refused a connection
	maxPlainWork  = 450 * time.Millisecond
	maxStreamWork = 12 * time.Second
)

// keptLimits are the time limits of the requests by kind.
var keptLimits = [kindCount]time.Duration{4 * time.Second, 4 * time.Second, 15 * time.Second}

// keptResult is the outcome of a request on a kept connection.
type keptResult struct {
	result
	node  int
	limit time.Duration
	whole bool // a complete response was received, whatever its status
}

// keepConn sends requests over a connection to node i, one at a time, and opens a new one
// when it has ended, until ctx ends. It goes on using the connection of a stopping node
// until that closes it, and calls record with each result.
func (b *testbed) keepConn(ctx context.Context, i, n int, r *rand.Rand, record func(keptResult)) {
	for k := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", b.nodes[i].callers(), connectTimeout)
		if err != nil {
			sleep(ctx, redialPause)
			continue
		}
		br := bufio.NewReader(c)
		for open := true; open && ctx.Err() == nil; k++ {
			pause := r.Float64() * float64(maxKeptIdle)
			if r.IntN(2) == 0 {
				pause *= r.Float64() * r.Float64() // many short ones
			}
			sleep(ctx, time.Duration(pause))
			var res keptResult
			res, open = sendKept(c, br, fmt.Sprintf("k%d-%d-%d", i, n, k), kind(r.IntN(int(kindCount))), r)
			res.node = i
			if res.status != 0 || res.err != nil {
				record(res)
			}
		}
		_ = c.Close()
	}
}

// sendKept sends one request over an open connection. It returns false if the connection
// can't be used any more.
func sendKept(c net.Conn, br *bufio.Reader, id string, k kind, r *rand.Rand) (keptResult, bool) {
	work := time.Duration(r.Int64N(int64(maxPlainWork)))
	if k == stream {
		work = time.Duration(float64(maxStreamWork) * r.Float64() * r.Float64())
	}
	res := keptResult{result: result{id: id, kind: k, workspace: stand.WorkspaceA}, limit: keptLimits[k]}
	body := "body of " + id
	var req strings.Builder
	fmt.Fprintf(&req, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", kindPaths[k], stand.Host, len(body))
	for name, v := range stand.CallerHeaders(id, stand.KeyA, int(res.limit.Milliseconds())) {
		fmt.Fprintf(&req, "%s: %s\r\n", name, v)
	}
	fmt.Fprintf(&req, "%s: %d\r\n\r\n%s", stand.HeaderWork, work.Milliseconds(), body)
	_ = c.SetDeadline(time.Now().Add(res.limit + time.Second))
	_, err := io.WriteString(c, req.String())
	res.sent = time.Now()
	if err != nil {
		res.err, res.ended = err, time.Now()
		return res, false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		res.err, res.ended = err, time.Now()
		return res, false
	}
	text, err := io.ReadAll(resp.Body)
	res.status, res.body, res.err, res.ended = resp.StatusCode, string(text), err, time.Now()
	res.stated = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	res.whole = err == nil
	return res, res.whole && res.stated && !resp.Close
}

// String describes the result for a violation.
func (r keptResult) String() string {
	return "sent " + r.sent.Format("05.000") + ", ended after " + r.ended.Sub(r.sent).Round(time.Millisecond).String() + " with status " + strconv.Itoa(r.status) + ", error " + fmt.Sprint(r.err)
}
