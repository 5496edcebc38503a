package route

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/reply"
	"mustardvane.org/vane/stream"
)

// Limits of the check whether an upstream has crashed.
const (
	probeTimeout  = 300 * time.Millisecond
	maxProbeBytes = 64 << 10
)

// isBrokenOff reports whether the upstream cut the connection while it may have been
// running the job, as happens in a crash.
func isBrokenOff(ref *vane.Refusal) bool {
	if ref.Execution == vane.NotRun || ref.Cause == nil || errors.Is(ref.Cause, errStalled) {
		return false
	}
	k := stream.KindOf(ref.Cause)
	return k == stream.KindBroken || k == stream.KindEmpty || k == stream.KindNone
}

// checkCrash probes an upstream that cut the connection. If the upstream does not
// respond, it is taken to have crashed while running the job. checkCrash returns an
// error if the job must not run again.
func (rt *Router) checkCrash(ctx context.Context, a *attempt, ref *vane.Refusal) error {
	if ctx.Err() != nil || a.job.Callbacks.OnCrash == nil || !isBrokenOff(ref) || rt.alive(ctx, a.pick.Upstream) {
		return nil
	}
	rt.recorder.Record(vane.Event{
		Kind: vane.EventUpstreamCrashed, Reason: ref.Reason, Workspace: a.job.Workspace,
		RequestID: a.job.RequestID(), Subject: a.pick.Upstream.Name, Observed: float64(a.pick.Upstream.Incarnation),
	})
	return a.job.Callbacks.OnCrash(a.pick.Upstream)
}

// alive reports whether the upstream responds and still has its known incarnation.
func (rt *Router) alive(ctx context.Context, u vane.Upstream) bool {
	n, ok := rt.askIncarnation(ctx, u)
	return ok && n == u.Incarnation
}

// stillRuns reports whether the process that wrote a response with the given header is
// known to run. No answer is no proof: another process may listen at its address by now.
func (rt *Router) stillRuns(ctx context.Context, u vane.Upstream, h http.Header) bool {
	writer, ok := incarnation(h)
	if !ok {
		writer = u.Incarnation
	}
	n, ok := rt.askIncarnation(ctx, u)
	return ok && n != 0 && n == writer
}

// askIncarnation asks the upstream for its incarnation, which is zero if it states none. It
// returns false if the upstream does not respond.
func (rt *Router) askIncarnation(ctx context.Context, u vane.Upstream) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+"/v1/load", nil)
	if err != nil {
		return 0, false
	}
	resp, err := rt.singleUse.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var rep struct {
		Incarnation uint64 `json:"incarnation"`
	}
	body, err := reply.Read(resp.Body, maxProbeBytes)
	if err != nil || json.Unmarshal(body, &rep) != nil {
		return 0, false
	}
	return rep.Incarnation, true
}
