package queue

import (
	"time"

	vane "mustardvane.org/vane"
)

// Bounds of the queue.
const (
	defaultLimit = 64   // requests in flight
	maxWaiting   = 1024 // requests of one workspace that wait
)

// Ticket is a request that wants to start.
type Ticket struct {
	ID        uint64 // set by the caller; returned unchanged
	Workspace string
	Cost      float64   // tokens
	Deadline  time.Time // start before, or not at all
}

// Refused is a ticket that will not start.
type Refused struct {
	Ticket Ticket
	Reason vane.Reason
}

// Step is what a call of the state machine decided.
type Step struct {
	Started []Ticket
	Refused []Refused
}

// line is the queue of one workspace.
type line struct {
	waiting []Ticket
	counter float64 // virtual cost started
	running int
}

// Fair is the state machine of the queue. It is not safe for concurrent use.
type Fair struct {
	limit   int
	running int
	lines   map[string]*line
	floor   float64 // lowest counter of an active line, kept while none is active
	used    map[string]usage
}

// Option changes a queue under construction.
type Option func(*Fair)

// WithLimit sets the number of requests in flight.
func WithLimit(n int) Option { return func(f *Fair) { f.limit = max(1, n) } }

// NewFair returns an empty queue.
func NewFair(opts ...Option) *Fair {
	f := &Fair{limit: defaultLimit, lines: make(map[string]*line), used: make(map[string]usage)}
	for _, o := range opts {
		o(f)
	}
	return f
}

// SetLimit changes the number of requests in flight.
func (f *Fair) SetLimit(n int) { f.limit = max(1, n) }

// Limit returns the number of requests that may be in flight.
func (f *Fair) Limit() int { return f.limit }

// Running returns the number of requests in flight.
func (f *Fair) Running() int { return f.running }

// Waiting returns the number of requests that wait.
func (f *Fair) Waiting() int {
	n := 0
	for _, l := range f.lines {
		n += len(l.waiting)
	}
	return n
}

// Push adds a ticket and starts what may start.
func (f *Fair) Push(now time.Time, t Ticket) Step {
	l := f.line(t.Workspace)
	if len(l.waiting) >= maxWaiting {
		return Step{Refused: []Refused{{Ticket: t, Reason: vane.ReasonQueueFull}}}
	}
	l.waiting = append(l.waiting, t)
	return f.run(now)
}

// line returns the workspace's line. A new or idle one is lifted to the floor.
func (f *Fair) line(ws string) *line {
	l, ok := f.lines[ws]
	if !ok {
		l = &line{}
		f.lines[ws] = l
	}
	if l.running == 0 && len(l.waiting) == 0 {
		l.counter = max(l.counter, f.lowest())
	}
	return l
}

// lowest returns the lowest counter of an active line.
func (f *Fair) lowest() float64 {
	low, found := f.floor, false
	for _, l := range f.lines {
		if l.running == 0 && len(l.waiting) == 0 {
			continue
		}
		if !found || l.counter < low {
			low, found = l.counter, true
		}
	}
	f.floor = max(f.floor, low)
	return f.floor
}

// Done ends a running request of the workspace and starts what may start.
func (f *Fair) Done(now time.Time, ws string) Step {
	if l, ok := f.lines[ws]; ok && l.running > 0 {
		l.running--
		f.running--
		f.drop(ws, l)
	}
	return f.run(now)
}

// Cancel takes a waiting ticket out. It returns false if it no longer waits.
func (f *Fair) Cancel(ws string, id uint64) bool {
	l, ok := f.lines[ws]
	if !ok {
		return false
	}
	for i, t := range l.waiting {
		if t.ID == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			f.drop(ws, l)
			return true
		}
	}
	return false
}

// drop forgets an idle line; its counter lives on in the floor.
func (f *Fair) drop(ws string, l *line) {
	if l.running == 0 && len(l.waiting) == 0 && l.counter <= f.floor {
		delete(f.lines, ws)
	}
}

// Expire refuses the tickets whose deadline is over and starts what may start.
func (f *Fair) Expire(now time.Time) Step { return f.run(now) }

// run refuses what is late and starts what may start.
func (f *Fair) run(now time.Time) Step {
	var s Step
	for ws, l := range f.lines {
		s.Refused = append(s.Refused, l.expire(now)...)
		f.drop(ws, l)
	}
	for f.running < f.limit {
		l := f.neediest()
		if l == nil {
			break
		}
		s.Started = append(s.Started, f.start(l))
	}
	return s
}

// expire takes the tickets whose deadline is over out of the line.
func (l *line) expire(now time.Time) []Refused {
	var out []Refused
	kept := l.waiting[:0]
	for _, t := range l.waiting {
		if now.Before(t.Deadline) {
			kept = append(kept, t)
			continue
		}
		out = append(out, Refused{Ticket: t, Reason: vane.ReasonQueueDeadline})
	}
	l.waiting = kept
	return out
}

// neediest returns the waiting line with the lowest counter. Ties go to the line
// with the older ticket, so that the choice does not depend on map order.
func (f *Fair) neediest() *line {
	var best *line
	for _, l := range f.lines {
		if len(l.waiting) == 0 {
			continue
		}
		if best == nil || l.counter < best.counter || (l.counter == best.counter && l.waiting[0].ID < best.waiting[0].ID) {
			best = l
		}
	}
	return best
}

// start moves the line's first ticket into flight.
func (f *Fair) start(l *line) Ticket {
	t := l.waiting[0]
	l.waiting = l.waiting[1:]
	l.running++
	l.counter += t.Cost
	f.running++
	return t
}

// Charge adds cost that became known after the start, such as generated tokens.
func (f *Fair) Charge(ws string, cost float64) {
	if l, ok := f.lines[ws]; ok {
		l.counter += cost
	}
}
