package budget

import (
	"context"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/wire"
)

// Intervals and time-outs of the fleet limiter.
const (
	tickInterval       = 250 * time.Millisecond // between checks for shares that need an exchange
	waiterPollInterval = 10 * time.Millisecond  // between a waiting request's checks of its bucket
	exchangePause      = 25 * time.Millisecond  // minimum pause between two exchanges of a shard
	askTimeout         = time.Second            // later answers of the holder are ignored
)

// Exchanger sends asks to other nodes.
type Exchanger interface {
	// Exchange asks the holder of a shard.
	Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	// Borrow asks peers when the holder does not answer.
	Borrow(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error)
}

// waiter is a request that waits for n tokens.
type waiter struct {
	n    float64
	done chan TakeID
}

// workspaceAccount is a workspace's account with the requests that wait for it.
type workspaceAccount struct {
	ws      string
	shard   int
	account *Account
	waiters []*waiter
}

// shardExchange is the state of the exchange with the holder of one shard. At most
// one ask is in flight.
type shardExchange struct {
	running    bool
	fence      uint64 // fencing number in the holder's latest answer; zero before the first
	unanswered bool   // the holder did not answer the latest ask
}

// FleetLimiter is the [vane.Limiter] of a node in a fleet. It is safe for concurrent
// use.
type FleetLimiter struct {
	node        string
	incarnation uint64
	shards      int
	limits      func(workspace string) (Limits, bool)
	exchanger   Exchanger
	minShares   func() map[string]float64

	mu        sync.Mutex
	accounts  map[string]*workspaceAccount
	exchanges []shardExchange
	wg        sync.WaitGroup
	ctx       context.Context
	cancel    context.CancelFunc
}

var _ vane.Limiter = (*FleetLimiter)(nil)

// FleetLimiterOption configures a [FleetLimiter] in [NewFleetLimiter].
type FleetLimiterOption func(*FleetLimiter)

// WithMinShares sets a function that returns the shares that the node keeps even
// without demand, by workspace. The map must not be modified after it is returned.
func WithMinShares(f func() map[string]float64) FleetLimiterOption {
	return func(s *FleetLimiter) { s.minShares = f }
}

