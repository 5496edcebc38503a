package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Bounds of the retries.
const (
	readTries    = 3
	resolveTries = 3
	backoffStart = 20 * time.Millisecond
)

// newBackoff returns a jittered exponential backoff.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffStart
	return b
}

// read performs a call that may be repeated, with jittered backoff.
func (c *Client) read(ctx context.Context, r call) (*Response, error) {
	r.limit = c.timeout
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	op := func() (*Response, error) { return c.do(ctx, r) }
	return backoff.Retry(ctx, op, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(readTries))
}

// Put implements vane.Store. If the answer to the write is lost, Put repeats it
// and reads back; it returns KindUnknown only if that gives no answer either.
func (c *Client) Put(ctx context.Context, key string, want uint64, value []byte) (uint64, error) {
	if len(value) > maxValue {
		return 0, vane.Errorf(vane.KindInvalid, "store.put", "split it into several objects", "object %s has %d bytes, %d are allowed", key, len(value), maxValue)
	}
	v, err := c.putOnce(ctx, key, want, value)
	if vane.KindOf(err) != vane.KindUnknownOutcome {
		return v, err
	}
	return c.resolve(ctx, key, want, value, err)
}

// resolve finds out whether a write with a lost answer took effect. Repeating a
// conditional write is safe: at most one of the two can succeed.
func (c *Client) resolve(ctx context.Context, key string, want uint64, value []byte, lost error) (uint64, error) {
	b := newBackoff()
	for range resolveTries {
		if !clock.Sleep(ctx, b.NextBackOff()) {
			break
		}
		v, err := c.putOnce(ctx, key, want, value)
		switch vane.KindOf(err) {
		case vane.KindConflict:
			return c.readBack(ctx, key, value, err)
		case vane.KindUnknownOutcome, vane.KindUnavailable:
			continue
		}
		return v, err
	}
	return 0, lost
}

// readBack decides a conflict that may have been caused by the caller's own
// earlier write.
func (c *Client) readBack(ctx context.Context, key string, value []byte, conflict error) (uint64, error) {
	o, err := c.Get(ctx, key)
	if vane.KindOf(err) == vane.KindNotFound && err != nil {
		return 0, conflict
	}
	if err != nil {
		return 0, vane.Errorf(vane.KindUnknownOutcome, "store.put", "read the object later to learn the outcome", "the outcome of a write to %s is not known", key).WithCause(err)
	}
	if bytes.Equal(o.Value, value) {
		return o.Version, nil
	}
	return 0, conflict
}

// putOnce sends one conditional write.
func (c *Client) putOnce(ctx context.Context, key string, want uint64, value []byte) (uint64, error) {
	a, err := c.do(ctx, call{op: "put", Request: c.proto.Put(key, want, value), limit: c.timeout})
	if err != nil {
		return 0, err
	}
	return c.proto.DecodePut(key, want, a)
}

// Delete implements vane.Store. An object that is already gone is no error.
func (c *Client) Delete(ctx context.Context, key string, want uint64) error {
	a, err := c.do(ctx, call{op: "delete", Request: c.proto.Delete(key, want), limit: c.timeout})
	if err != nil {
		return err
	}
	return c.proto.DecodeDelete(key, want, a)
}
