package queue

import (
	"context"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// Bounds of the adaptive limit.
const (
	minLimit   = 4
	growth     = 1.0 // added for each good first token
	shrink     = 0.8 // factor on a late first token
	shrinkWait = 500 * time.Millisecond
	expireTick = 20 * time.Millisecond
)

// Gate lets goroutines wait in a Fair queue. The number of requests in flight
// adapts to what the upstreams can take: it begins at its bound, so that a node
// that has just started serves at once, shrinks when first tokens come late and
// grows again while they come within their target.
type Gate struct {
	mu      sync.Mutex
	f       *Fair
	seq     uint64
	waiting map[uint64]chan vane.Reason
	limit   float64
	cap     float64
	shrunk  time.Time
}

// NewGate returns a gate around f that never lets more than most requests in.
func NewGate(f *Fair, most int) *Gate {
	f.SetLimit(most)
	return &Gate{f: f, waiting: make(map[uint64]chan vane.Reason), limit: float64(most), cap: float64(most)}
}

// Pass is the right to run one request.
type Pass struct {
	g    *Gate
	ws   string
	Wait time.Duration // how long the request waited
	// Shares is how many equal shares of the node's work the workspace used lately.
	Shares float64
}

// Enter waits for a pass until the deadline. It returns a [*vane.Refusal].
func (g *Gate) Enter(ctx context.Context, ws string, cost float64, deadline time.Time) (*Pass, error) {
	begin := time.Now()
	ch, id := g.push(begin, ws, cost, deadline)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	for {
		select {
		case r := <-ch:
			if r != vane.ReasonNone {
				return nil, vane.Refuse(r, "waited %s for a start, the class allows %s; send less at once or ask for more capacity",
					time.Since(begin).Round(time.Millisecond), deadline.Sub(begin).Round(time.Millisecond))
			}
			return g.pass(ws, cost, begin), nil
		case <-t.C:
			g.act(func(f *Fair) Step { return f.Expire(time.Now()) })
			t.Reset(expireTick)
		case <-ctx.Done():
			g.cancel(ws, id, ch)
			return nil, vane.Refuse(vane.ReasonCallerGone, "the caller left while the request waited").WithCause(ctx.Err())
		}
	}
}

// pass returns the pass of a request that starts.
func (g *Gate) pass(ws string, cost float64, begin time.Time) *Pass {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return &Pass{g: g, ws: ws, Wait: now.Sub(begin), Shares: g.f.use(now, ws, cost)}
}

// push adds a ticket and returns the channel of its answer.
func (g *Gate) push(now time.Time, ws string, cost float64, deadline time.Time) (chan vane.Reason, uint64) {
	ch := make(chan vane.Reason, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	g.waiting[g.seq] = ch
	g.deliver(g.f.Push(now, Ticket{ID: g.seq, Workspace: ws, Cost: cost, Deadline: deadline}))
	return ch, g.seq
}

// act runs one call of the state machine and delivers what it decided.
func (g *Gate) act(call func(*Fair) Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(call(g.f))
}

// deliver answers the tickets of a step. The lock is held.
func (g *Gate) deliver(s Step) {
	for _, t := range s.Started {
		g.answer(t.ID, vane.ReasonNone)
	}
	for _, r := range s.Refused {
		g.answer(r.Ticket.ID, r.Reason)
	}
}

func (g *Gate) answer(id uint64, r vane.Reason) {
	if ch, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		ch <- r
	}
}

// cancel withdraws a ticket. One that started in the same moment is ended.
func (g *Gate) cancel(ws string, id uint64, ch chan vane.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	if g.f.Cancel(ws, id) {
		return
	}
	select {
	case r := <-ch:
		if r == vane.ReasonNone {
			g.deliver(g.f.Done(time.Now(), ws))
		}
	default:
	}
}

// Leave ends the request; cost is what it used beyond its estimate, in tokens.
func (p *Pass) Leave(cost float64) {
	p.g.act(func(f *Fair) Step {
		f.Charge(p.ws, cost)
		return f.Done(time.Now(), p.ws)
	})
}

// FirstToken adapts the limit to the time that a first token took.
func (g *Gate) FirstToken(took, target time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if took <= target {
		g.limit = min(g.cap, g.limit+growth)
	} else if now.Sub(g.shrunk) > shrinkWait {
		g.limit = max(minLimit, g.limit*shrink)
		g.shrunk = now
	}
	g.f.SetLimit(int(g.limit))
	g.deliver(g.f.Expire(now))
}

// SetCap changes the highest number of requests in flight.
func (g *Gate) SetCap(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.cap
	g.cap = max(minLimit, float64(n))
	if g.limit == before || g.limit > g.cap {
		g.limit = g.cap
	}
	g.f.SetLimit(int(g.limit))
}

// Load returns the requests in flight and those that wait.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.f.Running(), g.f.Waiting()
}
