package queue

import (
	"time"

	vane "mustardvane.org/vane"
)

// Limits of the queue, in requests.
const (
	defaultMaxRunning      = 64   // in progress
	maxWaitingPerWorkspace = 1024 // waiting
)

// Ticket is a request that waits to start.
type Ticket struct {
	ID        uint64 // set by the caller; returned unchanged
	Workspace string
	Cost      float64   // in tokens
	Deadline  time.Time // the request is refused if it has not started by then
}

// RefusedTicket is a ticket that will not start, with the reason.
type RefusedTicket struct {
	Ticket Ticket
	Reason vane.Reason
}

// Decision is the result of a call to the scheduler: the tickets that start now and
// those that are refused.
type Decision struct {
	Started []Ticket
	Refused []RefusedTicket
}

// workspaceQueue holds the waiting tickets of one workspace.
type workspaceQueue struct {
	waiting []Ticket
	counter float64 // cost of the requests started, in tokens, raised after idle time
	running int
}

// Scheduler is the fair queue without goroutines or timers: the caller passes the
// time and carries out the decisions. It is not safe for concurrent use.
type Scheduler struct {
	limit      int
	running    int
	queues     map[string]*workspaceQueue
	minCounter float64          // lowest counter of an active workspace; kept while none is active
	usage      map[string]usage // by workspace
}

// Option configures a scheduler under construction.
type Option func(*Scheduler)

// WithLimit sets the maximum number of requests in progress. Values below 1 mean 1.
func WithLimit(n int) Option { return func(s *Scheduler) { s.limit = max(1, n) } }

// NewScheduler returns a scheduler with no tickets.
func NewScheduler(opts ...Option) *Scheduler {
	s := &Scheduler{limit: defaultMaxRunning, queues: make(map[string]*workspaceQueue), usage: make(map[string]usage)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetLimit changes the maximum number of requests in progress. Values below 1 mean
// 1. Running requests are not affected; call Expire to start waiting ones.
func (s *Scheduler) SetLimit(n int) { s.limit = max(1, n) }

// Limit returns the maximum number of requests in progress.
func (s *Scheduler) Limit() int { return s.limit }

// Running returns the number of requests in progress.
func (s *Scheduler) Running() int { return s.running }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.queues {
		n += len(q.waiting)
	}
	return n
}

// Push adds a ticket and starts the tickets that may start.
func (s *Scheduler) Push(now time.Time, t Ticket) Decision {
	q := s.queueOf(t.Workspace)
	if len(q.waiting) >= maxWaitingPerWorkspace {
		return Decision{Refused: []RefusedTicket{{Ticket: t, Reason: vane.ReasonQueueFull}}}
	}
	q.waiting = append(q.waiting, t)
	return s.dispatch(now)
}

// queueOf returns the queue of a workspace. The counter of a new or idle one is
// raised to minCounter.
func (s *Scheduler) queueOf(ws string) *workspaceQueue {
	q, ok := s.queues[ws]
	if !ok {
		q = &workspaceQueue{}
		s.queues[ws] = q
	}
	if q.running == 0 && len(q.waiting) == 0 {
		q.counter = max(q.counter, s.updateMinCounter())
	}
	return q
}

// updateMinCounter returns the lowest counter of an active workspace. It never
// decreases.
func (s *Scheduler) updateMinCounter() float64 {
	low, found := s.minCounter, false
	for _, q := range s.queues {
		if q.running == 0 && len(q.waiting) == 0 {
			continue
		}
		if !found || q.counter < low {
			low, found = q.counter, true
		}
	}
	s.minCounter = max(s.minCounter, low)
	return s.minCounter
}

// Done ends a running request of the workspace and starts the tickets that may start.
func (s *Scheduler) Done(now time.Time, ws string) Decision {
	if q, ok := s.queues[ws]; ok && q.running > 0 {
		q.running--
		s.running--
		s.dropIfIdle(ws, q)
	}
	return s.dispatch(now)
}

// Cancel removes a waiting ticket. It returns false if the ticket no longer waits.
func (s *Scheduler) Cancel(ws string, id uint64) bool {
	q, ok := s.queues[ws]
	if !ok {
		return false
	}
	for i, t := range q.waiting {
		if t.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			s.dropIfIdle(ws, q)
			return true
		}
	}
	return false
}

// dropIfIdle deletes the queue of an idle workspace if minCounter makes its counter
// redundant.
func (s *Scheduler) dropIfIdle(ws string, q *workspaceQueue) {
	if q.running == 0 && len(q.waiting) == 0 && q.counter <= s.minCounter {
		delete(s.queues, ws)
	}
}

// Expire refuses the tickets whose deadline has passed and starts those that may
// start.
func (s *Scheduler) Expire(now time.Time) Decision { return s.dispatch(now) }

// dispatch refuses the tickets whose deadline has passed and starts those that may
// start.
func (s *Scheduler) dispatch(now time.Time) Decision {
	var d Decision
	for ws, q := range s.queues {
		d.Refused = append(d.Refused, q.expire(now)...)
		s.dropIfIdle(ws, q)
	}
	for s.running < s.limit {
		q := s.next()
		if q == nil {
			break
		}
		d.Started = append(d.Started, s.start(q))
	}
	return d
}

// expire removes the tickets whose deadline has passed and returns them as refused.
func (q *workspaceQueue) expire(now time.Time) []RefusedTicket {
	var out []RefusedTicket
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if now.Before(t.Deadline) {
			kept = append(kept, t)
			continue
		}
		out = append(out, RefusedTicket{Ticket: t, Reason: vane.ReasonQueueDeadline})
	}
	q.waiting = kept
	return out
}

// next returns the non-empty queue with the lowest counter, or nil. Ties go to the
// queue with the older ticket, so that the result does not depend on map order.
func (s *Scheduler) next() *workspaceQueue {
	var best *workspaceQueue
	for _, q := range s.queues {
		if len(q.waiting) == 0 {
			continue
		}
		if best == nil || q.counter < best.counter || (q.counter == best.counter && q.waiting[0].ID < best.waiting[0].ID) {
			best = q
		}
	}
	return best
}

// start removes the first ticket of the queue and counts it as running.
func (s *Scheduler) start(q *workspaceQueue) Ticket {
	t := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.running++
	q.counter += t.Cost
	s.running++
	return t
}

// Charge adds cost that became known after the start, such as generated tokens.
func (s *Scheduler) Charge(ws string, cost float64) {
	if q, ok := s.queues[ws]; ok {
		q.counter += cost
	}
}
