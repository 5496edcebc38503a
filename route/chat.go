package route

import (
	"context"
	"net/http"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/stream"
)

// Answer is a whole plain answer.
type Answer struct {
	Body     []byte
	Usage    stream.Usage
	Upstream vane.Upstream
}

// Outcome is what a streamed job came to.
type Outcome struct {
	Usage    stream.Usage
	Relayed  int // offset after the last event that the caller got
	Attempts int
}

// tries is the loop state of a job.
type tries struct {
	n     int
	avoid []string
	exec  vane.Execution // of all attempts so far
}

// note counts a failed attempt.
func (t *tries) note(a *attempt, r *vane.Refusal) {
	t.avoid = append(t.avoid, a.pick.Upstream.Name)
	t.exec = worst(t.exec, r.Execution)
}

// Plain runs the job until one upstream gave a whole answer.
func (rt *Router) Plain(ctx context.Context, j *Job, maxTokens int) (Answer, error) {
	rt.budget.Fresh()
	t := &tries{}
	for {
		t.n++
		a, actx, err := rt.begin(ctx, j, t.avoid)
		if err != nil {
			return Answer{}, refusal(err).WithExecution(t.exec)
		}
		ans, ref := rt.plainOnce(actx, a, maxTokens)
		rt.observe(a, ref, ans.Usage, 0)
		if ref == nil {
			return ans, nil
		}
		if err := rt.again(ctx, j, a, t, ref); err != nil {
			return Answer{}, err
		}
	}
}

// again waits for the next attempt, or returns the final refusal.
func (rt *Router) again(ctx context.Context, j *Job, a *attempt, t *tries, ref *vane.Refusal) error {
	t.note(a, ref)
	if ref.Reason == vane.ReasonUpstreamRejected || ref.Reason == vane.ReasonInternal {
		return ref.WithExecution(t.exec)
	}
	if err := rt.checkCrash(ctx, a, ref); err != nil {
		return refusal(err).WithExecution(t.exec)
	}
	v := rt.failed(ctx, j, a, t.n, ref)
	if !v.Again || !clock.Sleep(ctx, v.After) {
		if v.Reason == vane.ReasonCallerGone {
			ref.Reason = v.Reason
		}
		return ref.WithExecution(t.exec).WithRetryAfter(time.Second)
	}
	return nil
}

// plainOnce runs one attempt of a plain job.
func (rt *Router) plainOnce(ctx context.Context, a *attempt, maxTokens int) (Answer, *vane.Refusal) {
	cached := -1
	defer func() { rt.end(a, cached) }()
	resp, err := rt.send(ctx, a, false, 0, maxTokens)
	if err != nil {
		return Answer{}, refusal(err)
	}
	a.timer.Reset(totalTime)
	body, err := readAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return Answer{}, streamRefusal(a.pick.Upstream, err)
	}
	checked, err := stream.CheckResponse(body, a.job.answerID())
	if err != nil {
		return Answer{}, streamRefusal(a.pick.Upstream, err)
	}
	rt.first(a)
	cached = checked.Usage.Cached
	return Answer{Body: body, Usage: checked.Usage, Upstream: a.pick.Upstream}, nil
}

// Stream runs the job and relays its events to w. When an upstream breaks off,
// another one goes on at the next offset. It returns an error unless the caller
// got every event and the final one.
func (rt *Router) Stream(ctx context.Context, j *Job, w stream.Writer, maxTokens int) (Outcome, error) {
	if j.Resume == 0 {
		rt.budget.Fresh()
	}
	rel := stream.NewRelay(w, j.Token, j.Resume, !j.WantUsage)
	t := &tries{}
	for {
		t.n++
		a, actx, err := rt.begin(ctx, j, t.avoid)
		if err != nil {
			return outcome(rel, t), refusal(err).WithExecution(t.exec)
		}
		rel.OnFirstEvent(func() { rt.first(a) })
		from := rel.NextOffset()
		ref := rt.streamOnce(actx, a, rel, maxTokens)
		rt.observe(a, ref, rel.Usage(), rel.NextOffset()-from)
		if ref == nil {
			return outcome(rel, t), nil
		}
		before := rel.NextOffset()
		if err := rt.again(ctx, j, a, t, ref); err != nil {
			return outcome(rel, t), err
		}
		if before > j.Resume {
			rt.rec.Record(vane.Event{
				What: vane.EventResumed, Reason: ref.Reason, Workspace: j.Workspace, Request: j.RequestID(),
				Subject: a.pick.Upstream.Name, Have: float64(before),
			})
		}
	}
}

// outcome sums a job up.
func outcome(rel *stream.Relay, t *tries) Outcome {
	return Outcome{Usage: rel.Usage(), Relayed: rel.NextOffset(), Attempts: t.n}
}

// streamOnce runs one attempt of a streamed job.
func (rt *Router) streamOnce(ctx context.Context, a *attempt, rel *stream.Relay, maxTokens int) *vane.Refusal {
	cached := -1
	defer func() { rt.end(a, cached) }()
	resp, err := rt.send(ctx, a, true, rel.NextOffset(), maxTokens)
	if err != nil {
		return refusal(err)
	}
	defer resp.Body.Close()
	if err := rel.Copy(stream.NewReader(&watched{r: resp, timer: a.timer}), a.job.answerID()); err != nil {
		return streamRefusal(a.pick.Upstream, err)
	}
	cached = rel.Usage().Cached
	return nil
}

// watched is a response body whose silence is bounded. The timer runs only while
// a read waits, so that a slow caller is not taken for a silent upstream.
type watched struct {
	r     *http.Response
	timer *time.Timer
	begun bool
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	if w.begun {
		w.timer.Reset(gapTimeout)
	}
	n, err := w.r.Body.Read(p)
	w.timer.Stop()
	w.begun = true
	return n, err
}
