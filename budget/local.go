package budget

import (
	"context"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Limits are the rate and burst of a workspace.
type Limits struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// LocalLimiter is a [vane.Limiter] for a fleet of one node. It is safe for concurrent
// use.
type LocalLimiter struct {
	limits func(workspace string) (Limits, bool)

	mu      sync.Mutex
	buckets map[string]*Bucket
}

var _ vane.Limiter = (*LocalLimiter)(nil)

// NewLocalLimiter returns a limiter. limits returns the rate and burst of a
// workspace, and false for an unknown one.
func NewLocalLimiter(limits func(workspace string) (Limits, bool)) *LocalLimiter {
	return &LocalLimiter{limits: limits, buckets: make(map[string]*Bucket)}
}

// Reserve implements vane.Limiter.
func (l *LocalLimiter) Reserve(ctx context.Context, ws string, tokens int) (vane.Reservation, error) {
	n := float64(tokens)
	for {
		id, wait, err := l.tryTake(ws, n)
		if err != nil {
			return nil, err
		}
		if wait == 0 {
			return &localReservation{l: l, ws: ws, takeID: id, tokens: n}, nil
		}
		if end, ok := ctx.Deadline(); ok && time.Until(end) < wait {
			return nil, overRate(ws, tokens, wait)
		}
		if !clock.Sleep(ctx, wait) {
			return nil, overRate(ws, tokens, wait)
		}
	}
}

// overRate returns the refusal of a request whose tokens are not available in time.
func overRate(ws string, tokens int, wait time.Duration) *vane.Refusal {
	return vane.Refuse(vane.ReasonLimitRate, "workspace %s is over its rate: %d tokens will be available in %s; send more slowly or ask for a higher rate",
		ws, tokens, wait.Round(time.Millisecond)).WithRetryAfter(wait)
}

// overBurst returns the refusal of a request for more tokens than the burst.
func overBurst(ws string, tokens int, burst float64) *vane.Refusal {
	return vane.Refuse(vane.ReasonLimitBurst, "the request needs %d tokens, the burst of workspace %s is %.0f; shorten the prompt or max_tokens, or ask for a higher burst",
		tokens, ws, burst)
}

// tryTake takes the tokens, or returns how long to wait for them. It returns a
// [*vane.Refusal] if they can't be had.
func (l *LocalLimiter) tryTake(ws string, n float64) (TakeID, time.Duration, error) {
	limits, ok := l.limits(ws)
	if !ok {
		return 0, 0, vane.Refuse(vane.ReasonLimitUnavailable, "workspace %s has no budget; ask the operator for one", ws)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[ws]
	if !ok {
		b = NewBucket(now, limits.Rate, limits.Burst)
		l.buckets[ws] = b
	}
	if b.Rate() != limits.Rate || b.Capacity() != limits.Burst {
		b.Set(now, limits.Rate, limits.Burst)
	}
	if id, ok := b.Take(now, n); ok {
		return id, 0, nil
	}
	wait, ok := b.Wait(now, n)
	if !ok {
		return 0, 0, overBurst(ws, int(n), b.Capacity())
	}
	return 0, wait, nil
}

// localReservation implements vane.Reservation.
type localReservation struct {
	l      *LocalLimiter
	ws     string
	takeID TakeID
	tokens float64
	once   sync.Once
}

// Settle implements vane.Reservation.
func (r *localReservation) Settle(used int) {
	r.once.Do(func() {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		b, now := r.l.buckets[r.ws], time.Now()
		if over := float64(used) - r.tokens; over > 0 {
			b.ForceTake(now, over)
			return
		}
		b.Refund(now, r.takeID, r.tokens-float64(used))
	})
}
