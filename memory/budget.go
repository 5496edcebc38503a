package memory

import (
	"context"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// Limits of holds.
const (
	// SmallBytes is the greatest size of a hold that may use the reserved part of the budget. Long
	// prompts have about 40 KB.
	SmallBytes   = 64 << 10
	reservedPart = 4 // one part in this many is reserved for small holds
	// slowTime is the time within which a sender must make progress. TCP repeats a lost packet
	// after 1, 3 and 7 s.
	slowTime = 10 * time.Second
	// progressBytes count as progress. A modem of 9.6 kbit/s sends them within 0.9 s.
	progressBytes = 1 << 10
	evictWait     = time.Second // within which evicted holds are closed as a rule
	sweepPeriod   = time.Second
	retryAfter    = 500 * time.Millisecond // evicted and refused holds are closed well within this time
)

// Budget is the number of bytes that a process may hold. It is safe for concurrent use.
type Budget struct {
	capacity int64
	now      func() time.Time
	log      logger
	metrics  *metrics

	mu      sync.Mutex
	used    int64         // by all holds
	large   int64         // by holds of more than SmallBytes
	larges  int           // number of these
	leaving int64         // by evicted holds that are not closed
	waiting int64         // wanted by holds that wait for evicted ones
	freed   chan struct{} // closed and replaced when bytes become free while a hold waits
	holds   map[*Hold]struct{}
	swept   time.Time // of the latest sweep; zero before the first
}

// Option configures New.
type Option func(*Budget)

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(b *Budget) { b.now = now } }

// New returns a budget of capacity bytes.
func New(capacity int64, opts ...Option) *Budget {
	b := &Budget{capacity: capacity, now: time.Now, freed: make(chan struct{}), holds: make(map[*Hold]struct{})}
	for _, o := range opts {
		o(b)
	}
	if b.metrics != nil {
		b.metrics.capacity.Set(float64(capacity))
	}
	return b
}

// Open returns a hold without bytes. It must be closed.
func (b *Budget) Open(class Class) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{b: b, class: class}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = b.now()
	b.holds[h] = struct{}{}
	return h
}

// OpenBody is like Open for the body of the request whose context is ctx. While the body is read
// without progress, the request's connection may be closed in favour of a new one.
func (b *Budget) OpenBody(ctx context.Context, priority int) *Hold {
	h := b.Open(Class{Kind: KindBody, Priority: priority})
	if c, ok := ctx.Value(connKey{}).(*conn); ok && h != nil {
		c.mu.Lock()
		c.body = h
		c.mu.Unlock()
	}
	return h
}

// Capacity returns the size of the budget, or 0 for no limit.
func (b *Budget) Capacity() int64 {
	if b == nil {
		return 0
	}
	return b.capacity
}

// LargestBody returns the largest body that may be accepted, or 0 for no limit: half of the budget,
// since a buffer that grows is held together with the one that replaces it.
func (b *Budget) LargestBody() int64 { return b.Capacity() / 2 }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Run evicts holds of slow senders until ctx ends.
func (b *Budget) Run(ctx context.Context) {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			b.Sweep()
		}
	}
}

// Sweep evicts the holds of request heads and bodies whose senders made no progress for 10 s.
func (b *Budget) Sweep() {
	b.mu.Lock()
	now := b.now()
	if frozen := !b.swept.IsZero() && now.Sub(b.swept) > slowTime/2; frozen {
		// What senders have sent while the process did not run has not been read yet.
		for h := range b.holds {
			h.progress = now
		}
	}
	b.swept = now
	var out []*Hold
	for h := range b.holds {
		if !h.pinned && !h.evicted && h.class.Kind != KindResponse && now.Sub(h.progress) >= slowTime {
			out = append(out, h)
		}
	}
	for _, h := range out {
		b.evict(h, vane.Refuse(vane.ReasonBodySlow, "less than %d bytes of the request arrived in %v; send it faster", progressBytes, slowTime))
	}
	b.mu.Unlock()
	b.notify(out, "sender too slow")
}

// evict marks a hold as evicted. The caller must hold mu, and call notify afterwards.
func (b *Budget) evict(h *Hold, ref *vane.Refusal) {
	h.evicted, h.refusal = true, ref
	b.leaving += h.bytes
}

