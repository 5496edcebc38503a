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
	for _, l := range s.queues {
		n += len(l.waiting)
	}
	return n
}

// Push adds a ticket and starts the tickets that may start.
func (s *Scheduler) Push(now time.Time, t Ticket) Decision {
	l := s.queueOf(t.Workspace)
	if len(l.waiting) >= maxWaitingPerWorkspace {
		return Decision{Refused: []RefusedTicket{{Ticket: t, Reason: vane.ReasonQueueFull}}}
	}
	l.waiting = append(l.waiting, t)
	return s.dispatch(now)
}

// queueOf returns the queue of a workspace. The counter of a new or idle one is
// raised to minCounter.
func (s *Scheduler) queueOf(ws string) *workspaceQueue {
	l, ok := s.queues[ws]
	if !ok {
		l = &workspaceQueue{}
		s.queues[ws] = l
	}
	if l.running == 0 && len(l.waiting) == 0 {
		l.counter = max(l.counter, s.updateMinCounter())
	}
	return l
}

// updateMinCounter returns the lowest counter of an active workspace. It never
// decreases.
func (s *Scheduler) updateMinCounter() float64 {
	low, found := s.minCounter, false
	for _, l := range s.queues {
		if l.running == 0 && len(l.waiting) == 0 {
			continue
		}
		if !found || l.counter < low {
			low, found = l.counter, true
		}
	}
	s.minCounter = max(s.minCounter, low)
	return s.minCounter
}

// Done ends a running request of the workspace and starts the tickets that may start.
func (s *Scheduler) Done(now time.Time, ws string) Decision {
	if l, ok := s.queues[ws]; ok && l.running > 0 {
		l.running--
		s.running--
		s.dropIfIdle(ws, l)
	}
	return s.dispatch(now)
}

// Cancel removes a waiting ticket. It returns false if the ticket no longer waits.
func (s *Scheduler) Cancel(ws string, id uint64) bool {
	l, ok := s.queues[ws]
	if !ok {
		return false
	}
	for i, t := range l.waiting {
		if t.ID == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			s.dropIfIdle(ws, l)
			return true
		}
	}
	return false
}

// dropIfIdle deletes the queue of an idle workspace if minCounter makes its counter
// redundant.
func (s *Scheduler) dropIfIdle(ws string, l *workspaceQueue) {
	if l.running == 0 && len(l.waiting) == 0 && l.counter <= s.minCounter {
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
	for ws, l := range s.queues {
		d.Refused = append(d.Refused, l.expire(now)...)
		s.dropIfIdle(ws, l)
	}
	for s.running < s.limit {
		l := s.next()
		if l == nil {
			break
		}
		d.Started = append(d.Started, s.start(l))
	}
	return d
}

// expire removes the tickets whose deadline has passed and returns them as refused.
func (l *workspaceQueue) expire(now time.Time) []RefusedTicket {
	var out []RefusedTicket
	kept := l.waiting[:0]
	for _, t := range l.waiting {
		if now.Before(t.Deadline) {
			kept = append(kept, t)
			continue
		}
		out = append(out, RefusedTicket{Ticket: t, Reason: vane.ReasonQueueDeadline})
	}
	l.waiting = kept
	return out
}

// next returns the non-empty queue with the lowest counter, or nil. Ties go to the
// queue with the older ticket, so that the result does not depend on map order.
func (s *Scheduler) next() *workspaceQueue {
	var best *workspaceQueue
	for _, l := range s.queues {
		if len(l.waiting) == 0 {
			continue
		}
		if best == nil || l.counter < best.counter || (l.counter == best.counter && l.waiting[0].ID < best.waiting[0].ID) {
			best = l
		}
	}
	return best
}

// start removes the first ticket of the queue and counts it as running.
func (s *Scheduler) start(l *workspaceQueue) Ticket {
	t := l.waiting[0]
	l.waiting = l.waiting[1:]
	l.running++
	l.counter += t.Cost
	s.running++
	return t
}

// Charge adds cost that became known after the start, such as generated tokens.
func (s *Scheduler) Charge(ws string, cost float64) {
	if l, ok := s.queues[ws]; ok {
		l.counter += cost
	}
}
