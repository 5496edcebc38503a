package budget

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/wire"
)

// kick starts the exchange of a shard unless one is running. The lock is held.
func (s *FleetLimiter) kick(shard int) {
	l := &s.lanes[shard]
	if l.running || s.ctx.Err() != nil {
		return
	}
	l.running = true
	s.wg.Go(func() { s.runLane(shard) })
}

// runLane exchanges with the holder until nothing is needed any more.
func (s *FleetLimiter) runLane(shard int) {
	for {
		s.mu.Lock()
		req := s.collect(shard)
		if len(req.Asks) == 0 {
			s.lanes[shard].running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if !s.exchange(shard, req) && !s.waited(shard) {
			// Nothing is urgent; the next tick tries again.
			s.mu.Lock()
			s.lanes[shard].running = false
			s.mu.Unlock()
			return
		}
		if !clock.Sleep(s.ctx, askPause) {
			return
		}
	}
}

// waited says whether requests wait for tokens of a shard.
func (s *FleetLimiter) waited(shard int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holdings {
		if h.shard == shard && len(h.waiters) > 0 {
			return true
		}
	}
	return false
}

// collect builds the asks of a shard's holdings. The lock is held.
func (s *FleetLimiter) collect(shard int) *wire.ExchangeRequest {
	now := time.Now()
	req := &wire.ExchangeRequest{Node: s.node, Incarnation: s.boot, Shard: uint32(shard), Fence: s.lanes[shard].fence}
	for _, h := range s.holdings {
		if h.shard != shard {
			continue
		}
		h.serve(now)
		n := 0.0
		for _, w := range h.waiters {
			n += w.n
		}
		if n == 0 && !h.acc.NeedsExchange(now) && h.acc.Surplus(now) <= 0 && h.acc.back == 0 {
			continue
		}
		req.Asks = append(req.Asks, h.acc.BuildAsk(now, h.ws, min(n, h.acc.terms.Burst), s.lanes[shard].fence))
	}
	return req
}

// exchange sends the asks to the holder, or to peers if it does not answer. It
// says whether the holder answered and gave a share that was asked for.
func (s *FleetLimiter) exchange(shard int, req *wire.ExchangeRequest) bool {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	reply, err := s.ex.Exchange(ctx, req)
	if err == nil && reply.GetHolder() && time.Since(sent) < askTimeout {
		s.given(shard, sent, reply)
		return gave(req, reply)
	}
	klog.V(2).InfoS("no holder answers", "shard", shard, "err", err, "hint", reply.GetHint())
	s.mu.Lock()
	s.lanes[shard].failed = true
	s.mu.Unlock()
	s.borrow(req)
	return false
}

// gave says whether every share that was asked for was given.
func gave(req *wire.ExchangeRequest, reply *wire.ExchangeReply) bool {
	given := make(map[string]float64, len(reply.GetGives()))
	for _, g := range reply.GetGives() {
		given[g.GetWorkspace()] = g.GetShare()
	}
	for _, a := range req.GetAsks() {
		if a.GetWant()-given[a.GetWorkspace()] > minShare {
			return false
		}
	}
	return true
}

// given takes the holder's answer. An answer of a holder that another one has
// followed is void.
func (s *FleetLimiter) given(shard int, sent time.Time, reply *wire.ExchangeReply) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.lanes[shard]
	if reply.GetFence() < l.fence {
		return
	}
	l.fence, l.failed = reply.GetFence(), false
	for _, g := range reply.GetGives() {
		if h, ok := s.holdings[g.GetWorkspace()]; ok {
			h.acc.ApplyGive(now, sent, g)
			h.serve(now)
		}
	}
}

// borrow asks peers for what waiting requests need. A floor is no reason to borrow:
// it would use up what peers may lend before the holder answers them again.
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
	reply, err := s.ex.Borrow(ctx, ask)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range reply.GetGives() {
		if h, ok := s.holdings[g.GetWorkspace()]; ok {
			h.acc.Borrow(now, sent, g)
			h.serve(now)
		}
	}
}

// ReturnAll gives everything back to the holders, for a node that stops.
func (s *FleetLimiter) ReturnAll(ctx context.Context) {
	for shard := range s.shards {
		now := time.Now()
		s.mu.Lock()
		req := &wire.ExchangeRequest{Node: s.node, Incarnation: s.boot, Shard: uint32(shard), Fence: s.lanes[shard].fence}
		for _, h := range s.holdings {
			if h.shard != shard {
				continue
			}
			if a := h.acc.ReturnAll(now, h.ws, s.lanes[shard].fence); a != nil {
				req.Asks = append(req.Asks, a)
			}
		}
		s.mu.Unlock()
		if len(req.Asks) > 0 {
			_, _ = s.ex.Exchange(ctx, req)
		}
	}
}
