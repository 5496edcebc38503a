package front

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/sched"
)

// Limits of the checks which process of an upstream runs.
const (
	processTimeout = time.Second      // a plain service answers once it has a free slot
	processTTL     = 10 * time.Minute // time for which a process that was seen is remembered
)

// Errors of responses whose connection has ended in order, but which are not known to be whole.
var (
	errUnstated = errors.New("the end of a response is stated, but not that of its rest")
	errProcess  = errors.New("the upstream's process is not known to run since it got the request")
)

// processCheck is a check which process of an upstream runs. Its result is valid once done is
// closed.
type processCheck struct {
	done        chan struct{}
	incarnation uint64
	state       vane.ProcessState
}

// seenProcess is a process that a check has seen to run.
type seenProcess struct {
	incarnation uint64
	first, last time.Time // of the checks
}

// processChecks makes one check for all responses of an upstream that end at a time. Its zero
// value is ready for use.
type processChecks struct {
	mu      sync.Mutex
	waiting map[string]*processCheck // checks that have not begun, by upstream
	seen    map[string]seenProcess   // by upstream
}

// start returns a check that begins after endDelay: a process that is about to end may still
// answer before that.
func (k *processChecks) start(u vane.Upstream, ask func(ctx context.Context) (uint64, vane.ProcessState)) *processCheck {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c, ok := k.waiting[u.Name]; ok {
		return c
	}
	c := &processCheck{done: make(chan struct{})}
	if k.waiting == nil {
		k.waiting, k.seen = make(map[string]*processCheck), make(map[string]seenProcess)
	}
	k.waiting[u.Name] = c
	time.AfterFunc(endDelay, func() {
		k.mu.Lock()
		delete(k.waiting, u.Name)
		k.mu.Unlock()
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
		defer cancel()
		c.incarnation, c.state = ask(ctx)
		if c.state == vane.ProcessRuns {
			k.record(u.Name, c.incarnation, begin)
		}
		close(c.done)
	})
	return c
}

// record records that a process was seen to run.
func (k *processChecks) record(upstream string, incarnation uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.seen[upstream]
	if !ok || s.incarnation != incarnation {
		s = seenProcess{incarnation: incarnation, first: now}
	}
	s.last = now
	k.seen[upstream] = s
	for name, s := range k.seen {
		if now.Sub(s.last) > processTTL {
			delete(k.seen, name)
		}
	}
}

// ranBefore reports whether a process was seen to run before a time.
func (k *processChecks) ranBefore(upstream string, incarnation uint64, t time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.seen[upstream]
	return ok && s.incarnation == incarnation && s.first.Before(t)
}

// checkEnd returns an error unless a response that has been read to its end is whole. The
// kernel ends the connections of a process that crashes in order, so a response whose end
// nothing else states is whole only if the process that got the request still runs. That is
// the one that the store had named, or that an earlier check had seen.
func (h *Handler) checkEnd(ctx context.Context, t *attempts, p sched.Pick, resp *conns.Response) error {
	if resp.Framing != conns.FramingClose {
		return nil
	}
	begin := time.Now()
	s, _ := t.view.Config.Service(p.Upstream.Service)
	c := h.processes.start(p.Upstream, func(ctx context.Context) (uint64, vane.ProcessState) {
		return h.Process(ctx, p.Upstream, s.HealthPath)
	})
	select {
	case <-c.done:
	case <-ctx.Done():
		return errProcess
	}
	same := c.incarnation == p.Upstream.Incarnation || h.processes.ranBefore(p.Upstream.Name, c.incarnation, t.result.sent)
	h.Log.Info("end of a response that states none", "request_id", t.meta.ID, "upstream", p.Upstream.Name, "incarnation", p.Upstream.Incarnation,
		"process", c.state.String(), "process_incarnation", c.incarnation, "same", same, "took_ms", time.Since(begin).Milliseconds())
	if c.state != vane.ProcessRuns || !same {
		return errProcess
	}
	return nil
}
