package place

import (
	"time"

	vane "mustardvane.org/vane"
)

// Initial values and bounds of what is learned about an upstream.
const (
	defaultPrefillRate = 20_000.0               // prefill rate in tokens per second until one is measured
	minPrefillRate     = 500.0                  // lower bound of a measured prefill rate in tokens per second
	maxPrefillRate     = 2_000_000.0            // upper bound of a measured prefill rate in tokens per second
	defaultServiceTime = 3 * time.Second        // assumed duration of a request
	defaultResidence   = 60 * time.Second       // time for which a prefix is assumed to stay cached until a time is measured
	minResidence       = 200 * time.Millisecond // lower bound of the measured residence time
	maxResidence       = 10 * time.Minute       // upper bound of the measured residence time
	smoothing          = 0.1                    // weight of a new sample in moving averages
	smoothingUp        = 0.3                    // weight of a sample that is above the average prefill rate
	smoothingDown      = 0.02                   // weight of a sample that is below the average prefill rate
	minSampleTokens    = 500                    // least number of uncached tokens of a request that is used as a sample of the prefill rate
	loadTTL            = 5 * time.Second        // age from which on a load report is ignored
	minEjection        = 250 * time.Millisecond // ejection time after the first failure
	maxEjection        = 8 * time.Second        // longest ejection time
	defaultSlots       = 16                     // number of requests in a batch if the upstream's entry does not state it
)

// upstream is what this router knows of one upstream process.
type upstream struct {
	u              vane.Upstream
	inFlight       int           // number of requests of this router that have not ended
	pending        int           // number of requests of this router without a first token
	backlog        float64       // expected uncached tokens of the pending requests
	meanUncached   float64       // average number of uncached tokens of a request
	prefillRate    float64       // estimated prefill rate in tokens per second
	serviceTime    time.Duration // duration of a request
	residence      time.Duration // estimated time for which a prefix stays cached
	load           vane.Load     // last load report
	loadAt         time.Time     // time of the last load report
	inFlightAtLoad int           // inFlight at the time of the last load report
	pendingAtLoad  int           // pending at the time of the last load report
	failures       int           // number of consecutive failures
	ejectedUntil   time.Time     // end of the last ejection
}

// newUpstream returns the state of an upstream of which nothing has been learned.
func newUpstream(u vane.Upstream) *upstream {
	return &upstream{u: u, prefillRate: defaultPrefillRate, serviceTime: defaultServiceTime, residence: defaultResidence}
}

// slots returns the number of requests that the upstream batches.
func (s *upstream) slots() int {
	if s.u.Slots > 0 {
		return s.u.Slots
	}
	return defaultSlots
}

// wait estimates the time until the prefill of a new request starts. It consists of the
// prefills of this router's pending requests, those of other routers' requests that the
// last load report shows, and the wait for a slot of the batch. The weight of the load
// report decreases linearly with its age.
func (s *upstream) wait(now time.Time) time.Duration {
	busy, queued := s.inFlight, s.backlog
	if age := now.Sub(s.loadAt); age < loadTTL {
		weight := 1 - float64(age)/float64(loadTTL)
		busy += int(weight * float64(max(0, s.load.Running+s.load.Waiting-s.inFlightAtLoad)))
		queued += weight * float64(max(0, s.load.Waiting-s.pendingAtLoad)) * s.meanUncached
	}
	d := time.Duration(queued / s.prefillRate * float64(time.Second))
	if over := busy + 1 - s.slots(); over > 0 {
		d += time.Duration(float64(s.serviceTime) * float64(over) / float64(s.slots()))
	}
	return d
}

// usable reports whether new requests may go to the upstream.
func (s *upstream) usable(now time.Time) bool {
	return s.u.State == vane.UpstreamLive && !s.draining(now) && !now.Before(s.ejectedUntil)
}

// draining reports whether the upstream has reported that it is draining. This holds
// until its process ends.
func (s *upstream) draining(time.Time) bool { return s.load.Draining }

// fail ejects the upstream for a time that doubles with each consecutive failure.
func (s *upstream) fail(now time.Time) {
	d := min(maxEjection, minEjection<<min(s.failures, 10))
	s.failures++
	s.ejectedUntil = now.Add(d)
}

// succeed resets the count of failures and ends an ejection.
func (s *upstream) succeed() {
	s.failures = 0
	s.ejectedUntil = time.Time{}
}

// endPrefill records that a request of this router no longer waits for its first token.
func (s *upstream) endPrefill(q vane.Query, pick vane.Pick) {
	s.pending = max(0, s.pending-1)
	s.backlog = max(0, s.backlog-float64(q.Prompt.Tokens-pick.ExpectedCached))
	if s.pending == 0 {
		s.backlog = 0
	}
}

// sample updates the prefill rate from a request with the given number of uncached
// tokens and the time to its first token. A time of zero means that there was none.
func (s *upstream) sample(uncached float64, after time.Duration) {
	if uncached < minSampleTokens || after <= 0 {
		return
	}
	// Other requests delay most first tokens, so that a high rate is more significant
	// than a low one.
	r := min(maxPrefillRate, max(minPrefillRate, uncached/after.Seconds()))
	w := smoothingDown
	if r > s.prefillRate {
		w = smoothingUp
	}
	s.prefillRate += w * (r - s.prefillRate)
}
