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

// defaultTarget is the first-token target of a class that states none.
const defaultTarget = 820 * time.Millisecond

// budgetPart is the part of the first-token target, in tenths, that a request may
// wait for its workspace's budget; what remains is for its turn.
const budgetPart = 9

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	c := s.begin(r)
	ws, v, err := s.authorize(c, r)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	req, err := parseChat(body)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	if err := s.serveChat(w, r, c, ws, v, req, body); err != nil {
		s.refuse(w, c, err)
	}
}

// turn is what a chat request holds while it runs.
type turn struct {
	job  *route.Job
	res  vane.Reservation
	pass *queue.Pass
	fp   uint64
	used int

	streamed bool
}

// serveChat runs a checked chat request. An error that it returns has not been
// answered yet.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, c *call, ws config.Workspace, v *config.View, req *chat, body []byte) error {
	prompt := prefix.Cut(ws.Name, req.model, req.msgs, s.piece)
	req.msgs = nil // the text is not needed while the answer streams
	if err := checkModel(v, req, prompt); err != nil {
		return err
	}
	t := &turn{fp: prefix.Fingerprint(ws.Name, body), streamed: req.stream}
	resume, err := s.resume(r, c, ws.Name, t.fp, req.stream)
	if err != nil {
		return err
	}
	if err := s.Crashes.Check(ws.Name, t.fp); err != nil {
		return err
	}
	class := v.Fleet.ClassOf(ws)
	target := time.Duration(class.FirstToken)
	if target <= 0 {
		target = defaultTarget
	}
	if err := s.admit(r.Context(), c, t, prompt.Tokens+req.maxTokens, target); err != nil {
		return err
	}
	defer s.leave(t)
	t.job = s.newJob(c, t, req, prompt, class, target, resume)
	if req.stream {
		return s.streamed(w, r, c, t, req)
	}
	return s.plain(w, r, c, t, req)
}

// resume reads the position from which a repeated request goes on.
func (s *Server) resume(r *http.Request, c *call, ws string, fp uint64, streamed bool) (int, error) {
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return 0, nil
	}
	if !streamed {
		return 0, vane.Refuse(vane.ReasonResumeInvalid, "only a stream can be resumed; send stream true or leave Last-Event-ID out")
	}
	id, next, err := s.Signer.VerifyEventID(last, ws, fp)
	if err != nil {
		return 0, err
	}
	c.id = id
	return next, nil
}

// admit takes the tokens from the budget and waits for a fair turn.
func (s *Server) admit(ctx context.Context, c *call, t *turn, tokens int, target time.Duration) error {
	deadline := c.begin.Add(target)
	lctx, cancel := context.WithDeadline(ctx, c.begin.Add(target*budgetPart/10))
	defer cancel()
	res, err := s.Limiter.Reserve(lctx, c.workspace, tokens)
	if err != nil {
		return err
	}
	pass, err := s.Gate.Enter(ctx, c.workspace, float64(tokens), deadline)
	if err != nil {
		res.Settle(0)
		return err
	}
	t.res, t.pass, c.waited = res, pass, pass.Wait
	s.metrics.wait.Observe(pass.Wait.Seconds())
	if pass.Wait > target/10 {
		s.Recorder.Record(vane.Event{
			What: vane.EventWaited, Reason: vane.ReasonQueueDeadline, Workspace: c.workspace, Request: c.requestID(),
			Have: pass.Wait.Seconds(), Want: target.Seconds(),
		})
	}
	return nil
}

// leave gives back what the request held.
func (s *Server) leave(t *turn) {
	t.res.Settle(t.used)
	t.pass.Leave(0)
}

// Priorities within a class: engines run the requests of workspaces that use more
// than their equal share after those of the others.
const (
	classPriorities = 4    // priorities of one class
	fairShares      = 1.25 // equal shares that cost nothing
)

// priority returns the engine priority of a request; lower runs first.
func priority(class config.Class, shares float64) int {
	p := class.Priority * classPriorities
	for limit, n := fairShares, 1; n < classPriorities && shares > limit; limit, n = 2*limit, n+1 {
		p++
	}
	return p
}

