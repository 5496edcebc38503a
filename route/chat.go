package route

import (
	"context"
	"net/http"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/stream"
)

// Response is the complete response to a request that is not streamed.
type Response struct {
	Body     []byte
	Usage    stream.Usage
	Upstream vane.Upstream
}

// Outcome summarises a streamed job, whether or not it succeeded.
type Outcome struct {
	Usage      stream.Usage
	NextOffset int // offset after the last event sent to the caller
	Attempts   int // attempts made, including the last one
}

// retryState is the state of a job's retry loop.
type retryState struct {
	count     int            // attempts made so far
	avoid     []string       // names of the upstreams whose attempts failed
	execution vane.Execution // over all attempts so far
}

// record adds a failed attempt.
func (t *retryState) record(a *attempt, r *vane.Refusal) {
	t.avoid = append(t.avoid, a.pick.Upstream.Name)
	t.execution = worse(t.execution, r.Execution)
}

// Complete runs the job without streaming, until one upstream has sent a complete
// response. Errors are of type [*vane.Refusal].
func (rt *Router) Complete(ctx context.Context, j *Job, maxTokens int) (Response, error) {
	rt.budget.CountRequest()
	t := &retryState{}
	for {
		t.count++
		a, actx, err := rt.begin(ctx, j, t.avoid)
		if err != nil {
			return Response{}, refusal(err).WithExecution(t.execution)
		}
		resp, ref := rt.completeOnce(actx, a, maxTokens)
		rt.observe(a, ref, resp.Usage, 0)
		if ref == nil {
			return resp, nil
		}
		if err := rt.retry(ctx, j, a, t, ref); err != nil {
			return Response{}, err
		}
	}
}

// retry handles a failed attempt. It returns nil after the delay if another attempt may
// follow, else the final refusal.
func (rt *Router) retry(ctx context.Context, j *Job, a *attempt, t *retryState, ref *vane.Refusal) error {
	t.record(a, ref)
	if ref.Reason == vane.ReasonUpstreamRejected || ref.Reason == vane.ReasonInternal {
		return ref.WithExecution(t.execution)
	}
	if err := rt.checkCrash(ctx, a, ref); err != nil {
		return refusal(err).WithExecution(t.execution)
	}
	v := rt.handleFailure(ctx, j, a, t.count, ref)
	if !v.Retry || !clock.Sleep(ctx, v.Delay) {
		if v.Reason == vane.ReasonCallerGone {
			ref.Reason = v.Reason
		}
		return ref.WithExecution(t.execution).WithRetryAfter(time.Second)
	}
	return nil
}

// completeOnce runs one attempt of a job that is not streamed.
func (rt *Router) completeOnce(ctx context.Context, a *attempt, maxTokens int) (Response, *vane.Refusal) {
	cached := -1
	defer func() { rt.end(a, cached) }()
	resp, err := rt.send(ctx, a, false, 0, maxTokens)
	if err != nil {
		return Response{}, refusal(err)
	}
	a.timer.Reset(jobTimeout)
	body, err := rt.held.read(a.job.Memory, resp.Body, maxResponseBytes)
	_ = resp.Body.Close()
	if err != nil {
		return Response{}, streamRefusal(a.pick.Upstream, err)
	}
	checked, err := stream.CheckResponse(body, a.job.responseID())
	if err != nil {
		return Response{}, streamRefusal(a.pick.Upstream, err)
	}
	rt.recordFirstToken(a)
	cached = checked.Usage.Cached
	return Response{Body: body, Usage: checked.Usage, Upstream: a.pick.Upstream}, nil
}

// Stream runs the job and relays its events to w. When an upstream fails in the middle,
// another one continues at the next offset. It returns an error of type [*vane.Refusal]
// unless the caller got every event including the final one.
func (rt *Router) Stream(ctx context.Context, j *Job, w stream.Writer, maxTokens int) (Outcome, error) {
	if j.ResumeOffset == 0 {
		rt.budget.CountRequest()
	}
	rel := stream.NewRelay(w, j.StreamToken, j.ResumeOffset, !j.WantUsage)
	t := &retryState{}
	for {
		t.count++
		a, actx, err := rt.begin(ctx, j, t.avoid)
		if err != nil {
			return outcome(rel, t), refusal(err).WithExecution(t.execution)
		}
		rel.OnFirstEvent(func() { rt.recordFirstToken(a) })
		from := rel.NextOffset()
		ref := rt.streamOnce(actx, a, rel, maxTokens)
		rt.observe(a, ref, rel.Usage(), rel.NextOffset()-from)
		if ref == nil {
			return outcome(rel, t), nil
		}
		before := rel.NextOffset()
		if err := rt.retry(ctx, j, a, t, ref); err != nil {
			return outcome(rel, t), err
		}
		if before > j.ResumeOffset {
			rt.recorder.Record(vane.Event{
				Kind: vane.EventResumed, Reason: ref.Reason, Workspace: j.Workspace, RequestID: j.RequestID(),
				Subject: a.pick.Upstream.Name, Observed: float64(before),
			})
		}
	}
}

// outcome returns the outcome of a streamed job.
func outcome(rel *stream.Relay, t *retryState) Outcome {
	return Outcome{Usage: rel.Usage(), NextOffset: rel.NextOffset(), Attempts: t.count}
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
	if err := rel.Copy(stream.NewReader(&timedBody{response: resp, timer: a.timer}), a.job.responseID()); err != nil {
		return streamRefusal(a.pick.Upstream, err)
	}
	cached = rel.Usage().Cached
	return nil
}

// timedBody is a response body that limits the time without data after the first read.
// The timer runs only during a read, so that a slow caller is not taken for a silent
// upstream.
type timedBody struct {
	response *http.Response
	timer    *time.Timer
	started  bool
}

// Read implements io.Reader.
func (w *timedBody) Read(p []byte) (int, error) {
	if w.started {
		w.timer.Reset(gapTimeout)
	}
	n, err := w.response.Body.Read(p)
	w.timer.Stop()
	w.started = true
	return n, err
}