// notify calls the functions of evicted holds. The caller must not hold mu.
func (b *Budget) notify(holds []*Hold, cause string) {
	for _, h := range holds {
		b.countRefused(cause, h.class)
		b.mu.Lock()
		f := h.onEvict
		b.mu.Unlock()
		if f != nil {
			f()
		}
	}
}

// fits reports whether h may have n more bytes. The only large hold may also use the reserved
// part, so that the largest legal body is served by a calm node. The caller must hold mu.
func (b *Budget) fits(h *Hold, n int64) bool { return b.missing(h, n) <= 0 }

// missing returns how many bytes must become free before h may have n more. The caller must hold
// mu.
func (b *Budget) missing(h *Hold, n int64) int64 {
	need := b.used + n - b.capacity
	if h.bytes+n > SmallBytes {
		added, others := n, b.larges
		if h.bytes > SmallBytes {
			others--
		} else {
			added += h.bytes
		}
		if others > 0 {
			need = max(need, b.large+added-(b.capacity-b.capacity/reservedPart))
		}
	}
	return need
}

// grow reserves n bytes for h, after evicting other holds if necessary.
func (b *Budget) grow(h *Hold, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return h.refusal
	}
	if b.fits(h, n) {
		b.add(h, n)
		return nil
	}
	need := b.missing(h, n) + b.waiting - b.leaving
	if need > 0 && !b.makeRoom(h, need) {
		return b.refuse(h, n)
	}
	if h.evicted {
		return h.refusal
	}
	// The evicted holds may have been closed while makeRoom told them, before this one waits.
	if b.fits(h, n) {
		b.add(h, n)
		return nil
	}
	b.waiting += n
	defer func() { b.waiting -= n }()
	timeout := time.NewTimer(evictWait)
	defer timeout.Stop()
	for expired := false; !expired; {
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-timeout.C:
			expired = true
		}
		b.mu.Lock()
		if h.evicted {
			return h.refusal
		}
		if b.fits(h, n) {
			b.add(h, n)
			return nil
		}
	}
	return b.refuse(h, n)
}

// tryGrow reserves n bytes for h if that many are free.
func (b *Budget) tryGrow(h *Hold, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return h.refusal
	}
	if !b.fits(h, n) {
		return b.refuse(h, n)
	}
	b.add(h, n)
	return nil
}

// makeRoom evicts holds so that need bytes become free for h. It returns false if those that may
// be evicted do not hold as many. The caller must hold mu, which is released meanwhile.
func (b *Budget) makeRoom(h *Hold, need int64) bool {
	var all []*Hold
	var states []State
	for o := range b.holds {
		if o != h && !o.evicted {
			all, states = append(all, o), append(states, State{Class: o.class, Bytes: o.bytes, Progress: o.progress, Pinned: o.pinned})
		}
	}
	chosen := Victims(states, need, h.class.Priority, b.now())
	if chosen == nil {
		return false
	}
	out := make([]*Hold, len(chosen))
	for i, at := range chosen {
		out[i] = all[at]
		b.evict(out[i], vane.Refuse(vane.ReasonMemoryFull, "this node has no memory left for the request, whose sender had paused; retry later").WithRetryAfter(retryAfter))
	}
	b.mu.Unlock()
	b.notify(out, "evicted")
	b.mu.Lock()
	return true
}

// refuse evicts h itself and returns the refusal. The caller must hold mu.
func (b *Budget) refuse(h *Hold, n int64) *vane.Refusal {
	ref := vane.Refuse(vane.ReasonMemoryFull, "this node has no memory left for the request (%d of %d bytes held, %d more wanted); retry later", b.used, b.capacity, n).WithRetryAfter(retryAfter)
	if !h.pinned {
		b.evict(h, ref)
	}
	b.countRefused("full", h.class)
	return ref
}

// add changes the bytes of h by n. The caller must hold mu.
func (b *Budget) add(h *Hold, n int64) {
	was := h.bytes
	h.bytes += n
	b.used += n
	if h.evicted {
		b.leaving += n
	}
	if was > SmallBytes {
		b.large -= was
		b.larges--
	}
	if h.bytes > SmallBytes {
		b.large += h.bytes
		b.larges++
	}
	if b.metrics != nil {
		b.metrics.used.Set(float64(b.used))
	}
	if n < 0 && b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}
