package route

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/retry"
)

// Limits of calls to plain services.
const (
	callTimeout          = 30 * time.Second // limit of each attempt; a further one begins only within this time of the request's arrival
	maxCallResponseBytes = 16 << 20
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// Call is one request to a plain service, which is any service other than an engine.
type Call struct {
	RequestID  string
	Workspace  string
	Service    string
	Method     string
	Path       string // including the query
	Header     http.Header
	Body       []byte
	Idempotent bool         // the call may be sent more than once
	Begin      time.Time    // when the request arrived
	Memory     *memory.Hold // of the response, closed by the caller; nil for no limit
}

// Result is the response of a plain service. It is complete unless its framing is
// conns.FramingClose. Then the process that wrote it still ran at its end, which does not
// show whether it wrote all of it.
type Result struct {
	Status  int
	Header  http.Header
	Body    []byte
	Framing conns.Framing
}

// Call sends the request to one instance after another until one responds. A call that
// is not idempotent goes on to the next instance only if no connection to the previous
// one was made. Errors are of type [*vane.Refusal].
func (rt *Router) Call(ctx context.Context, c Call) (Result, error) {
	ups := rt.dir.Service(c.Service)
	if len(ups) == 0 {
		return Result{}, vane.Refuse(vane.ReasonNoUpstream, "no live instance of service %q; retry later or check the list of hosts", c.Service).
			WithRetryAfter(time.Second)
	}
	rt.budget.CountRequest()
	exec := vane.NotRun
	for n, u := range ups {
		res, ref := rt.callOnce(ctx, c, u)
		if ref == nil {
			return res, nil
		}
		exec = worse(exec, ref.Execution)
		ref = ref.WithExecution(exec)
		now := time.Now()
		left := callTimeout - now.Sub(c.Begin)
		v := retry.Decide(retry.Attempt{Number: n + 1, Execution: ref.Execution, Idempotent: c.Idempotent, Left: left}, rt.budget, now)
		if !v.Retry || n == len(ups)-1 || !clock.Sleep(ctx, v.Delay) {
			return Result{}, ref.WithRetryAfter(time.Second)
		}
		rt.recorder.Record(vane.Event{
			Kind: vane.EventRerouted, Reason: ref.Reason, Workspace: c.Workspace, RequestID: c.RequestID,
			Subject: u.Name, Observed: float64(n + 1), Threshold: retry.MaxAttempts,
		})
	}
	return Result{}, vane.Refuse(vane.ReasonNoUpstream, "no instance of service %q responded", c.Service).WithExecution(exec)
}

// callOnce sends the call to one instance.
func (rt *Router) callOnce(ctx context.Context, c Call, u vane.Upstream) (Result, *vane.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var conn connTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { conn.connected.Store(true) }})
	req, err := c.request(ctx, u)
	if err != nil {
		return Result{}, vane.Refuse(vane.ReasonBadRequest, "the request can't be forwarded; correct its path").WithCause(err)
	}
	client := rt.reused
	if !c.Idempotent {
		client = rt.singleUse
	}
	resp, err := client.Do(req)
	if err != nil {
		return Result{}, vane.Refuse(vane.ReasonUpstreamFailed, "instance %s of service %s did not respond", u.Name, c.Service).
			WithExecution(conn.execution()).WithCause(err)
	}
	defer resp.Body.Close()
	body, err := rt.held.read(c.Memory, resp.Body, maxCallResponseBytes)
	if err != nil {
		return Result{}, vane.Refuse(vane.ReasonUpstreamFailed, "the response of instance %s is incomplete or too long", u.Name).
			WithExecution(vane.MayHaveRun).WithCause(err)
	}
	framing := conns.FramingOf(resp)
	if framing == conns.FramingClose && !rt.stillRuns(ctx, u, resp.Header) {
		return Result{}, vane.Refuse(vane.ReasonUpstreamFailed, "the response of instance %s states no end, and the instance is not known to run", u.Name).
			WithExecution(vane.MayHaveRun)
	}
	h := resp.Header.Clone()
	removeHopByHopHeaders(h)
	return Result{Status: resp.StatusCode, Header: h, Body: body, Framing: framing}, nil
}

// request builds the request to one instance.
func (c Call) request(ctx context.Context, u vane.Upstream) (*http.Request, error) {
	// The body is wrapped to hide its type, so that net/http can't rewind it and send
	// it a second time on its own.
	var body io.Reader
	if len(c.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(c.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+u.Addr+c.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	req.Header = c.Header.Clone()
	removeHopByHopHeaders(req.Header)
	req.Header.Set(headerRequestID, c.RequestID)
	req.Header.Set(headerWorkspace, c.Workspace)
	return req, nil
}

// removeHopByHopHeaders removes the headers that apply to a single connection.
func removeHopByHopHeaders(h http.Header) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
