package kernel

import (
	"context"
	"sync/atomic"
)

// Mailbox is a bounded queue of messages to one goroutine. It is safe for concurrent
// use.
type Mailbox[M any] struct {
	ch      chan M
	dropped atomic.Uint64
}

// NewMailbox returns a mailbox that holds up to n messages.
func NewMailbox[M any](n int) *Mailbox[M] {
	return &Mailbox[M]{ch: make(chan M, n)}
}

// Send puts m into the mailbox without blocking. If the mailbox is full, it counts the
// message as dropped and returns false.
func (b *Mailbox[M]) Send(m M) bool {
	select {
	case b.ch <- m:
		return true
	default:
		b.dropped.Add(1)
		return false
	}
}

// Put puts m into the mailbox, waiting for room until ctx ends. It returns the error of
// ctx if m was not put in.
func (b *Mailbox[M]) Put(ctx context.Context, m M) error {
	select {
	case b.ch <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel from which the owner receives the messages.
func (b *Mailbox[M]) C() <-chan M { return b.ch }

// Dropped returns the number of messages that Send has dropped.
func (b *Mailbox[M]) Dropped() uint64 { return b.dropped.Load() }
