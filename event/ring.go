package event

import (
	"slices"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// logicalBits is the width of the logical counter in the low bits of a clock reading.
const logicalBits = 16

// Clock is a hybrid logical clock. Its zero value is ready to use. It is safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last uint64
}

// Next returns a reading that is higher than all earlier and all observed readings, and
// not lower than the wall time.
func (c *Clock) Next(wall time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, uint64(wall.UnixMicro())<<logicalBits)
	return c.last
}

// Observe advances the clock to a reading received from another node, so that all later
// readings of this clock are higher.
func (c *Clock) Observe(remote uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, remote)
}

// Exchange observes the reading in a message from another node, zero if there is none,
// and returns a new reading to send to that node.
func (c *Clock) Exchange(remote uint64) uint64 {
	c.Observe(remote)
	return c.Next(time.Now())
}

// Ring is a ring buffer of the newest events of one process. It is safe for concurrent
// use.
type Ring struct {
	host  string
	start time.Time
	clock Clock

	mu       sync.Mutex
	buf      []vane.Event
	next     uint64        // sequence number of the next event
	recorded chan struct{} // closed by the next event; nil from an event until Updated is called
}

var _ vane.Recorder = (*Ring)(nil)

// NewRing returns a ring that holds the newest n events of the host. n must be positive.
func NewRing(host string, n int) *Ring {
	return &Ring{host: host, start: time.Now(), buf: make([]vane.Event, n), recorded: make(chan struct{})}
}

// Clock returns the clock of the ring, whose readings are exchanged with other nodes in
// messages.
func (r *Ring) Clock() *Clock { return &r.clock }

// Record implements vane.Recorder. It sets Wall, Mono, Clock and Host of the event, and
// overwrites the oldest event if the ring is full.
func (r *Ring) Record(e vane.Event) {
	now := time.Now()
	e.Wall, e.Mono, e.Host = now, now.Sub(r.start), r.host
	e.Clock = r.clock.Next(now)
	r.mu.Lock()
	r.buf[r.next%uint64(len(r.buf))] = e
	r.next++
	recorded := r.recorded
	if recorded != nil {
		r.recorded = nil
	}
	r.mu.Unlock()
	if recorded != nil {
		close(recorded)
	}
}

// Page is the result of Since.
type Page struct {
	Next   uint64       `json:"next"`   // sequence number to pass to the following call of Since
	Lost   uint64       `json:"lost"`   // number of events that were overwritten before they were read
	Events []vane.Event `json:"events"` // oldest first
}

// Filter selects the events that match all of its fields. An empty field matches any
// event.
type Filter struct {
	Workspace string
	RequestID string
	Subject   string
	Kind      string // as printed by vane.EventKind.String
}

// matches reports whether the filter selects e.
func (f Filter) matches(e vane.Event) bool {
	return (f.Workspace == "" || f.Workspace == e.Workspace) &&
		(f.RequestID == "" || f.RequestID == e.RequestID) &&
		(f.Subject == "" || f.Subject == e.Subject) &&
		(f.Kind == "" || f.Kind == e.Kind.String())
}

// Since returns the events that f selects, starting with the sequence number seq; zero
// starts with the oldest event. Lost of the page also counts events that f would not
// have selected.
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

// Updated returns a channel that is closed once the event with the sequence number seq
// has been recorded, or possibly earlier, by any event. If that event has already been
// recorded, the channel is closed when Updated returns.
func (r *Ring) Updated(seq uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recorded == nil {
		r.recorded = make(chan struct{})
	}
	ch := r.recorded
	if r.next > seq {
		r.recorded = nil
		close(ch)
	}
	return ch
}

// Merge returns the events of several nodes in the order of their clock readings, and
// by host where these are equal.
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
