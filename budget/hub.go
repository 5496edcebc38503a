package budget

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/wire"
)

// ShardOf returns the shard that a workspace's budget belongs to.
func ShardOf(workspace string, shards int) int {
	return int(xxhash.Sum64String(workspace) % uint64(shards))
}

// record is what a lease object holds for the next holder.
type record struct {
	// Ceilings bound what is given out, where it may be more than
	// DefaultCeiling.
	Ceilings map[string]float64 `json:"ceilings,omitempty"`
	// Exact says that the holder has released the shard and that Out holds what
	// is given out of each workspace's budget.
	Exact bool               `json:"exact,omitempty"`
	Out   map[string]float64 `json:"out,omitempty"`
}

// shard is the state of a held shard.
type shard struct {
	fence   uint64
	before  record    // of the holder before
	fresh   bool      // there was no holder before
	closed  bool      // the shard is being released; nothing is given out any more
	lapsed  time.Time // end of the lease, if it has ended; zero while it is held
	ledgers map[string]*Ledger
}

// Allocator keeps the ledgers of the shards that this node holds. It is safe for
// concurrent use.
type Allocator struct {
	shards int
	terms  func(workspace string) (Limits, bool)
	holds  func(shard int) (uint64, bool)
	recall func(v RecallTarget, workspace string)
	renew  func(shard int)

	mu   sync.Mutex
	held map[int]*shard
}

// AllocatorHooks connect a hub with the rest of its node. None of them may wait.
type AllocatorHooks struct {
	Holds     func(shard int) (uint64, bool)         // whether the node holds a shard now
	Recall    func(v RecallTarget, workspace string) // asks a node to give a share back
	RenewSoon func(shard int)                        // has the lease object written soon
}

// NewAllocator returns a hub.
func NewAllocator(shards int, terms func(string) (Limits, bool), l AllocatorHooks) *Allocator {
	return &Allocator{shards: shards, terms: terms, holds: l.Holds, recall: l.Recall, renew: l.RenewSoon, held: make(map[int]*shard)}
}

// Acquire begins to hold a shard. A holder that takes its own lease again, with no
// other in between, goes on with its ledgers.
func (h *Allocator) Acquire(now time.Time, t lease.Taken) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.held[t.Shard]; s != nil && t.Resumed && !s.closed {
		s.lapsed = time.Time{}
		for _, l := range s.ledgers {
			l.Thaw(now)
		}
		return
	}
	s := &shard{fence: t.Fence, fresh: t.Before.Holder == "", ledgers: make(map[string]*Ledger)}
	_ = json.Unmarshal(t.Before.Data, &s.before)
	h.held[t.Shard] = s
}

// LeaseExpired notes that the lease of a shard ended at the given time with no other
// holder known, for example because the platform is down. The hub goes on with
// what the recorded ceilings allow; nothing that it gives from now on lives longer
// than what it gave at the end of the lease, so that a later holder, which counts
// all of that as given out, stays right.
func (h *Allocator) LeaseExpired(i int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.held[i]; s != nil {
		s.lapsed = at
		for _, l := range s.ledgers {
			l.Freeze()
		}
	}
}

// Drop ends the work for a shard that another node holds.
func (h *Allocator) Drop(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, i)
}

// cap shortens the lives that a reply gives to what a lapsed lease allows.
func (s *shard) cap(now time.Time, g *wire.Give) {
	if s.lapsed.IsZero() {
		return
	}
	left := remaining(now, s.lapsed.Add(shorter(ShareTTL)))
	g.LifeMs, g.ExtendMs = min(g.LifeMs, left), min(g.ExtendMs, left)
}

// open says whether the shard may give out shares.
func (s *shard) open(now time.Time, held bool) bool {
	if s == nil || s.closed {
		return false
	}
	return held || (!s.lapsed.IsZero() && now.Before(s.lapsed.Add(shorter(ShareTTL))))
}

// LeaseData returns the recovery record for a write of a shard's lease object.
func (h *Allocator) LeaseData(i int, p lease.Purpose, before json.RawMessage) json.RawMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	var r record
	s := h.held[i]
	switch {
	case p == lease.Acquire || s == nil:
		_ = json.Unmarshal(before, &r)
		r = r.inexact()
	case p == lease.Release:
		s.closed = true
		r = s.final()
	default:
		r = s.ceilings()
	}
	b, _ := json.Marshal(r)
	return b
}

