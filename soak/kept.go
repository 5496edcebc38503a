package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
	shape shape
}

// keepConn sends requests over a connection to node i, one at a time, and opens a new one
// when it has ended, until ctx ends. It goes on using the connection of a stopping node
// until that closes it, and calls record with each result. With Options.Crashes, the request
// that is in flight when ctx ends is given up and not recorded.
func (b *testbed) keepConn(ctx context.Context, i, n int, r *rand.Rand, record func(keptResult)) {
	for k := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", b.nodes[i].callers(), connectTimeout)
		if err != nil {
			sleep(ctx, redialPause)
			continue
		}
		giveUp := func() bool { return true }
		if b.opt.Crashes {
			giveUp = context.AfterFunc(ctx, func() { _ = c.Close() })
		}
		br := bufio.NewReader(c)
		for open := true; open && ctx.Err() == nil; k++ {
			pause := r.Float64() * float64(maxKeptIdle)
			if r.IntN(2) == 0 {
				pause *= r.Float64() * r.Float64() // many short ones
			}
			sleep(ctx, time.Duration(pause))
			var res keptResult
			res, open = sendKept(c, br, fmt.Sprintf("k%d-%d-%d", i, n, k), kind(r.IntN(int(kindCount))), r, b.drawShape(r))
			res.node = i
			if givenUp := b.opt.Crashes && ctx.Err() != nil; !givenUp {
				record(res)
			}
		}
		giveUp()
		_ = c.Close()
	}
}

// shape is what a request looks like, and how its first upstream responds.
type shape struct {
	trouble  stand.Trouble
	chunked  bool          // the request's body is sent in chunks
	bodySize int           // in bytes; zero for a short body
	split    float64       // part of the request after which the caller pauses
	pause    time.Duration // zero for none
	work     time.Duration // at the upstream; zero for the usual times
}

// sendKept sends one request over an open connection. It returns false if the connection
// can't be used any more.
func sendKept(c net.Conn, br *bufio.Reader, id string, k kind, r *rand.Rand, s shape) (keptResult, bool) {
	work := time.Duration(r.Int64N(int64(maxPlainWork)))
	if k == stream {
		work = time.Duration(float64(maxStreamWork) * r.Float64() * r.Float64())
	}
	if s.work > 0 {
		work = s.work
	}
	res := keptResult{result: result{id: id, kind: k, workspace: stand.WorkspaceA}, limit: keptLimits[k], shape: s}
	body := stand.RequestBody(id, s.bodySize)
	var req strings.Builder
	fmt.Fprintf(&req, "POST %s HTTP/1.1\r\nHost: %s\r\n", kindPaths[k], stand.Host)
	for name, v := range stand.CallerHeaders(id, stand.KeyA, int(res.limit.Milliseconds())) {
		fmt.Fprintf(&req, "%s: %s\r\n", name, v)
	}
	fmt.Fprintf(&req, "%s: %d\r\n%s: %d\r\n", stand.HeaderWork, work.Milliseconds(), stand.HeaderBodySize, s.bodySize)
	if s.trouble != stand.TroubleNone {
		fmt.Fprintf(&req, "%s: %d\r\n", stand.HeaderTrouble, s.trouble)
	}
	if s.chunked {
		half := len(body) / 2
		fmt.Fprintf(&req, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	} else {
		fmt.Fprintf(&req, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	_ = c.SetDeadline(time.Now().Add(res.limit + time.Second + s.pause))
	wrote := make(chan error, 1)
	var sent time.Time
	go func() {
		at := int(s.split * float64(req.Len()))
		_, err := io.WriteString(c, req.String()[:at])
		time.Sleep(s.pause)
		if err == nil {
			_, err = io.WriteString(c, req.String()[at:])
		}
		sent = time.Now()
		_ = c.SetReadDeadline(sent.Add(res.limit + time.Second)) // the node has the whole limit from here on
		wrote <- err
	}()
	resp, err := http.ReadResponse(br, nil)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		res.status, res.body = resp.StatusCode, string(text)
		res.stated = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	}
	res.err, res.ended = err, time.Now()
	_ = c.SetWriteDeadline(res.ended)
	werr := <-wrote
	if res.sent = sent; errors.Is(werr, os.ErrDeadlineExceeded) {
		res.sent = res.ended // the node did not read the whole request
	} else if res.err == nil && !res.stated {
		res.err = werr // a reset is reported once, to the writer or to the reader
	}
	res.whole = res.err == nil
	return res, res.whole && res.stated && !resp.Close && werr == nil
}

// String describes the result for a violation.
func (r keptResult) String() string {
	return "sent " + r.sent.Format("05.000") + ", ended after " + r.ended.Sub(r.sent).Round(time.Millisecond).String() + " with status " + strconv.Itoa(r.status) + ", error " + fmt.Sprint(r.err) + fmt.Sprintf(", trouble %d, chunked %t, %d bytes", r.shape.trouble, r.shape.chunked, r.shape.bodySize)
}
