package entry

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/prefix"
	"mustardvane.org/vane/queue"
	"mustardvane.org/vane/route"
	"mustardvane.org/vane/stream"
	"mustardvane.org/vane/target"
)

// defaultFirstTokenTarget is the first-token target of classes that state none.
const defaultFirstTokenTarget = 820 * time.Millisecond

// budgetWaitTenths is the share of the first-token target, in tenths, for which a
// request may wait for its workspace's budget. The rest is left for the fair queue.
const budgetWaitTenths = 9

// handleChat serves POST /v1/chat/completions.
func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	c := s.newRequest(r)
	defer c.close()
	ws, v, err := s.authenticate(c, r)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	body, err := s.readBody(w, r, c)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	req, err := parseHeld(c.body, body)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	if err := s.serveChat(w, r, c, ws, v, req, body); err != nil {
		s.refuse(w, c, err)
	}
}

// admission is the state of a chat request while it runs: its budget reservation,
// its permit of the fair queue and the tokens it has used.
type admission struct {
	job         *route.Job
	reservation vane.Reservation
	permit      *queue.Permit
	fingerprint uint64 // identifies the request in the CrashTracker
	usedTokens  int    // charged when the reservation is settled

	streamed bool
}

// serveChat runs a parsed chat request and responds to the caller. If it returns an
// error, it has sent no response.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, c *request, ws config.Workspace, v *config.View, req *chatRequest, body []byte) error {
	prompt := prefix.Cut(ws.Name, req.model, req.msgs, s.pieceTokens)
	req.msgs = nil // frees the text, which is not needed during the response
	if err := checkModel(v, req, prompt); err != nil {
		return err
	}
	t := &admission{fingerprint: prefix.Fingerprint(ws.Name, body), streamed: req.stream}
	resume, err := s.resumeOffset(r, c, ws.Name, t.fingerprint, req.stream)
	if err != nil {
		return err
	}
	if err := s.Crashes.Check(ws.Name, t.fingerprint); err != nil {
		return err
	}
	class := v.Fleet.ClassOf(ws)
	target := time.Duration(class.FirstToken)
	if target <= 0 {
		target = defaultFirstTokenTarget
	}
	if err := s.admit(r.Context(), c, t, prompt.Tokens+req.maxTokens, target); err != nil {
		return err
	}
	defer s.release(t)
	t.job = s.newJob(c, t, req, prompt, class, target, resume)
	if req.stream {
		return s.respondStream(w, r, c, t, req)
	}
	return s.respondComplete(w, r, c, t, req)
}

// resumeOffset returns the event offset from which a repeated request resumes its
// stream, as stated by Last-Event-ID, and sets the request id to that of the
// original request. Without Last-Event-ID it returns zero.
func (s *Server) resumeOffset(r *http.Request, c *request, ws string, fp uint64, streamed bool) (int, error) {
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return 0, nil
	}
	if !streamed {
		return 0, vane.Refuse(vane.ReasonResumeInvalid, "only a stream can be resumed; set stream to true or omit Last-Event-ID")
	}
	id, next, err := s.Signer.VerifyEventID(last, ws, fp)
	if err != nil {
		return 0, err
	}
	c.id = id
	return next, nil
}

// admit reserves the tokens in the workspace's budget and waits in the fair queue.
// The first-token target limits both waits.
func (s *Server) admit(ctx context.Context, c *request, t *admission, tokens int, target time.Duration) error {
	deadline := c.arrived.Add(target)
	lctx, cancel := context.WithDeadline(ctx, c.arrived.Add(target*budgetWaitTenths/10))
	defer cancel()
	res, err := s.Limiter.Reserve(lctx, c.workspace, tokens)
	if err != nil {
		return err
	}
	permit, err := s.Gate.Acquire(ctx, c.workspace, float64(tokens), deadline)
	if err != nil {
		res.Settle(0)
		return err
	}
	t.reservation, t.permit, c.queueWait = res, permit, permit.Wait
	s.metrics.queueWaitSeconds.Observe(permit.Wait.Seconds())
	if permit.Wait > target/10 {
		s.Recorder.Record(vane.Event{
			Kind: vane.EventWaited, Reason: vane.ReasonQueueDeadline, Workspace: c.workspace, RequestID: c.requestID(),
			Observed: permit.Wait.Seconds(), Threshold: target.Seconds(),
		})
	}
	return nil
}

// release settles the reservation with the tokens used and returns the permit of the
// fair queue.
func (s *Server) release(t *admission) {
	t.reservation.Settle(t.usedTokens)
	t.permit.Release(0)
}

// Priorities within a class: engines run the requests of workspaces that use more
// than their equal share after those of other workspaces.
const (
	classPriorities = 4    // number of engine priorities for each class
	fairShareLimit  = 1.25 // use up to this multiple of the equal share does not lower the priority
)

// priority returns the engine priority of a request; engines run lower values first.
// shares is the workspace's use as a multiple of its equal share. The value rises by
// one step above fairShareLimit and at each doubling of it, within the priorities of
// the class.
func priority(class config.Class, shares float64) int {
	p := class.Priority * classPriorities
	for limit, n := fairShareLimit, 1; n < classPriorities && shares > limit; limit, n = 2*limit, n+1 {
		p++
	}
	return p
}

