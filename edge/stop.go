package edge

import (
	"context"
	"time"

	"mustardvane.org/vane/internal/clock"
)

// Parts of the grace period of a planned stop.
const (
	drainMargin  = 450 * time.Millisecond // at the end, reserved for ending the process
	answerMargin = 200 * time.Millisecond // before that; the requests in flight are refused in it
)

// drain directs callers to other nodes. It keeps serving until cached directory answers
// have expired and the requests in flight have ended, or the grace period is nearly
// over. Requests that are still in flight then are refused, or broken off if their
// responses have begun.
func (n *Node) drain(callers *httpListener) {
	begin := time.Now()
	n.mu.Lock()
	n.leaving, n.leavingSince = true, begin
	n.mu.Unlock()
	n.mesh.SendNow()
	n.log.Info("draining", "in_flight", n.handler.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Grace-drainMargin)
	defer cancel()
	go n.leases.Release(ctx)
	go n.removeOwnRecord(ctx)
	clock.Sleep(ctx, 3*n.settings.ttl()+tickPeriod)
	callers.stopAccepting()
	serving, end := context.WithDeadline(ctx, n.servesUntil())
	defer end()
	for n.handler.InFlight() > 0 && clock.Sleep(serving, tickPeriod/4) {
	}
	defer context.AfterFunc(serving, n.handler.Stop)()
	// A request may arrive on an open connection until that is closed.
	callers.close(ctx)
	n.log.Info("drained", "in_flight", n.handler.InFlight(), "took_ms", time.Since(begin).Milliseconds())
}

// isLeaving reports whether the node is stopping.
func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// closing reports whether the node is stopping and callers have had time to learn it, and
// until when it serves requests. Those in flight have the time in between to end.
func (n *Node) closing() (until time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving || time.Since(n.leavingSince) <= 3*n.settings.ttl() {
		return time.Time{}, false
	}
	return n.servesUntil(), true
}

// servesUntil returns when a stopping node ends its requests. It may be called once leavingSince
// is set, which does not change then.
func (n *Node) servesUntil() time.Time {
	return n.leavingSince.Add(n.settings.Grace - drainMargin - answerMargin)
}