// newJob builds the job for package route.
func (s *Server) newJob(c *call, t *turn, req *chat, prompt vane.Prompt, class config.Class, target time.Duration, resume int) *route.Job {
	ws := c.workspace
	return &route.Job{
		ID: c.id, Workspace: ws, Priority: priority(class, t.pass.Shares), Prompt: prompt, Model: req.model,
		Token: s.Signer.Token(c.id, ws, t.fp), Resume: resume, WantUsage: req.wantUsage,
		Target: target, Begin: c.begin, Fields: req.fields,
		Notify: route.Notify{
			Lost: func(u vane.Upstream) error {
				s.Crashes.Lost(ws, t.fp, u)
				return s.Crashes.Check(ws, t.fp)
			},
			First: func(after time.Duration) {
				c.first = after
				s.metrics.first.WithLabelValues(class.Name).Observe(after.Seconds())
				s.Gate.FirstToken(after, target)
			},
		},
	}
}

// plain serves an answer in one piece.
func (s *Server) plain(w http.ResponseWriter, r *http.Request, c *call, t *turn, req *chat) error {
	ans, err := s.Router.Plain(r.Context(), t.job, req.maxTokens)
	if err != nil {
		t.used = usedAfter(err, t.job.Prompt.Tokens)
		return err
	}
	t.used = spent(ans.Usage, t.job.Prompt.Tokens)
	s.served(c, t, ans.Usage, 1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, c.requestID())
	_, err = w.Write(ans.Body)
	if err != nil {
		s.note(c, vane.Refuse(vane.ReasonCallerGone, "the caller left before the answer").WithExecution(vane.Ran))
	}
	return nil
}

// usedAfter returns the tokens that a failed request is charged.
func usedAfter(err error, prompt int) int {
	if asRefusal(err).Execution == vane.NotRun {
		return 0
	}
	return prompt
}

// spent returns the tokens that an answer used. An engine that states nothing is
// charged the estimate of the prompt.
func spent(u stream.Usage, prompt int) int {
	if u.Prompt+u.Generated > 0 {
		return u.Prompt + u.Generated
	}
	return prompt
}

// streamed serves an answer event by event.
func (s *Server) streamed(w http.ResponseWriter, r *http.Request, c *call, t *turn, req *chat) error {
	ew := newEventWriter(w, c, s.bounds.WriteTimeout)
	out, err := s.Router.Stream(r.Context(), t.job, ew, req.maxTokens)
	t.used = spent(out.Usage, t.job.Prompt.Tokens+out.Relayed-t.job.Resume)
	if err == nil {
		s.served(c, t, out.Usage, out.Attempts)
		return nil
	}
	if !ew.begun {
		t.used = usedAfter(err, t.job.Prompt.Tokens)
		return err
	}
	ref := asRefusal(err)
	s.note(c, ref)
	s.Recorder.Record(vane.Event{
		What: vane.EventStreamBroken, Reason: ref.Reason, Workspace: c.workspace, Request: c.requestID(), Have: float64(out.Relayed),
	})
	ew.fail(detail(c, ref))
	return nil
}

// minGaps is the number of tokens from which on the time between them is compared
// with its target.
const minGaps = 5

// result returns what a request means for the targets of its class.
func (c *call) result(u stream.Usage, attempts int, streamed bool) target.Result {
	r := target.Result{
		Class: c.class.Name, Workspace: c.workspace, First: c.first, FirstTarget: time.Duration(c.class.FirstToken),
		GapTarget: time.Duration(c.class.TokenGap), Cause: vane.ReasonUpstreamSlow,
	}
	if streamed && u.Generated >= minGaps {
		r.Gap = (time.Since(c.begin) - c.first) / time.Duration(u.Generated-1)
	}
	switch {
	case attempts > 1:
		r.Cause = vane.ReasonUpstreamFailed
	case c.waited > c.first/2:
		r.Cause = vane.ReasonQueueDeadline
	}
	return r
}

// served counts an answered request.
func (s *Server) served(c *call, t *turn, u stream.Usage, attempts int) {
	s.Targets.Add(time.Now(), c.result(u, attempts, t.streamed))
	s.Crashes.Answered(c.workspace, t.fp)
	s.metrics.served.WithLabelValues(c.workspace).Inc()
	s.metrics.tokens.WithLabelValues("prompt").Add(float64(u.Prompt))
	s.metrics.tokens.WithLabelValues("generated").Add(float64(u.Generated))
	if u.Cached > 0 {
		s.metrics.tokens.WithLabelValues("cached").Add(float64(u.Cached))
	}
	s.Recorder.Record(vane.Event{
		What: vane.EventServed, Workspace: c.workspace, Request: hex.EncodeToString(c.id[:]),
		Have: time.Since(c.begin).Seconds(), Want: t.job.Target.Seconds(),
	})
}
