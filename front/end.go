package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/sched"
)

// Errors of responses whose connection has ended in order, but which are not known to be whole.
var (
	errUnstated = errors.New("the end of a response is stated, but not that of its rest")
	errProcess  = errors.New("the upstream's process is not known to run")
)

// checkEnd returns an error unless a response that has been read to its end is whole. The
// kernel ends the connections of a process that crashes in order, so a response whose end
// nothing else states is whole only if the process that sent it still runs.
func (h *Handler) checkEnd(ctx context.Context, t *attempts, p sched.Pick, resp *conns.Response) error {
	if resp.Framing != conns.FramingClose {
		return nil
	}
	// A process that is about to end may still answer.
	time.Sleep(endDelay)
	begin := time.Now()
	state := h.Process(ctx, p.Upstream)
	h.Log.Info("end of a response that states none", "request_id", t.meta.ID, "upstream", p.Upstream.Name, "incarnation", p.Upstream.Incarnation,
		"process", state.String(), "took_ms", time.Since(begin).Milliseconds())
	if state != vane.ProcessRuns {
		return errProcess
	}
	return nil
}
