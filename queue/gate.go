package queue

import (
	"context"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// Parameters of the adaptive limit, in requests unless stated otherwise.
const (
	minLimit            = 4                      // lowest value of the limit
	limitIncrease       = 1.0                    // added to the limit for each first token within its target
	limitDecrease       = 0.8                    // factor on the limit for a late first token
	minDecreaseInterval = 500 * time.Millisecond // shortest pause between two decreases
	expireInterval      = 20 * time.Millisecond  // between two checks after a deadline has passed
)

// Gate admits concurrent callers in the order of a [Scheduler]. The limit on requests
// in progress adapts to the capacity of the upstreams: it starts at its maximum, so
// that a newly started node serves at full rate, decreases when first tokens are late
// and increases while they arrive within their target. It is safe for concurrent use.
type Gate struct {
	mu           sync.Mutex
	scheduler    *Scheduler
	lastID       uint64
	answers      map[uint64]chan vane.Reason
	limit        float64
	maxLimit     float64
	lastDecrease time.Time
}

// NewGate returns a gate that uses s and never admits more than maxLimit requests.
func NewGate(s *Scheduler, maxLimit int) *Gate {
	s.SetLimit(maxLimit)
	return &Gate{scheduler: s, answers: make(map[uint64]chan vane.Reason), limit: float64(maxLimit), maxLimit: float64(maxLimit)}
}

// Permit is the right to run one request. It must be released exactly once.
type Permit struct {
	g    *Gate
	ws   string
	Wait time.Duration // time spent waiting
	// FairShareRatio is the ratio of the workspace's recent usage to an equal share of
	// the node's usage: 1 if all active workspaces use the same, more if this one uses
	// more.
	FairShareRatio float64
}

// Acquire waits for a permit until the deadline. The cost is the estimate in tokens.
// Errors are of type [*vane.Refusal].
func (g *Gate) Acquire(ctx context.Context, ws string, cost float64, deadline time.Time) (*Permit, error) {
	begin := time.Now()
	ch, id := g.push(begin, ws, cost, deadline)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	for {
		select {
		case r := <-ch:
			if r != vane.ReasonNone {
				return nil, vane.Refuse(r, "the request waited %s in the queue, its class permits %s; send fewer requests at once or ask for more capacity",
					time.Since(begin).Round(time.Millisecond), deadline.Sub(begin).Round(time.Millisecond))
			}
			return g.permit(ws, cost, begin), nil
		case <-t.C:
			g.apply(func(s *Scheduler) Decision { return s.Expire(time.Now()) })
			t.Reset(expireInterval)
		case <-ctx.Done():
			g.cancel(ws, id, ch)
			return nil, vane.Refuse(vane.ReasonCallerGone, "the caller disconnected while the request was in the queue").WithCause(ctx.Err())
		}
	}
}

// permit returns the permit of a request that starts now.
func (g *Gate) permit(ws string, cost float64, begin time.Time) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return &Permit{g: g, ws: ws, Wait: now.Sub(begin), FairShareRatio: g.scheduler.recordUsage(now, ws, cost)}
}

// push adds a ticket and returns its answer channel and its identifier.
func (g *Gate) push(now time.Time, ws string, cost float64, deadline time.Time) (chan vane.Reason, uint64) {
	ch := make(chan vane.Reason, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	g.answers[g.lastID] = ch
	g.deliver(g.scheduler.Push(now, Ticket{ID: g.lastID, Workspace: ws, Cost: cost, Deadline: deadline}))
	return ch, g.lastID
}

// apply calls the scheduler and delivers its decision.
func (g *Gate) apply(call func(*Scheduler) Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(call(g.scheduler))
}

// deliver answers the tickets of a decision. The caller holds g.mu.
func (g *Gate) deliver(d Decision) {
	for _, t := range d.Started {
		g.answer(t.ID, vane.ReasonNone)
	}
	for _, r := range d.Refused {
		g.answer(r.Ticket.ID, r.Reason)
	}
}

func (g *Gate) answer(id uint64, r vane.Reason) {
	if ch, ok := g.answers[id]; ok {
		delete(g.answers, id)
		ch <- r
	}
}

// cancel withdraws a ticket. If it started at the same moment, its request is ended.
func (g *Gate) cancel(ws string, id uint64, ch chan vane.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.answers, id)
	if g.scheduler.Cancel(ws, id) {
		return
	}
	select {
	case r := <-ch:
		if r == vane.ReasonNone {
			g.deliver(g.scheduler.Done(time.Now(), ws))
		}
	default:
	}
}

// Release ends the request. cost is its consumption beyond the estimate, in tokens.
func (p *Permit) Release(cost float64) {
	p.g.apply(func(s *Scheduler) Decision {
		s.Charge(p.ws, cost)
		return s.Done(time.Now(), p.ws)
	})
}

// ObserveFirstToken adapts the limit to the time that a first token took, compared
// with its target.
func (g *Gate) ObserveFirstToken(took, target time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if took <= target {
		g.limit = min(g.maxLimit, g.limit+limitIncrease)
	} else if now.Sub(g.lastDecrease) > minDecreaseInterval {
		g.limit = max(minLimit, g.limit*limitDecrease)
		g.lastDecrease = now
	}
	g.scheduler.SetLimit(int(g.limit))
	g.deliver(g.scheduler.Expire(now))
}

// SetMaxLimit changes the upper bound of the limit. Values below minLimit mean
// minLimit. A limit that is at its bound follows the new one.
func (g *Gate) SetMaxLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.maxLimit
	g.maxLimit = max(minLimit, float64(n))
	if g.limit == before || g.limit > g.maxLimit {
		g.limit = g.maxLimit
	}
	g.scheduler.SetLimit(int(g.limit))
}

// Load returns the number of requests in progress and the number waiting.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Running(), g.scheduler.Waiting()
}
