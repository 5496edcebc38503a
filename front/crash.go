package front

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/crash"
)

// Limits of the checks whether an upstream has crashed.
const (
	crashCheckTimeout = 300 * time.Millisecond // a host whose process is gone refuses a connection well within this time
	crashCheckTTL     = time.Second            // time for which the result of a check is used
	endDelay          = 20 * time.Millisecond  // a process that has ended has no sockets after this time, on a host that is not overloaded
	lateProof         = time.Second            // an upstream that crashes on a part of a prompt does so soon after it has begun to answer
)

// PartTracker finds the parts of prompts that crash upstreams. Parts are identified by
// hashes.
type PartTracker interface {
	// Check returns an error if requests with one of the parts must not be sent.
	Check(now time.Time, workspace string, parts []uint64) error
	// Suspect reports whether a request with the parts should not be retried.
	Suspect(parts []uint64) bool
	// RecordCrash records that u crashed before any of the answer arrived.
	RecordCrash(now time.Time, workspace string, parts []uint64, u vane.Upstream)
	// RecordLateCrash records that u crashed after the answer to a request with the late
	// keys had begun.
	RecordLateCrash(now time.Time, workspace string, keys []uint64, u vane.Upstream)
	// RecordSuccess records that the answer to a request with the parts has begun.
	RecordSuccess(now time.Time, parts []uint64)
	// RecordComplete records that a request with the late keys was answered completely, or
	// for so long that the keys cause no crash.
	RecordComplete(now time.Time, keys []uint64)
}

// crashCheck is one check whether an upstream has crashed.
type crashCheck struct {
	at      time.Time
	done    chan struct{} // closed once crashed is valid
	crashed bool
}

// crashChecks makes one check for all requests that an upstream breaks off at a time.
type crashChecks struct {
	mu     sync.Mutex
	checks map[string]*crashCheck // by upstream
}

// passed reports whether the check has ended and the upstream had not crashed.
func (c *crashCheck) passed() bool {
	select {
	case <-c.done:
		return !c.crashed
	default:
		return false
	}
}

// crashed reports whether the process of an upstream is gone, as opposed to a connection
// that was reset or a cut link: its host refuses connections. sent is the time of a request
// to that process; the result of an earlier check is not used, since it tells of a process
// before that one. A connection that the check opens is kept in the pool.
func (k *crashChecks) crashed(pool *conns.Pool, u vane.Upstream, sent time.Time) bool {
	now := time.Now()
	k.mu.Lock()
	if k.checks == nil {
		k.checks = make(map[string]*crashCheck)
	}
	for name, c := range k.checks {
		if now.Sub(c.at) > crashCheckTTL {
			delete(k.checks, name)
		}
	}
	c, ok := k.checks[u.Name]
	if ok && (c.passed() || c.at.Before(sent)) {
		ok = false // the upstream may have crashed, or started again, since
	}
	if !ok {
		c = &crashCheck{at: now, done: make(chan struct{})}
		k.checks[u.Name] = c
	}
	k.mu.Unlock()
	if !ok {
		c.crashed = refusesConnections(pool, u)
		close(c.done)
	}
	<-c.done
	return c.crashed
}

// refusesConnections reports whether nothing listens on an upstream's address.
func refusesConnections(pool *conns.Pool, u vane.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return errors.Is(pool.Probe(ctx, u.Addr, u.Name), syscall.ECONNREFUSED)
}

// crashed reports whether an upstream that has closed the connection of a request, which was
// sent at a time, has crashed. The kernel
// closes the connections of a process that has ended before the socket on which it listened,
// so that a check that passes is repeated after the delays.
func (h *Handler) crashed(u vane.Upstream, sent time.Time, delays ...time.Duration) bool {
	for _, d := range delays {
		if h.crashChecks.crashed(h.Pool, u, sent) {
			return true
		}
		time.Sleep(d)
	}
	return h.crashChecks.crashed(h.Pool, u, sent)
}

// checkParts returns a refusal if the request, or a part of its prompt, crashes upstreams.
func (h *Handler) checkParts(c *request, now time.Time) *vane.Refusal {
	for _, keys := range [][]uint64{c.parts, c.lateKeys} {
		if err := h.Parts.Check(now, c.tenancy.Workspace, keys); err != nil {
			h.Log.Info("request or a part of its prompt is convicted", "request_id", c.meta.ID, "workspace", c.tenancy.Workspace, "parts", c.partIDs(), "hashes", crash.Hashes(keys))
			return asRefusal(err)
		}
	}
	return nil
}

// partIDs returns the ids of the shared parts of the request's prompt.
func (c *request) partIDs() []string {
	out := make([]string, len(c.parts))
	for i := range out {
		out[i] = c.meta.Parts[i].ID
	}
	return out
}

// recordCut records the request as a possible cause of a crash if the upstream, which broke
// it off, has crashed. Evidence against a request whose answer has begun is kept apart: many
// such requests run on an upstream, and one that had no answer yet is the likelier cause.
func (h *Handler) recordCut(t *attempts, u vane.Upstream) {
	id, ws, fp, parts, late, ids, at, sent, answering := t.meta.ID, t.tenancy.Workspace, t.fingerprint, t.parts, t.lateKeys, t.partIDs(), time.Now(), t.result.sent, t.answering
	go func() {
		crashed := h.crashed(u, sent, endDelay, 5*endDelay)
		h.Log.Info("broken off", "request_id", id, "workspace", ws, "upstream", u.Name, "incarnation", u.Incarnation, "answering", answering,
			"parts", ids, "hashes", crash.Hashes(parts), "late_hashes", crash.Hashes(late), "crashed", crashed)
		if !crashed {
			return
		}
		if answering {
			h.Parts.RecordLateCrash(at, ws, late, u)
			return
		}
		// An upstream that crashes with its first event may be gone before that arrives, so that
		// the request collects evidence of both kinds.
		h.Parts.RecordLateCrash(at, ws, late[len(parts):], u)
		h.Crashes.RecordCrash(ws, fp, u)
		if len(parts) > 0 {
			h.Parts.RecordCrash(at, ws, parts, u)
		}
	}()
}

// recordEvent records an event of the answer. Parts of the prompt that have been answered for
// lateProof are not what crashes upstreams.
func (h *Handler) recordEvent(t *attempts) {
	h.recordAnswer(t)
	if now := time.Now(); now.Sub(t.result.firstAt) >= lateProof {
		h.Parts.RecordComplete(now, t.lateKeys[:len(t.parts)])
	}
}

// recordAnswer records that the answer to the request has begun.
func (h *Handler) recordAnswer(t *attempts) {
	if !t.answering {
		t.answering = true
		h.Parts.RecordSuccess(time.Now(), t.parts)
	}
}
