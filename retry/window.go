package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of parts that a window is counted in.
const windowSlots = 10

// Window bounds repeats to a share of the requests in a sliding window, plus a
// slack. It is safe for concurrent use. A node gets its part of the fleet's slack;
// shares need no division, since requests are counted where they arrive.
type Window struct {
	part time.Duration // length of a slot

	mu      sync.Mutex
	share   float64
	slack   float64
	slots   [windowSlots]counts
	current int64 // number of the newest slot
}

// counts are the requests and repeats of one slot.
type counts struct{ fresh, repeats int }

// NewWindow returns an empty window.
func NewWindow(length time.Duration, share, slack float64) *Window {
	return &Window{part: length / windowSlots, share: share, slack: slack}
}

// SetSlack replaces the slack.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// Fresh counts a request that is not a repeat.
func (w *Window) Fresh(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now).fresh++
}

// Take counts a repeat if the window has room for it.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slot(now)
	fresh, repeats := 0, 0
	for _, c := range w.slots {
		fresh += c.fresh
		repeats += c.repeats
	}
	if float64(repeats+1) > w.share*float64(fresh)+w.slack {
		return false
	}
	s.repeats++
	return true
}

// slot returns the slot of now and empties those that have passed.
func (w *Window) slot(now time.Time) *counts {
	n := now.UnixNano() / int64(w.part)
	if n > w.current+windowSlots {
		w.current = n - windowSlots
	}
	for w.current < n {
		w.current++
		w.slots[w.current%windowSlots] = counts{}
	}
	return &w.slots[w.current%windowSlots]
}
