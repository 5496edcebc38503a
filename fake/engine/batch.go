package engine

import (
	"container/heap"
	"context"
	"sync"
)

// batch hands out the engine's slots by priority, then by arrival, and lets one
// prompt prefill at a time, in the same order.
type batch struct {
	mu      sync.Mutex
	busy    bool    // a prompt prefills
	next    waiters // that wait for their prefill
	free    int
	running int
	idle    int // in the batch, waiting for their prefill
	seq     uint64
	queue   waiters
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	index    int
}

func newBatch(slots int) *batch {
	return &batch{free: slots}
}

// enter waits for a slot. It returns false if ctx ends first.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.running++
		b.mu.Unlock()
		return true
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return b.withdraw(w)
	}
}

// withdraw takes a waiter out of the queue. A slot that was handed over in the
// same moment is given back.
func (b *batch) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)
		return false
	}
	b.leaveLocked()
	return false
}

// leave gives a slot back.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaveLocked()
}

func (b *batch) leaveLocked() {
	if len(b.queue) == 0 {
		b.free++
		b.running--
		return
	}
	w := heap.Pop(&b.queue).(*waiter)
	close(w.ready)
}

// beginPrefill waits until no other prompt prefills and none of a higher priority
// waits. It returns false if ctx ends first.
func (b *batch) beginPrefill(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if !b.busy {
		b.busy = true
		b.mu.Unlock()
		return true
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.next, w)
	b.idle++
	b.mu.Unlock()
	defer b.addIdle(-1)
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.next, w.index)
	} else {
		b.passPrefill()
	}
	return false
}

// endPrefill lets the next prompt prefill.
func (b *batch) endPrefill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passPrefill()
}

// passPrefill hands the prefill over. The lock is held.
func (b *batch) passPrefill() {
	if len(b.next) == 0 {
		b.busy = false
		return
	}
	close(heap.Pop(&b.next).(*waiter).ready)
}

func (b *batch) addIdle(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle += n
}

// load returns the requests that prefill or decode and those that wait.
func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running - b.idle, len(b.queue) + b.idle
}

// waiters is a heap by priority and arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
