package retry

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	vane "mustardvane.org/vane"
)

// Bounds of the policy.
const (
	MaxAttempts   = 4                     // attempts of one request, the first included
	backoffBase   = 10 * time.Millisecond // doubled with each attempt
	backoffMax    = 200 * time.Millisecond
	minLeft       = 20 * time.Millisecond // not worth an attempt
	defaultShare  = 0.1                   // repeats for each fresh request
	defaultFloor  = 2.0                   // repeats a second that are always allowed
	defaultBudget = 20                    // repeats saved up at most
)

// Budget bounds repeats to a share of fresh requests. It is safe for concurrent
// use.
type Budget struct {
	share  float64
	saved  *rate.Limiter // floor
	credit *credit
}

// Option changes a budget under construction.
type Option func(*Budget)

// WithShare sets the repeats allowed for each fresh request.
func WithShare(share float64) Option { return func(b *Budget) { b.share = share } }

// NewBudget returns a full budget.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{share: defaultShare, saved: rate.NewLimiter(defaultFloor, defaultBudget), credit: &credit{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Fresh counts a request that is not a repeat.
func (b *Budget) Fresh() { b.credit.add(b.share) }

// Take takes one repeat out of the budget. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	return b.credit.take() || b.saved.AllowN(now, 1)
}

// Attempt describes a failed attempt.
type Attempt struct {
	Number     int            // 1 for the first
	Execution  vane.Execution // whether it can have reached the upstream
	Idempotent bool           // whether the route may be repeated
	Left       time.Duration  // until the request's deadline
}

// Verdict says what follows a failed attempt.
type Verdict struct {
	Again  bool
	After  time.Duration // pause before the next attempt
	Reason vane.Reason   // why not, if Again is false
}

// Decide returns the verdict on a failed attempt. A request that may have run is
// repeated only if its route is idempotent.
func Decide(a Attempt, b *Budget, now time.Time) Verdict {
	switch {
	case a.Execution != vane.NotRun && !a.Idempotent:
		return Verdict{Reason: vane.ReasonUpstreamFailed}
	case a.Number >= MaxAttempts:
		return Verdict{Reason: vane.ReasonUpstreamFailed}
	case a.Left < minLeft:
		return Verdict{Reason: vane.ReasonQueueDeadline}
	case !b.Take(now):
		return Verdict{Reason: vane.ReasonRetryBudget}
	}
	return Verdict{Again: true, After: backoff(a.Number)}
}

// backoff returns a jittered pause. The first repeat goes out at once, since
// another upstream takes it.
func backoff(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	d := min(backoffMax, backoffBase<<(n-2))
	return d/2 + rand.N(d)
}