// NewFleetLimiter returns the limiter of one incarnation of a node. limits returns the
// rate and burst of a workspace, and false for an unknown one.
func NewFleetLimiter(node string, incarnation uint64, shards int, limits func(string) (Limits, bool), ex Exchanger, opts ...FleetLimiterOption) *FleetLimiter {
	ctx, cancel := context.WithCancel(context.Background())
	s := &FleetLimiter{
		node: node, incarnation: incarnation, shards: shards, limits: limits, exchanger: ex, minShares: func() map[string]float64 { return nil },
		accounts: make(map[string]*workspaceAccount), exchanges: make([]shardExchange, shards), ctx: ctx, cancel: cancel,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run implements kernel.Service: it extends shares and returns surplus ones.
func (s *FleetLimiter) Run(ctx context.Context, ready func()) error {
	ready()
	s.tick()
	t := time.NewTicker(tickInterval)
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

// tick starts the exchanges that are due and deletes idle accounts.
func (s *FleetLimiter) tick() {
	now, minShares := time.Now(), s.minShares()
	s.mu.Lock()
	defer s.mu.Unlock()
	for ws := range minShares {
		if limits, ok := s.limits(ws); ok {
			s.account(now, ws, limits)
		}
	}
	for ws, wa := range s.accounts {
		wa.account.SetMinShare(minShares[ws])
		if limits, ok := s.limits(ws); ok {
			wa.account.SetLimits(now, limits)
		}
		switch {
		case wa.account.NeedsExchange(now), wa.account.Surplus(now) > 0, wa.account.returning > 0:
			s.startExchange(wa.shard)
		case len(wa.waiters) == 0 && wa.account.Idle(now):
			delete(s.accounts, ws)
		}
	}
}

// account returns the account of a workspace and creates it if needed. The caller
// holds s.mu.
func (s *FleetLimiter) account(now time.Time, ws string, limits Limits) *workspaceAccount {
	wa, ok := s.accounts[ws]
	if !ok {
		wa = &workspaceAccount{ws: ws, shard: ShardOf(ws, s.shards), account: NewAccount(now, limits)}
		s.accounts[ws] = wa
	}
	wa.account.SetLimits(now, limits)
	return wa
}

// Reserve implements vane.Limiter.
func (s *FleetLimiter) Reserve(ctx context.Context, ws string, tokens int) (vane.Reservation, error) {
	limits, ok := s.limits(ws)
	if !ok {
		return nil, vane.Refuse(vane.ReasonLimitUnavailable, "workspace %s has no budget; ask the operator for one", ws)
	}
	n := float64(tokens)
	if n > limits.Burst {
		return nil, overBurst(ws, tokens, limits.Burst)
	}
	now := time.Now()
	s.mu.Lock()
	wa := s.account(now, ws, limits)
	wa.account.RecordDemand(now, n)
	if len(wa.waiters) == 0 {
		if id, ok := wa.account.Take(now, n); ok {
			s.mu.Unlock()
			return &fleetReservation{s: s, wa: wa, takeID: id, tokens: n}, nil
		}
	}
	w := &waiter{n: n, done: make(chan TakeID, 1)}
	wa.waiters = append(wa.waiters, w)
	s.startExchange(wa.shard)
	s.mu.Unlock()
	return s.await(ctx, wa, w, tokens)
}

// await waits until the tokens are available or ctx ends.
func (s *FleetLimiter) await(ctx context.Context, wa *workspaceAccount, w *waiter, tokens int) (vane.Reservation, error) {
	t := time.NewTicker(waiterPollInterval)
	defer t.Stop()
	for {
		select {
		case id := <-w.done:
			return &fleetReservation{s: s, wa: wa, takeID: id, tokens: w.n}, nil
		case <-t.C:
			s.mu.Lock()
			wa.serveWaiters(time.Now())
			s.mu.Unlock()
		case <-ctx.Done():
			return s.stopWaiting(wa, w, tokens)
		}
	}
}

// stopWaiting ends a wait. Tokens that became available at the same moment are used.
func (s *FleetLimiter) stopWaiting(wa *workspaceAccount, w *waiter, tokens int) (vane.Reservation, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	wa.serveWaiters(now)
	select {
	case id := <-w.done:
		return &fleetReservation{s: s, wa: wa, takeID: id, tokens: w.n}, nil
	default:
	}
	for i, x := range wa.waiters {
		if x == w {
			wa.waiters = append(wa.waiters[:i], wa.waiters[i+1:]...)
			break
		}
	}
	wait, ok := wa.account.Wait(now, w.n)
	if s.exchanges[wa.shard].unanswered && !ok {
		return nil, vane.Refuse(vane.ReasonLimitUnavailable,
			"the node that grants the budget of workspace %s does not answer and this node's share is too small; use another entry address", wa.ws).WithRetryAfter(time.Second)
	}
	return nil, overRate(wa.ws, tokens, max(wait, time.Second))
}

// serveWaiters gives tokens to the waiting requests in order. The caller holds the
// limiter's mutex.
func (wa *workspaceAccount) serveWaiters(now time.Time) {
	for len(wa.waiters) > 0 {
		id, ok := wa.account.Take(now, wa.waiters[0].n)
		if !ok {
			return
		}
		wa.waiters[0].done <- id
		wa.waiters = wa.waiters[1:]
	}
}

// Recall handles the holder's request to return a share.
func (s *FleetLimiter) Recall(r *wire.RecallRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wa, ok := s.accounts[r.GetWorkspace()]; ok {
		wa.account.Recall(r.GetShare())
		s.startExchange(wa.shard)
	}
}

// Lend answers a peer that gets no answer from the holder. Workspaces for which
// requests wait here are left out.
func (s *FleetLimiter) Lend(r *wire.ExchangeRequest) *wire.ExchangeReply {
	now := time.Now()
	reply := &wire.ExchangeReply{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range r.GetAsks() {
		if wa, ok := s.accounts[a.GetWorkspace()]; ok && len(wa.waiters) == 0 {
			reply.Gives = append(reply.Gives, wa.account.Lend(now, a))
		}
	}
	return reply
}

// Held returns the share and the tokens that the node holds of a workspace's budget;
// both are zero if it holds none.
func (s *FleetLimiter) Held(ws string) (share, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wa, ok := s.accounts[ws]
	if !ok {
		return 0, 0
	}
	return wa.account.Share(), wa.account.Level(time.Now())
}

// fleetReservation implements vane.Reservation.
type fleetReservation struct {
	s      *FleetLimiter
	wa     *workspaceAccount
	takeID TakeID
	tokens float64
	once   sync.Once
}

// Settle implements vane.Reservation.
func (r *fleetReservation) Settle(used int) {
	r.once.Do(func() {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		now := time.Now()
		r.wa.account.Settle(now, r.takeID, r.tokens, float64(used))
		r.wa.serveWaiters(now)
	})
}
