package place

import (
	"time"

	vane "mustardvane.org/vane"
)

// Bounds of what is learned about an upstream.
const (
	defaultPrefill  = 20_000.0         // tokens a second, until measured
	minPrefill      = 500.0            // tokens a second
	maxPrefill      = 2_000_000.0      // tokens a second
	defaultService  = 3 * time.Second  // duration of a request, until measured
	defaultResident = 60 * time.Second // life of a cached prefix, until measured
	minResident     = 200 * time.Millisecond
	maxResident     = 10 * time.Minute
	smooth          = 0.1             // weight of a new sample in moving averages
	smoothUp        = 0.3             // the same for a higher prefill rate
	smoothDown      = 0.02            // the same for a lower prefill rate
	minSample       = 500             // uncached tokens that make a prefill sample
	reportLife      = 5 * time.Second // age at which a load report counts for nothing
	ejectMin        = 250 * time.Millisecond
	ejectMax        = 8 * time.Second
	defaultSlots    = 16
)

// upstream is what this router knows of one upstream.
type upstream struct {
	u        vane.Upstream
	inflight int     // own requests without an end
	pending  int     // own requests without a first token
	backlog  float64 // their uncached tokens
	typical  float64 // uncached tokens of a request, averaged
	prefill  float64 // tokens a second
	service  time.Duration
	resident time.Duration // how long a prefix stays cached
	load     vane.Load
	loadAt   time.Time
	ownAt    int       // own requests at the time of the report
	waitAt   int       // own requests without a first token at that time
	failures int       // consecutive
	until    time.Time // ejected until then
}

func newUpstream(u vane.Upstream) *upstream {
	return &upstream{u: u, prefill: defaultPrefill, service: defaultService, resident: defaultResident}
}

// slots returns how many requests the upstream batches.
func (s *upstream) slots() int {
	if s.u.Slots > 0 {
		return s.u.Slots
	}
	return defaultSlots
}

// wait estimates how long a new request waits before its prefill starts: behind
// the prefills of own requests, those of others that the newest report shows, and
// for a slot of the batch.
func (s *upstream) wait(now time.Time) time.Duration {
	busy, queued := s.inflight, s.backlog
	if age := now.Sub(s.loadAt); age < reportLife {
		fade := 1 - float64(age)/float64(reportLife)
		busy += int(fade * float64(max(0, s.load.Running+s.load.Waiting-s.ownAt)))
		queued += fade * float64(max(0, s.load.Waiting-s.waitAt)) * s.typical
	}
	d := time.Duration(queued / s.prefill * float64(time.Second))
	if over := busy + 1 - s.slots(); over > 0 {
		d += time.Duration(float64(s.service) * float64(over) / float64(s.slots()))
	}
	return d
}

// usable says whether new requests may go to the upstream.
func (s *upstream) usable(now time.Time) bool {
	return s.u.State == vane.UpstreamLive && !s.draining(now) && !now.Before(s.until)
}

// draining says whether the upstream itself announced that it is leaving. The
// announcement holds as long as the process lives.
func (s *upstream) draining(time.Time) bool { return s.load.Draining }

// fail ejects the upstream for a time that doubles with each failure in a row.
func (s *upstream) fail(now time.Time) {
	d := min(ejectMax, ejectMin<<min(s.failures, 10))
	s.failures++
	s.until = now.Add(d)
}

// served notes a success.
func (s *upstream) served() {
	s.failures = 0
	s.until = time.Time{}
}

// prefilled notes that an own request no longer waits for its first token.
func (s *upstream) prefilled(q vane.Query, pick vane.Pick) {
	s.pending = max(0, s.pending-1)
	s.backlog = max(0, s.backlog-float64(q.Prompt.Tokens-pick.Predicted))
	if s.pending == 0 {
		s.backlog = 0
	}
}

// sample learns the prefill rate from a first token.
func (s *upstream) sample(uncached float64, after time.Duration) {
	if uncached < minSample || after <= 0 {
		return
	}
	// Most first tokens come late because of other requests, so that a high rate
	// says more than a low one.
	r := min(maxPrefill, max(minPrefill, uncached/after.Seconds()))
	w := smoothDown
	if r > s.prefill {
		w = smoothUp
	}
	s.prefill += w * (r - s.prefill)
}
