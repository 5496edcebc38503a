package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 10

// Window limits retries to a share of the requests in a sliding window, plus a constant
// slack. It is safe for concurrent use. Each node has its own window with a part of the
// slack of all nodes. The share is the same at each node, since a request and its retries
// are counted at the same node.
type Window struct {
	slotLength time.Duration

	mu      sync.Mutex
	share   float64 // retries for each request
	slack   float64 // retries in a window without requests
	slots   [windowSlots]counts
	origin  time.Time // time of the first call, from which slots are counted so that steps of the wall clock don't matter
	current int64     // number of the newest slot
}

// counts are the numbers of requests and retries in one slot.
type counts struct{ requests, retries int }

// NewWindow returns an empty window of the given length. It allows share retries for each
// request in the window, plus slack.
func NewWindow(length time.Duration, share, slack float64) *Window {
	return &Window{slotLength: length / windowSlots, share: share, slack: slack}
}

// SetSlack replaces the slack, the number of retries that the window allows without
// requests.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// CountRequest counts a request, but not its retries.
func (w *Window) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now).requests++
}

// Take counts a retry if the window allows it, else it returns false.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slot(now)
	requests, retries := 0, 0
	for _, c := range w.slots {
		requests += c.requests
		retries += c.retries
	}
	if float64(retries+1) > w.share*float64(requests)+w.slack {
		return false
	}
	s.retries++
	return true
}

// slot returns the slot of now and resets those that have left the window. The
// caller holds w.mu.
func (w *Window) slot(now time.Time) *counts {
	if w.origin.IsZero() {
		w.origin = now
	}
	n := int64(now.Sub(w.origin) / w.slotLength)
	if n > w.current+windowSlots {
		w.current = n - windowSlots
	}
	for w.current < n {
		w.current++
		w.slots[w.current%windowSlots] = counts{}
	}
	return &w.slots[w.current%windowSlots]
}
