package budget

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/wire"
)

// startExchange starts the exchange of a shard unless it is running. The caller
// holds s.mu.
func (s *FleetLimiter) startExchange(shard int) {
	e := &s.exchanges[shard]
	if e.running || s.ctx.Err() != nil {
		return
	}
	e.running = true
	s.wg.Go(func() { s.runExchange(shard) })
}

// runExchange exchanges with the shard's holder until no account needs it.
func (s *FleetLimiter) runExchange(shard int) {
	for {
		s.mu.Lock()
		req := s.buildRequest(shard)
		if len(req.Asks) == 0 {
			s.exchanges[shard].running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if !s.exchangeOnce(shard, req) && !s.hasWaiters(shard) {
			// No request waits; the next tick tries again.
			s.mu.Lock()
			s.exchanges[shard].running = false
			s.mu.Unlock()
			return
		}
		if !clock.Sleep(s.ctx, exchangePause) {
			return
		}
	}
}

// hasWaiters reports whether requests wait for tokens of a shard.
func (s *FleetLimiter) hasWaiters(shard int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, wa := range s.accounts {
		if wa.shard == shard && len(wa.waiters) > 0 {
			return true
		}
	}
	return false
}

// buildRequest returns the asks of the shard's accounts that need an exchange. The
// caller holds s.mu.
func (s *FleetLimiter) buildRequest(shard int) *wire.ExchangeRequest {
	now := time.Now()
	req := &wire.ExchangeRequest{Node: s.node, Incarnation: s.incarnation, Shard: uint32(shard), Fence: s.exchanges[shard].fence}
	for _, wa := range s.accounts {
		if wa.shard != shard {
			continue
		}
		wa.serveWaiters(now)
		n := 0.0
		for _, w := range wa.waiters {
			n += w.n
		}
		if n == 0 && !wa.account.NeedsExchange(now) && wa.account.Surplus(now) <= 0 && wa.account.returning == 0 {
			continue
		}
		req.Asks = append(req.Asks, wa.account.BuildAsk(now, wa.ws, min(n, wa.account.limits.Burst), s.exchanges[shard].fence))
	}
	return req
}

// exchangeOnce sends the asks to the holder, or to peers if the holder does not
// answer. It reports whether the holder answered and gave every share asked for.
func (s *FleetLimiter) exchangeOnce(shard int, req *wire.ExchangeRequest) bool {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	reply, err := s.exchanger.Exchange(ctx, req)
	if err == nil && reply.GetHolder() && time.Since(sent) < askTimeout {
		s.applyReply(shard, sent, reply)
		return gaveAll(req, reply)
	}
	klog.V(2).InfoS("no answer from the holder of a budget shard", "shard", shard, "err", err, "hint", reply.GetHint())
	s.mu.Lock()
	s.exchanges[shard].unanswered = true
	s.mu.Unlock()
	s.borrow(req)
	return false
}

// gaveAll reports whether the reply gives every share that the request asks for.
func gaveAll(req *wire.ExchangeRequest, reply *wire.ExchangeReply) bool {
	given := make(map[string]float64, len(reply.GetGives()))
	for _, g := range reply.GetGives() {
		given[g.GetWorkspace()] = g.GetShare()
	}
	for _, a := range req.GetAsks() {
		if a.GetWant()-given[a.GetWorkspace()] > minTransfer {
			return false
		}
	}
	return true
}

// applyReply applies the holder's answer. An answer with an older fence comes from
// a holder that has been replaced and is ignored.
func (s *FleetLimiter) applyReply(shard int, sent time.Time, reply *wire.ExchangeReply) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.exchanges[shard]
	if reply.GetFence() < e.fence {
		return
	}
	e.fence, e.unanswered = reply.GetFence(), false
	for _, g := range reply.GetGives() {
		if wa, ok := s.accounts[g.GetWorkspace()]; ok {
			wa.account.ApplyGive(now, sent, g)
			wa.serveWaiters(now)
		}
	}
}

// borrow asks peers for what waiting requests need. It does not borrow for a
// minimum share: that would use up what peers may lend before their next answer
// from the holder.
func (s *FleetLimiter) borrow(req *wire.ExchangeRequest) {
	ask := &wire.ExchangeRequest{Node: req.Node, Incarnation: req.Incarnation, Shard: req.Shard, Peer: true}
	for _, a := range req.Asks {
		if a.GetWant() > 0 && a.GetTokens() > 0 {
			ask.Asks = append(ask.Asks, &wire.Ask{Workspace: a.GetWorkspace(), Want: a.GetWant(), Tokens: a.GetTokens()})
		}
	}
	if len(ask.Asks) == 0 {
		return
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	reply, err := s.exchanger.Borrow(ctx, ask)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range reply.GetGives() {
		if wa, ok := s.accounts[g.GetWorkspace()]; ok {
			wa.account.Borrow(now, sent, g)
			wa.serveWaiters(now)
		}
	}
}

// ReturnAll returns all shares to the holders when the node stops. Errors are
// ignored: a share that does not arrive expires.
func (s *FleetLimiter) ReturnAll(ctx context.Context) {
	for shard := range s.shards {
		now := time.Now()
		s.mu.Lock()
		req := &wire.ExchangeRequest{Node: s.node, Incarnation: s.incarnation, Shard: uint32(shard), Fence: s.exchanges[shard].fence}
		for _, wa := range s.accounts {
			if wa.shard != shard {
				continue
			}
			if a := wa.account.ReturnAll(now, wa.ws, s.exchanges[shard].fence); a != nil {
				req.Asks = append(req.Asks, a)
			}
		}
		s.mu.Unlock()
		if len(req.Asks) > 0 {
			_, _ = s.exchanger.Exchange(ctx, req)
		}
	}
}
