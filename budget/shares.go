package budget

import (
	"context"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/wire"
)

// Times of the limiter.
const (
	shareTick  = 250 * time.Millisecond
	serveEvery = 10 * time.Millisecond // a waiting request looks at its bucket
	askPause   = 25 * time.Millisecond // between two asks for the same need
	askTimeout = time.Second           // an answer that takes longer is void
)

// Exchanger carries asks to other nodes.
type Exchanger interface {
	// Exchange asks the holder of a shard.
	Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	// Borrow asks peers, for the case that the holder does not answer.
	Borrow(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error)
}

// waiter is a request that waits for tokens.
type waiter struct {
	n    float64
	done chan TakeID
}

// holding is an account with the requests that wait for it.
type holding struct {
	ws      string
	shard   int
	acc     *Account
	waiters []*waiter
}

// lane is the exchange with the holder of one shard. At most one ask is open.
type lane struct {
	running bool
	fence   uint64
	failed  bool // the newest ask had no answer
}

// FleetLimiter is the limiter of a node in a fleet. It is safe for concurrent use.
type FleetLimiter struct {
	node   string
	boot   uint64
	shards int
	terms  func(workspace string) (Limits, bool)
	ex     Exchanger
	floors func() map[string]float64

	mu       sync.Mutex
	holdings map[string]*holding
	lanes    []lane
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

var _ vane.Limiter = (*FleetLimiter)(nil)

// ShareOption changes a limiter under construction.
type ShareOption func(*FleetLimiter)

// WithMinShares sets a function that gives the shares that the node holds also
// without demand, by workspace. The map must not be changed afterwards.
func WithMinShares(f func() map[string]float64) ShareOption {
	return func(s *FleetLimiter) { s.floors = f }
}

// NewFleetLimiter returns the limiter of the node in the life named by the
// incarnation.
func NewFleetLimiter(node string, incarnation uint64, shards int, terms func(string) (Limits, bool), ex Exchanger, opts ...ShareOption) *FleetLimiter {
	ctx, cancel := context.WithCancel(context.Background())
	s := &FleetLimiter{
		node: node, boot: incarnation, shards: shards, terms: terms, ex: ex, floors: func() map[string]float64 { return nil },
		holdings: make(map[string]*holding), lanes: make([]lane, shards), ctx: ctx, cancel: cancel,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run implements kernel.Service: it extends shares and gives idle ones back.
func (s *FleetLimiter) Run(ctx context.Context, ready func()) error {
	ready()
	s.tick()
	t := time.NewTicker(shareTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.tick()
		case <-ctx.Done():
			s.cancel()
			s.wg.Wait()
			return nil
		}
	}
}

// tick starts the exchanges that are due.
func (s *FleetLimiter) tick() {
	now, floors := time.Now(), s.floors()
	s.mu.Lock()
	defer s.mu.Unlock()
	for ws := range floors {
		if t, ok := s.terms(ws); ok {
			s.holding(now, ws, t)
		}
	}
	for ws, h := range s.holdings {
		h.acc.SetMinShare(floors[ws])
		if t, ok := s.terms(ws); ok {
			h.acc.SetLimits(now, t)
		}
		switch {
		case h.acc.NeedsExchange(now), h.acc.Surplus(now) > 0, h.acc.back > 0:
			s.kick(h.shard)
		case len(h.waiters) == 0 && h.acc.Idle(now):
			delete(s.holdings, ws)
		}
	}
}

// holding returns the holding of a workspace. The lock is held.
func (s *FleetLimiter) holding(now time.Time, ws string, t Limits) *holding {
	h, ok := s.holdings[ws]
	if !ok {
		h = &holding{ws: ws, shard: ShardOf(ws, s.shards), acc: NewAccount(now, t)}
		s.holdings[ws] = h
	}
	h.acc.SetLimits(now, t)
	return h
}

// Reserve implements vane.Limiter.
func (s *FleetLimiter) Reserve(ctx context.Context, ws string, tokens int) (vane.Reservation, error) {
	t, ok := s.terms(ws)
	if !ok {
		return nil, vane.Refuse(vane.ReasonLimitUnavailable, "workspace %s has no budget; ask the operator for one", ws)
	}
	n := float64(tokens)
	if n > t.Burst {
		return nil, overBurst(ws, tokens, t.Burst)
	}
	now := time.Now()
	s.mu.Lock()
	h := s.holding(now, ws, t)
	h.acc.RecordDemand(now, n)
	if len(h.waiters) == 0 {
		if m, ok := h.acc.Take(now, n); ok {
			s.mu.Unlock()
			return &shareReservation{s: s, h: h, mark: m, tokens: n}, nil
		}
	}
	w := &waiter{n: n, done: make(chan TakeID, 1)}
	h.waiters = append(h.waiters, w)
	s.kick(h.shard)
	s.mu.Unlock()
	return s.await(ctx, h, w, tokens)
}

// await waits until the tokens are there or ctx ends.
func (s *FleetLimiter) await(ctx context.Context, h *holding, w *waiter, tokens int) (vane.Reservation, error) {
	t := time.NewTicker(serveEvery)
	defer t.Stop()
	for {
		select {
		case m := <-w.done:
			return &shareReservation{s: s, h: h, mark: m, tokens: w.n}, nil
		case <-t.C:
			s.mu.Lock()
			h.serve(time.Now())
			s.mu.Unlock()
		case <-ctx.Done():
			return s.giveUp(h, w, tokens)
		}
	}
}

// giveUp ends a wait. Tokens that came in the same moment are used.
func (s *FleetLimiter) giveUp(h *holding, w *waiter, tokens int) (vane.Reservation, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.serve(now)
	select {
	case m := <-w.done:
		return &shareReservation{s: s, h: h, mark: m, tokens: w.n}, nil
	default:
	}
	for i, x := range h.waiters {
		if x == w {
			h.waiters = append(h.waiters[:i], h.waiters[i+1:]...)
			break
		}
	}
	wait, ok := h.acc.Wait(now, w.n)
	if s.lanes[h.shard].failed && !ok {
		return nil, vane.Refuse(vane.ReasonLimitUnavailable,
			"no node that grants the budget of workspace %s answers and this node has too little of it; use another entry address", h.ws).WithRetryAfter(time.Second)
	}
	return nil, overRate(h.ws, tokens, max(wait, time.Second))
}

// serve gives tokens to the waiting requests in order. The lock is held.
func (h *holding) serve(now time.Time) {
	for len(h.waiters) > 0 {
		m, ok := h.acc.Take(now, h.waiters[0].n)
		if !ok {
			return
		}
		h.waiters[0].done <- m
		h.waiters = h.waiters[1:]
	}
}

// Recall notes that the holder wants a share back.
func (s *FleetLimiter) Recall(r *wire.RecallRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.holdings[r.GetWorkspace()]; ok {
		h.acc.Recall(r.GetShare())
		s.kick(h.shard)
	}
}

// Lend serves a peer that can't reach the holder.
func (s *FleetLimiter) Lend(r *wire.ExchangeRequest) *wire.ExchangeReply {
	now := time.Now()
	reply := &wire.ExchangeReply{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range r.GetAsks() {
		if h, ok := s.holdings[a.GetWorkspace()]; ok && len(h.waiters) == 0 {
			reply.Gives = append(reply.Gives, h.acc.Lend(now, a))
		}
	}
	return reply
}

// Held returns the share and the tokens that the node holds of a budget.
func (s *FleetLimiter) Held(ws string) (share, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holdings[ws]
	if !ok {
		return 0, 0
	}
	return h.acc.Share(), h.acc.Level(time.Now())
}

// shareReservation is a Take that can be settled.
type shareReservation struct {
	s      *FleetLimiter
	h      *holding
	mark   TakeID
	tokens float64
	once   sync.Once
}

// Settle implements vane.Reservation.
func (r *shareReservation) Settle(used int) {
	r.once.Do(func() {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		now := time.Now()
		r.h.acc.Settle(now, r.mark, r.tokens, float64(used))
		r.h.serve(now)
	})
}
