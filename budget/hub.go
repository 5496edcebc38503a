package budget

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/wire"
)

// ShardOf returns the shard that a workspace's budget belongs to, from 0 to shards-1.
func ShardOf(workspace string, shards int) int {
	return int(xxhash.Sum64String(workspace) % uint64(shards))
}

// record is the payload of a lease object, which the next holder starts from.
type record struct {
	// Ceilings are upper bounds on the shares given out, by workspace. A
	// workspace without an entry has the bound DefaultCeiling.
	Ceilings map[string]float64 `json:"ceilings,omitempty"`
	// Exact is set when the holder has released the shard. Granted then has the
	// share given out of each workspace's budget.
	Exact   bool               `json:"exact,omitempty"`
	Granted map[string]float64 `json:"out,omitempty"`
}

// shard is the state of a shard that this node holds.
type shard struct {
	fence        uint64
	previous     record    // record of the previous holder
	noPrevious   bool      // there was no previous holder
	releasing    bool      // the shard is being released and gives nothing out
	leaseEndedAt time.Time // when the lease ended; zero while it is held
	ledgers      map[string]*Ledger
}

// Allocator keeps the ledgers of the shards that this node holds and answers the
// asks of all nodes for them. It is safe for concurrent use.
type Allocator struct {
	shards    int
	limits    func(workspace string) (Limits, bool)
	holds     func(shard int) (uint64, bool)
	recall    func(t RecallTarget, workspace string)
	renewSoon func(shard int)

	mu   sync.Mutex
	held map[int]*shard
}

// AllocatorHooks connect an allocator with the rest of its node. They must not block.
type AllocatorHooks struct {
	Holds     func(shard int) (uint64, bool)         // returns the fencing number of a shard, and whether this node holds its lease
	Recall    func(t RecallTarget, workspace string) // asks a node to return a share
	RenewSoon func(shard int)                        // requests an early write of the shard's lease object
}

// NewAllocator returns an allocator that holds no shard. limits returns the rate and
// burst of a workspace, and false for an unknown one.
func NewAllocator(shards int, limits func(string) (Limits, bool), hooks AllocatorHooks) *Allocator {
	return &Allocator{shards: shards, limits: limits, holds: hooks.Holds, recall: hooks.Recall, renewSoon: hooks.RenewSoon, held: make(map[int]*shard)}
}

// Acquire starts holding a shard. A holder that acquires its own lease again, with
// no other holder in between, continues with its ledgers.
func (al *Allocator) Acquire(now time.Time, a lease.Acquisition) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if s := al.held[a.Shard]; s != nil && a.Resumed && !s.releasing {
		s.leaseEndedAt = time.Time{}
		for _, l := range s.ledgers {
			l.Unfreeze(now)
		}
		return
	}
	s := &shard{fence: a.Fence, noPrevious: a.Previous.Holder == "", ledgers: make(map[string]*Ledger)}
	_ = json.Unmarshal(a.Previous.Data, &s.previous)
	al.held[a.Shard] = s
}

// LeaseExpired records that the lease of shard i ended at the given time and that no
// other holder is known, for example because the platform is down. The allocator
// continues within the recorded ceilings. From then on, no share that it gives
// outlives those given at the end of the lease, so that a later holder, which counts
// them all as given out, has a correct bound.
func (al *Allocator) LeaseExpired(i int, at time.Time) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if s := al.held[i]; s != nil {
		s.leaseEndedAt = at
		for _, l := range s.ledgers {
			l.Freeze()
		}
	}
}

// Drop discards the state of a shard that another node holds.
func (al *Allocator) Drop(i int) {
	al.mu.Lock()
	defer al.mu.Unlock()
	delete(al.held, i)
}

// limitLifetimes shortens the lifetimes in g, so that no share is valid for longer
// than ShareTTL after the end of the lease. It does nothing while the lease is held.
func (s *shard) limitLifetimes(now time.Time, g *wire.Give) {
	if s.leaseEndedAt.IsZero() {
		return
	}
	left := remainingMs(now, s.leaseEndedAt.Add(shortenForDrift(ShareTTL)))
	g.LifeMs, g.ExtendMs = min(g.LifeMs, left), min(g.ExtendMs, left)
}

// canGive reports whether the shard may give out shares. held says whether the node
// holds the lease now. After the lease has ended, the shard may give out shares for
// at most ShareTTL.
func (s *shard) canGive(now time.Time, held bool) bool {
	if s == nil || s.releasing {
		return false
	}
	return held || (!s.leaseEndedAt.IsZero() && now.Before(s.leaseEndedAt.Add(shortenForDrift(ShareTTL))))
}

// LeaseData returns the record for a write of the lease object of shard i. before is
// the record in the object now. With lease.Release, the shard stops giving out shares.
func (al *Allocator) LeaseData(i int, p lease.Purpose, before json.RawMessage) json.RawMessage {
	al.mu.Lock()
	defer al.mu.Unlock()
	var r record
	s := al.held[i]
	switch {
	case p == lease.Acquire || s == nil:
		_ = json.Unmarshal(before, &r)
		r = r.ceilingsOnly()
	case p == lease.Release:
		s.releasing = true
		r = s.finalRecord()
	default:
		r = s.currentRecord()
	}
	b, _ := json.Marshal(r)
	return b
}

