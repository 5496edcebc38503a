package event

import (
	"slices"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// logicalBits is the width of the logical counter of the clock.
const logicalBits = 16

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last uint64
}

// Next returns a reading that is higher than all earlier ones.
func (c *Clock) Next(wall time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, uint64(wall.UnixMicro())<<logicalBits)
	return c.last
}

// Observe moves the clock past a reading received from another node.
func (c *Clock) Observe(remote uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, remote)
}

// Exchange takes a reading of another node, or zero, and returns an own reading
// to be sent.
func (c *Clock) Exchange(remote uint64) uint64 {
	c.Observe(remote)
	return c.Next(time.Now())
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	host  string
	start time.Time
	clock Clock

	mu   sync.Mutex
	buf  []vane.Event
	next uint64 // sequence number of the next event
	wake chan struct{}
}

var _ vane.Recorder = (*Ring)(nil)

// NewRing returns a ring that holds n events of the host.
func NewRing(host string, n int) *Ring {
	return &Ring{host: host, start: time.Now(), buf: make([]vane.Event, n), wake: make(chan struct{})}
}

// Clock returns the ring's clock, so that messages to other nodes can carry it.
func (r *Ring) Clock() *Clock { return &r.clock }

// Record implements vane.Recorder. It sets the event's times and host.
func (r *Ring) Record(e vane.Event) {
	now := time.Now()
	e.Wall, e.Mono, e.Host = now, now.Sub(r.start), r.host
	e.Clock = r.clock.Next(now)
	r.mu.Lock()
	r.buf[r.next%uint64(len(r.buf))] = e
	r.next++
	wake := r.wake
	if wake != nil {
		r.wake = nil
	}
	r.mu.Unlock()
	if wake != nil {
		close(wake)
	}
}

// Page is a part of a node's time line.
type Page struct {
	Next   uint64       `json:"next"`   // pass to Since to go on
	Lost   uint64       `json:"lost"`   // events overwritten before they were read
	Events []vane.Event `json:"events"` // oldest first
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Workspace string
	RequestID string
	Subject   string
	Kind      string
}

// matches says whether the filter selects e.
func (f Filter) matches(e vane.Event) bool {
	return (f.Workspace == "" || f.Workspace == e.Workspace) &&
		(f.RequestID == "" || f.RequestID == e.RequestID) &&
		(f.Subject == "" || f.Subject == e.Subject) &&
		(f.Kind == "" || f.Kind == e.Kind.String())
}

// Since returns the events from the sequence number on that f selects.
func (r *Ring) Since(seq uint64, f Filter) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Next: r.next, Events: []vane.Event{}}
	oldest := uint64(0)
	if n := uint64(len(r.buf)); r.next > n {
		oldest = r.next - n
	}
	if seq < oldest {
		p.Lost, seq = oldest-seq, oldest
	}
	for ; seq < r.next; seq++ {
		if e := r.buf[seq%uint64(len(r.buf))]; f.matches(e) {
			p.Events = append(p.Events, e)
		}
	}
	return p
}

// Updated returns a channel that is closed when an event is recorded after the
// sequence number.
func (r *Ring) Updated(seq uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wake == nil {
		r.wake = make(chan struct{})
	}
	ch := r.wake
	if r.next > seq {
		r.wake = nil
		close(ch)
	}
	return ch
}

// Merge puts the events of several nodes into the order of their clocks.
func Merge(parts ...[]vane.Event) []vane.Event {
	all := slices.Concat(parts...)
	slices.SortStableFunc(all, func(a, b vane.Event) int {
		switch {
		case a.Clock < b.Clock:
			return -1
		case a.Clock > b.Clock:
			return 1
		case a.Host < b.Host:
			return -1
		case a.Host > b.Host:
			return 1
		}
		return 0
	})
	return all
}
