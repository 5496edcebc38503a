package retry

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	vane "mustardvane.org/vane"
)

// Parameters of the retry policy.
const (
	MaxAttempts  = 4                      // attempts of one request, including the first
	minDelay     = 10 * time.Millisecond  // mean delay before the third attempt; doubles with each further one
	maxDelay     = 200 * time.Millisecond // upper bound of the mean delay
	minLeft      = 20 * time.Millisecond  // shortest time before the deadline that is worth an attempt
	defaultShare = 0.1                    // retries for each request
	minRate      = 2.0                    // retries per second that are allowed without requests
	maxSaved     = 20                     // largest number of unused retries that are kept
)

// Budget limits retries to a share of the requests, plus a small constant rate. It is
// safe for concurrent use.
type Budget struct {
	share  float64       // retries for each request
	floor  *rate.Limiter // retries that are allowed without requests
	credit *credit       // retries earned by requests
}

// Option configures a budget.
type Option func(*Budget)

// WithShare sets the number of retries that each request adds to the budget. The default
// is 0.1.
func WithShare(share float64) Option { return func(b *Budget) { b.share = share } }

// NewBudget returns a budget that allows maxSaved retries at once, before any request is
// counted.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{share: defaultShare, floor: rate.NewLimiter(minRate, maxSaved), credit: &credit{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// CountRequest counts a request, but not its retries, and adds its share to the budget.
func (b *Budget) CountRequest() { b.credit.add(b.share) }

// Take subtracts one retry from the budget. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	return b.credit.take() || b.floor.AllowN(now, 1)
}

// Attempt describes a failed attempt.
type Attempt struct {
	Number     int            // 1 for the first attempt of the request
	Execution  vane.Execution // whether the request may have run
	Idempotent bool           // the request may run more than once
	Left       time.Duration  // time until the request's deadline
}

// Decision is the result of [Decide].
type Decision struct {
	Retry  bool
	Delay  time.Duration // pause before the next attempt
	Reason vane.Reason   // why the attempt is not retried; ReasonNone if Retry is true
}

// Decide decides whether a failed attempt is retried. A request that may have run is
// retried only if it is idempotent. Decide takes a retry from the budget if it allows
// one.
func Decide(a Attempt, b *Budget, now time.Time) Decision {
	switch {
	case a.Execution != vane.NotRun && !a.Idempotent:
		return Decision{Reason: vane.ReasonUpstreamFailed}
	case a.Number >= MaxAttempts:
		return Decision{Reason: vane.ReasonUpstreamFailed}
	case a.Left < minLeft:
		return Decision{Reason: vane.ReasonQueueDeadline}
	case !b.Take(now):
		return Decision{Reason: vane.ReasonRetryBudget}
	}
	return Decision{Retry: true, Delay: backoff(a.Number)}
}

// backoff returns the jittered delay after the n-th attempt, between half and one and a
// half times its mean. There is no delay after the first attempt, because another
// upstream takes the retry.
func backoff(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	d := min(maxDelay, minDelay<<(n-2))
	return d/2 + rand.N(d)
}