// finalRecord returns the record of a holder that releases the shard. It is exact if
// all shares that earlier holders gave out are known exactly.
func (s *shard) finalRecord() record {
	out := make(map[string]float64)
	for ws, o := range s.previous.bounds() {
		out[ws] = o
	}
	for ws, l := range s.ledgers {
		out[ws] = l.Granted()
	}
	if s.noPrevious || s.previous.Exact {
		return record{Exact: true, Granted: out}
	}
	return record{Ceilings: out}
}

// ceilingsOnly returns the bounds that remain valid when the next holder may already
// give out shares up to DefaultCeiling.
func (r record) ceilingsOnly() record {
	out := record{Ceilings: make(map[string]float64)}
	for ws, c := range r.bounds() {
		if c > DefaultCeiling {
			out.Ceilings[ws] = c
		}
	}
	return out
}

// bounds returns the bounds on the shares given out, by workspace.
func (r record) bounds() map[string]float64 {
	if r.Exact {
		return r.Granted
	}
	return r.Ceilings
}

// currentRecord returns the record of a holder that keeps the shard.
func (s *shard) currentRecord() record {
	r := s.previous.ceilingsOnly()
	for ws, l := range s.ledgers {
		delete(r.Ceilings, ws)
		if c := l.NextCeiling(); c > DefaultCeiling {
			r.Ceilings[ws] = c
		}
	}
	return r
}

// LeaseWritten records that the lease object of shard i has the given value. A value
// that can't be decoded is ignored.
func (al *Allocator) LeaseWritten(i int, value []byte) {
	var rec lease.Record
	var r record
	if json.Unmarshal(value, &rec) != nil || json.Unmarshal(rec.Data, &r) != nil || rec.Released {
		return
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	s := al.held[i]
	if s == nil {
		return
	}
	for ws, l := range s.ledgers {
		if c, ok := r.Ceilings[ws]; ok {
			l.CeilingWritten(c)
		} else {
			l.CeilingWritten(DefaultCeiling)
		}
	}
}

// ledger returns the ledger of a workspace and creates it if needed. The caller
// holds the allocator's mutex.
func (s *shard) ledger(now time.Time, ws string, limits Limits) *Ledger {
	l, ok := s.ledgers[ws]
	if ok {
		l.SetLimits(now, limits)
		return l
	}
	switch {
	case s.noPrevious:
		l = NewLedger(now, limits)
	case s.previous.Exact:
		l = NewSuccessorLedger(now, limits, s.previous.Granted[ws])
	default:
		l = NewSuccessorLedger(now, limits, max(DefaultCeiling, s.previous.Ceilings[ws]))
	}
	s.ledgers[ws] = l
	if !s.leaseEndedAt.IsZero() {
		l.Freeze()
	}
	return l
}

// Exchange answers the asks of one node. The reply has Holder unset if this node may
// not give out shares of the shard. Unknown workspaces are left out.
func (al *Allocator) Exchange(now time.Time, r *wire.ExchangeRequest) *wire.ExchangeReply {
	i := int(r.GetShard())
	_, held := al.holds(i)
	al.mu.Lock()
	defer al.mu.Unlock()
	s := al.held[i]
	if !s.canGive(now, held) {
		return &wire.ExchangeReply{}
	}
	reply := &wire.ExchangeReply{Holder: true, Fence: s.fence}
	for _, a := range r.GetAsks() {
		limits, known := al.limits(a.GetWorkspace())
		if !known || ShardOf(a.GetWorkspace(), al.shards) != i {
			continue
		}
		if r.GetFence() != s.fence {
			// The return was addressed to another holder, which may have applied it.
			a.Back, a.BackTokens = 0, 0
		}
		l := s.ledger(now, a.GetWorkspace(), limits)
		g := l.Exchange(now, r.GetNode(), r.GetIncarnation(), a)
		s.limitLifetimes(now, g)
		reply.Gives = append(reply.Gives, g)
		if l.CeilingTooLow() {
			al.renewSoon(i)
		}
		if lacking := a.GetWant() - g.GetShare(); a.GetTokens() > 0 && lacking > minTransfer {
			for _, v := range l.Recall(lacking, r.GetNode()) {
				al.recall(v, a.GetWorkspace())
			}
		}
	}
	return reply
}

// LedgerStatus is the state of one workspace's budget for operators.
type LedgerStatus struct {
	Workspace string  `json:"workspace"`
	Granted   float64 `json:"out"`    // upper bound on the share given out
	Pool      float64 `json:"pool"`   // share in the pool
	Tokens    float64 `json:"tokens"` // tokens in the pool
}

// LedgerStatuses returns the state of the budgets whose ledgers this node keeps.
func (al *Allocator) LedgerStatuses(now time.Time) []LedgerStatus {
	al.mu.Lock()
	defer al.mu.Unlock()
	out := []LedgerStatus{}
	for _, s := range al.held {
		for ws, l := range s.ledgers {
			share, tokens := l.Pool(now)
			out = append(out, LedgerStatus{Workspace: ws, Granted: l.Granted(), Pool: share, Tokens: tokens})
		}
	}
	return out
}