// final returns the record of a holder that gives the shard up. It is exact if
// every share that was ever given out is known.
func (s *shard) final() record {
	out := make(map[string]float64)
	for ws, o := range s.before.bounds() {
		out[ws] = o
	}
	for ws, l := range s.ledgers {
		out[ws] = l.Out()
	}
	if s.fresh || s.before.Exact {
		return record{Exact: true, Out: out}
	}
	return record{Ceilings: out}
}

// inexact returns the bounds that stay true while a next holder may already give
// out shares up to DefaultCeiling.
func (r record) inexact() record {
	out := record{Ceilings: make(map[string]float64)}
	for ws, c := range r.bounds() {
		if c > DefaultCeiling {
			out.Ceilings[ws] = c
		}
	}
	return out
}

// bounds returns the bounds that a record states.
func (r record) bounds() map[string]float64 {
	if r.Exact {
		return r.Out
	}
	return r.Ceilings
}

// ceilings returns the record of a holder that goes on.
func (s *shard) ceilings() record {
	r := s.before.inexact()
	for ws, l := range s.ledgers {
		delete(r.Ceilings, ws)
		if c := l.Write(); c > DefaultCeiling {
			r.Ceilings[ws] = c
		}
	}
	return r
}

// LeaseWritten notes that a lease object holds the value.
func (h *Allocator) LeaseWritten(i int, value []byte) {
	var rec lease.Record
	var r record
	if json.Unmarshal(value, &rec) != nil || json.Unmarshal(rec.Data, &r) != nil || rec.Released {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.held[i]
	if s == nil {
		return
	}
	for ws, l := range s.ledgers {
		if c, ok := r.Ceilings[ws]; ok {
			l.Written(c)
		} else {
			l.Written(DefaultCeiling)
		}
	}
}

// ledger returns the ledger of a workspace. The lock is held.
func (s *shard) ledger(now time.Time, ws string, t Limits) *Ledger {
	l, ok := s.ledgers[ws]
	if ok {
		l.SetLimits(now, t)
		return l
	}
	switch {
	case s.fresh:
		l = NewLedger(now, t)
	case s.before.Exact:
		l = NewLedgerAfter(now, t, s.before.Out[ws])
	default:
		l = NewLedgerAfter(now, t, max(DefaultCeiling, s.before.Ceilings[ws]))
	}
	s.ledgers[ws] = l
	if !s.lapsed.IsZero() {
		l.Freeze()
	}
	return l
}

// Exchange serves the asks of one node.
func (h *Allocator) Exchange(now time.Time, r *wire.ExchangeRequest) *wire.ExchangeReply {
	i := int(r.GetShard())
	_, held := h.holds(i)
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.held[i]
	if !s.open(now, held) {
		return &wire.ExchangeReply{}
	}
	reply := &wire.ExchangeReply{Holder: true, Fence: s.fence}
	for _, a := range r.GetAsks() {
		t, known := h.terms(a.GetWorkspace())
		if !known || ShardOf(a.GetWorkspace(), h.shards) != i {
			continue
		}
		if r.GetFence() != s.fence {
			// The holder before may have taken it back already.
			a.Back, a.BackTokens = 0, 0
		}
		l := s.ledger(now, a.GetWorkspace(), t)
		g := l.Exchange(now, r.GetNode(), r.GetIncarnation(), a)
		s.cap(now, g)
		reply.Gives = append(reply.Gives, g)
		if l.Short() {
			h.renew(i)
		}
		if lacking := a.GetWant() - g.GetShare(); a.GetTokens() > 0 && lacking > minShare {
			for _, v := range l.Recall(lacking, r.GetNode()) {
				h.recall(v, a.GetWorkspace())
			}
		}
	}
	return reply
}

// Position is what operators see of one workspace's budget.
type Position struct {
	Workspace string  `json:"workspace"`
	Out       float64 `json:"out"`    // bound on the share given out
	Pool      float64 `json:"pool"`   // share in the pool
	Tokens    float64 `json:"tokens"` // in the pool
}

// Positions returns the budgets that this node holds the ledgers of.
func (h *Allocator) Positions(now time.Time) []Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := []Position{}
	for _, s := range h.held {
		for ws, l := range s.ledgers {
			share, tokens := l.Pool(now)
			out = append(out, Position{Workspace: ws, Out: l.Out(), Pool: share, Tokens: tokens})
		}
	}
	return out
}