// newJob returns the job with which package route runs the request.
func (s *Server) newJob(c *request, t *admission, req *chatRequest, prompt vane.Prompt, class config.Class, target time.Duration, resume int) *route.Job {
	ws := c.workspace
	return &route.Job{
		ID: c.id, Workspace: ws, Priority: priority(class, t.permit.FairShareRatio), Prompt: prompt, Memory: s.openResponse(c), Model: req.model,
		StreamToken: s.Signer.Token(c.id, ws, t.fingerprint), ResumeOffset: resume, WantUsage: req.wantUsage,
		FirstTokenTarget: target, Begin: c.arrived, Fields: req.fields,
		Callbacks: route.Callbacks{
			OnCrash: func(u vane.Upstream) error {
				s.Crashes.RecordCrash(ws, t.fingerprint, u)
				return s.Crashes.Check(ws, t.fingerprint)
			},
			OnFirstToken: func(after time.Duration) {
				c.firstToken = after
				s.metrics.firstTokenSeconds.WithLabelValues(class.Name).Observe(after.Seconds())
				s.Gate.ObserveFirstToken(after, target)
			},
		},
	}
}

// respondComplete sends the response as a single JSON body.
func (s *Server) respondComplete(w http.ResponseWriter, r *http.Request, c *request, t *admission, req *chatRequest) error {
	resp, err := s.Router.Complete(r.Context(), t.job, req.maxTokens)
	if err != nil {
		t.usedTokens = tokensUsedOnError(err, t.job.Prompt.Tokens)
		return err
	}
	t.usedTokens = tokensUsed(resp.Usage, t.job.Prompt.Tokens)
	s.recordServed(c, t, resp.Usage, 1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, c.requestID())
	_, err = w.Write(resp.Body)
	if err != nil {
		s.recordRefusal(c, vane.Refuse(vane.ReasonCallerGone, "the caller left before the response was sent").WithExecution(vane.Ran))
	}
	return nil
}

// tokensUsedOnError returns the tokens that a failed request is charged: those of the
// prompt, or zero if the request did not run.
func tokensUsedOnError(err error, prompt int) int {
	if asRefusal(err).Execution == vane.NotRun {
		return 0
	}
	return prompt
}

// tokensUsed returns the tokens that a response used, as stated by the engine. If the
// engine stated none, it returns the estimate prompt.
func tokensUsed(u stream.Usage, prompt int) int {
	if u.Prompt+u.Generated > 0 {
		return u.Prompt + u.Generated
	}
	return prompt
}

// respondStream relays the response event by event. If the stream fails after it has
// begun, the failure is sent as an error event and nil is returned.
func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, c *request, t *admission, req *chatRequest) error {
	ew := newEventWriter(w, c, s.bounds.WriteTimeout)
	out, err := s.Router.Stream(r.Context(), t.job, ew, req.maxTokens)
	t.usedTokens = tokensUsed(out.Usage, t.job.Prompt.Tokens+out.NextOffset-t.job.ResumeOffset)
	if err == nil {
		s.recordServed(c, t, out.Usage, out.Attempts)
		return nil
	}
	if !ew.started {
		t.usedTokens = tokensUsedOnError(err, t.job.Prompt.Tokens)
		return err
	}
	ref := asRefusal(err)
	s.recordRefusal(c, ref)
	s.Recorder.Record(vane.Event{
		Kind: vane.EventStreamBroken, Reason: ref.Reason, Workspace: c.workspace, RequestID: c.requestID(), Observed: float64(out.NextOffset),
	})
	ew.writeError(refusalBody(c, ref))
	return nil
}

// minGapTokens is the least number of generated tokens for which the mean time
// between tokens is compared with its target.
const minGapTokens = 5

// targetResult returns the first-token time and the mean token gap of a request with
// the targets of its class, and the likely cause in case they are missed.
func (c *request) targetResult(u stream.Usage, attempts int, streamed bool) target.Result {
	r := target.Result{
		Class: c.class.Name, Workspace: c.workspace, FirstToken: c.firstToken, FirstTokenTarget: time.Duration(c.class.FirstToken),
		TokenGapTarget: time.Duration(c.class.TokenGap), Cause: vane.ReasonUpstreamSlow,
	}
	if streamed && u.Generated >= minGapTokens {
		r.TokenGap = (time.Since(c.arrived) - c.firstToken) / time.Duration(u.Generated-1)
	}
	switch {
	case attempts > 1:
		r.Cause = vane.ReasonUpstreamFailed
	case c.queueWait > c.firstToken/2:
		r.Cause = vane.ReasonQueueDeadline
	}
	return r
}

// recordServed records a completed request in the targets, the metrics and the
// time line, and clears its crashes.
func (s *Server) recordServed(c *request, t *admission, u stream.Usage, attempts int) {
	s.Targets.Add(time.Now(), c.targetResult(u, attempts, t.streamed))
	s.Crashes.RecordSuccess(c.workspace, t.fingerprint)
	s.metrics.served.WithLabelValues(c.workspace).Inc()
	s.metrics.tokens.WithLabelValues("prompt").Add(float64(u.Prompt))
	s.metrics.tokens.WithLabelValues("generated").Add(float64(u.Generated))
	if u.Cached > 0 {
		s.metrics.tokens.WithLabelValues("cached").Add(float64(u.Cached))
	}
	s.Recorder.Record(vane.Event{
		Kind: vane.EventServed, Workspace: c.workspace, RequestID: hex.EncodeToString(c.id[:]),
		Observed: time.Since(c.arrived).Seconds(), Threshold: t.job.FirstTokenTarget.Seconds(),
	})
}
