package engine

import (
	"container/heap"
	"context"
	"sync"
)

// batch assigns the engine's slots to requests and lets one prompt prefill at a time.
// Both go by priority, lowest value first, then by arrival.
type batch struct {
	mu              sync.Mutex
	prefilling      bool       // whether a prompt is being prefilled
	prefillQueue    waiterHeap // requests with a slot that wait for their prefill
	freeSlots       int
	usedSlots       int
	awaitingPrefill int // number of requests in prefillQueue, including those just leaving it
	seq             uint64
	slotQueue       waiterHeap // requests that wait for a slot
}

// waiter is a request that waits for a slot or for its prefill.
type waiter struct {
	priority int
	seq      uint64        // order of arrival
	ready    chan struct{} // closed when the request gets its slot or may start its prefill
	index    int           // position in the heap; -1 after removal
}

func newBatch(slots int) *batch {
	return &batch{freeSlots: slots}
}

// acquireSlot waits for a slot. It returns false if ctx ends first.
func (b *batch) acquireSlot(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.freeSlots > 0 {
		b.freeSlots--
		b.usedSlots++
		b.mu.Unlock()
		return true
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.slotQueue, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return b.cancelWait(w)
	}
}

// cancelWait removes a waiter from slotQueue, or releases the slot if w got one just
// before. It always returns false, for acquireSlot to return.
func (b *batch) cancelWait(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.slotQueue, w.index)
		return false
	}
	b.releaseSlotLocked()
	return false
}

// releaseSlot passes a slot to the next waiter, or marks it as free.
func (b *batch) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseSlotLocked()
}

// releaseSlotLocked is releaseSlot for callers that hold b.mu.
func (b *batch) releaseSlotLocked() {
	if len(b.slotQueue) == 0 {
		b.freeSlots++
		b.usedSlots--
		return
	}
	w := heap.Pop(&b.slotQueue).(*waiter)
	close(w.ready)
}

// beginPrefill waits until no other prompt is being prefilled and no request that
// waits comes before this one. It returns false if ctx ends first; otherwise the
// caller must call endPrefill.
func (b *batch) beginPrefill(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if !b.prefilling {
		b.prefilling = true
		b.mu.Unlock()
		return true
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.prefillQueue, w)
	b.awaitingPrefill++
	b.mu.Unlock()
	defer b.addAwaitingPrefill(-1)
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.prefillQueue, w.index)
	} else {
		b.startNextPrefillLocked()
	}
	return false
}

// endPrefill lets the next request start its prefill.
func (b *batch) endPrefill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startNextPrefillLocked()
}

// startNextPrefillLocked lets the first request in prefillQueue start its prefill. The
// caller must hold b.mu.
func (b *batch) startNextPrefillLocked() {
	if len(b.prefillQueue) == 0 {
		b.prefilling = false
		return
	}
	close(heap.Pop(&b.prefillQueue).(*waiter).ready)
}

func (b *batch) addAwaitingPrefill(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaitingPrefill += n
}

// load returns the number of requests that are prefilling or decoding and the number
// of those that wait for a slot or for their prefill.
func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedSlots - b.awaitingPrefill, len(b.slotQueue) + b.awaitingPrefill
}

// waiterHeap implements heap.Interface, ordered by priority, then by arrival.
type waiterHeap []*waiter

func (q waiterHeap) Len() int { return len(q) }
func (q waiterHeap) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q waiterHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waiterHeap) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
