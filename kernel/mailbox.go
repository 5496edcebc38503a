package kernel

import (
	"context"
	"sync/atomic"
)

// Mailbox is a bounded queue of messages to one task.
type Mailbox[M any] struct {
	ch      chan M
	dropped atomic.Uint64
}

// NewMailbox returns a mailbox that holds n messages.
func NewMailbox[M any](n int) *Mailbox[M] {
	return &Mailbox[M]{ch: make(chan M, n)}
}

// Send puts m into the mailbox. It returns false and counts the message as
// dropped if the mailbox is full.
func (b *Mailbox[M]) Send(m M) bool {
	select {
	case b.ch <- m:
		return true
	default:
		b.dropped.Add(1)
		return false
	}
}

// Put waits until m is in the mailbox or ctx ends.
func (b *Mailbox[M]) Put(ctx context.Context, m M) error {
	select {
	case b.ch <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel that the owning task receives from.
func (b *Mailbox[M]) C() <-chan M { return b.ch }

// Dropped returns the number of messages that Send has dropped.
func (b *Mailbox[M]) Dropped() uint64 { return b.dropped.Load() }
