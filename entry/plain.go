package entry

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/auth"
	"mustardvane.org/vane/claim"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/linger"
	"mustardvane.org/vane/prefix"
	"mustardvane.org/vane/route"
)

// headerIdempotencyKey is the request header that identifies a call to a route that
// is not idempotent, so that a repetition of it is recognised.
const headerIdempotencyKey = "Idempotency-Key"

// headerReplayed is the response header that marks a recorded response.
const headerReplayed = "Idempotent-Replayed"

// maxIdempotencyKey is the greatest length of an Idempotency-Key in bytes.
const maxIdempotencyKey = 255

// handleService serves /v1/services/{service}/…. Calls to routes that are not
// idempotent are claimed by their Idempotency-Key first.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	c := s.newRequest(r)
	defer c.close()
	name, path := r.PathValue("service"), "/"+r.PathValue("path")
	rt, ok := s.View().Fleet.FindRoute(name, r.Method, path)
	if !ok {
		s.refuse(w, c, vane.Refuse(vane.ReasonRouteUnknown, "no route for %s %s of service %q; ask the operator for one", r.Method, path, name))
		return
	}
	if !rt.Open {
		if _, _, err := s.authenticate(c, r); err != nil {
			s.refuse(w, c, err)
			return
		}
	}
	body, err := s.readBody(w, r, c)
	if err == nil {
		err = c.body.Pin()
	}
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	call := s.newCall(c, r, name, path, body, rt.Idempotent)
	if rt.Idempotent {
		s.runCall(w, r, c, call, nil)
		return
	}
	cl, err := s.beginClaim(r, c, call)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	s.runCall(w, r, c, call, cl)
}

// newCall builds the call for package route, without the caller's credentials.
func (s *Server) newCall(c *request, r *http.Request, name, path string, body []byte, idempotent bool) route.Call {
	h := r.Header.Clone()
	auth.Strip(h)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return route.Call{
		RequestID: c.requestID(), Workspace: c.workspace, Service: name, Method: r.Method, Path: path,
		Header: h, Body: body, Idempotent: idempotent, Begin: c.arrived, Memory: s.openResponse(c),
	}
}

// beginClaim claims the call's Idempotency-Key before the call is sent. The claim
// replays the outcome if the same call has already run.
func (s *Server) beginClaim(r *http.Request, c *request, call route.Call) (*claim.Claim, error) {
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return nil, vane.Refuse(vane.ReasonClaimKeyMissing, "this route is not idempotent; send one Idempotency-Key of 1 to %d bytes", maxIdempotencyKey)
	}
	fp := prefix.Fingerprint(call.Method+" "+call.Service+call.Path, call.Body)
	return s.Claims.Begin(r.Context(), claim.Request{Workspace: c.workspace, Key: keys[0], Fingerprint: fp})
}

// runCall runs the call, or replays its recorded outcome, and responds to the
// caller. cl is nil for idempotent routes.
func (s *Server) runCall(w http.ResponseWriter, r *http.Request, c *request, call route.Call, cl *claim.Claim) {
	if cl != nil && cl.Replayed() {
		s.writeReplay(w, r, c, cl.Outcome())
		return
	}
	ctx := r.Context()
	if cl != nil {
		// The call goes on if the caller leaves, so that its outcome is recorded.
		ctx = withoutCancel(ctx)
	}
	res, err := s.Router.Call(ctx, call)
	if err != nil {
		if cl != nil && asRefusal(err).Execution == vane.NotRun {
			_ = cl.Release(withoutCancel(r.Context()))
		}
		s.refuse(w, c, err)
		return
	}
	if cl != nil {
		cl.Finish(claim.Outcome{Status: res.Status, ContentType: res.Header.Get("Content-Type"), Body: res.Body, Unframed: res.Framing == conns.FramingClose})
	}
	s.Recorder.Record(vane.Event{Kind: vane.EventServed, Workspace: c.workspace, RequestID: c.requestID(), Subject: call.Service, Observed: time.Since(c.arrived).Seconds()})
	s.metrics.served.WithLabelValues(c.workspace).Inc()
	h := w.Header()
	for k, v := range res.Header {
		h[k] = v
	}
	h.Set(headerRequestID, c.requestID())
	s.writeBody(w, r, res.Status, res.Framing, res.Body)
}

// writeBody writes the response whose other headers are set. If its framing is that of the
// end of the connection, a connection that ends before the whole body is sent is reset.
func (s *Server) writeBody(w http.ResponseWriter, r *http.Request, status int, framing conns.Framing, body []byte) {
	framing.SetHeader(w.Header())
	unstated := framing == conns.FramingClose
	if unstated {
		if err := linger.Begin(r); err != nil {
			klog.ErrorS(err, "Part of a response may look whole if this node ends")
		}
	}
	w.WriteHeader(status)
	// If the caller has left, the write fails. Nothing remains to be done then: the server
	// closes the connection.
	if _, err := w.Write(body); err != nil || !unstated {
		return
	}
	if err := linger.End(w, r); err != nil {
		klog.V(2).InfoS("end of the response not sent", "err", err)
	}
}

// writeReplay responds with a recorded outcome.
func (s *Server) writeReplay(w http.ResponseWriter, r *http.Request, c *request, out claim.Outcome) {
	if out.Truncated {
		s.refuse(w, c, vane.Refuse(vane.ReasonClaimUnknown, "the call ran with status %d, but its response was too large to record; read the result from the service", out.Status).
			WithExecution(vane.Ran))
		return
	}
	h := w.Header()
	if out.ContentType != "" {
		h.Set("Content-Type", out.ContentType)
	}
	h.Set(headerReplayed, "true")
	h.Set(headerRequestID, c.requestID())
	framing := conns.FramingLength
	if out.Unframed {
		framing = conns.FramingClose
	}
	s.writeBody(w, r, out.Status, framing, out.Body)
}
