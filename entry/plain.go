package entry

import (
	"net/http"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/auth"
	"mustardvane.org/vane/claim"
	"mustardvane.org/vane/prefix"
	"mustardvane.org/vane/route"
)

// headerIdempotency names a call that may not be repeated.
const headerIdempotency = "Idempotency-Key"

// headerReplayed marks a recorded answer.
const headerReplayed = "Idempotent-Replayed"

// maxIdempotencyKey is the longest Idempotency-Key in bytes.
const maxIdempotencyKey = 255

// service serves /v1/services/{service}/….
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c := s.begin(r)
	name, path := r.PathValue("service"), "/"+r.PathValue("path")
	rt, ok := s.View().Fleet.RouteOf(name, r.Method, path)
	if !ok {
		s.refuse(w, c, vane.Refuse(vane.ReasonRouteUnknown, "no route for %s %s of service %q; ask the operator for one", r.Method, path, name))
		return
	}
	if !rt.Open {
		if _, _, err := s.authorize(c, r); err != nil {
			s.refuse(w, c, err)
			return
		}
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	call := s.newCall(c, r, name, path, body, rt.Idempotent)
	if rt.Idempotent {
		s.answerCall(w, r, c, call, nil)
		return
	}
	cl, err := s.claim(r, c, call)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	s.answerCall(w, r, c, call, cl)
}

// newCall builds the call for package route.
func (s *Server) newCall(c *call, r *http.Request, name, path string, body []byte, idempotent bool) route.Call {
	h := r.Header.Clone()
	auth.Strip(h)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return route.Call{
		RequestID: c.requestID(), Workspace: c.workspace, Service: name, Method: r.Method, Path: path,
		Header: h, Body: body, Idempotent: idempotent, Begin: c.begin,
	}
}

// claim records that the call is about to go out.
func (s *Server) claim(r *http.Request, c *call, call route.Call) (*claim.Claim, error) {
	keys := r.Header.Values(headerIdempotency)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return nil, vane.Refuse(vane.ReasonClaimKeyMissing, "this call may not be repeated; send one Idempotency-Key of at most %d bytes", maxIdempotencyKey)
	}
	fp := prefix.Fingerprint(call.Method+" "+call.Service+call.Path, call.Body)
	return s.Claims.Begin(r.Context(), claim.Request{Workspace: c.workspace, Key: keys[0], Fingerprint: fp})
}

// answerCall runs the call, or replays its outcome, and answers the caller.
func (s *Server) answerCall(w http.ResponseWriter, r *http.Request, c *call, call route.Call, cl *claim.Claim) {
	if cl != nil && cl.Replay() {
		s.replay(w, c, cl.Outcome())
		return
	}
	ctx := r.Context()
	if cl != nil {
		// The outcome is recorded even if the caller leaves.
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
		cl.Finish(claim.Outcome{Status: res.Status, ContentType: res.Header.Get("Content-Type"), Body: res.Body})
	}
	s.Recorder.Record(vane.Event{What: vane.EventServed, Workspace: c.workspace, Request: c.requestID(), Subject: call.Service, Have: time.Since(c.begin).Seconds()})
	s.metrics.served.WithLabelValues(c.workspace).Inc()
	h := w.Header()
	for k, v := range res.Header {
		h[k] = v
	}
	h.Set(headerRequestID, c.requestID())
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// replay answers with a recorded outcome.
func (s *Server) replay(w http.ResponseWriter, c *call, out claim.Outcome) {
	if out.Truncated {
		s.refuse(w, c, vane.Refuse(vane.ReasonClaimUnknown, "the call ran with status %d, but its answer was too large to record; read the result from the service", out.Status).
			WithExecution(vane.Ran))
		return
	}
	h := w.Header()
	if out.ContentType != "" {
		h.Set("Content-Type", out.ContentType)
	}
	h.Set(headerReplayed, "true")
	h.Set(headerRequestID, c.requestID())
	w.WriteHeader(out.Status)
	_, _ = w.Write(out.Body)
}
