package store

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
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
func (c *Client) read(ctx context.Context, r call) (*answer, error) {
	r.method, r.limit = http.MethodGet, c.timeout
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	op := func() (*answer, error) { return c.do(ctx, r) }
	return backoff.Retry(ctx, op, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(readTries))
}

// Put implements vane.Store. If the answer to the write is lost, Put repeats it
// and reads back; it returns KindUnknown only if that gives no answer either.
func (c *Client) Put(ctx context.Context, key string, want uint64, value []byte) (uint64, error) {
	if len(value) > maxValue {
		return 0, vane.Errorf(vane.KindInvalid, "store.put", "split it into several objects", "object %s has %d bytes, %d are allowed", key, len(value), maxValue)
	}
	v, err := c.putOnce(ctx, key, want, value)
	if vane.KindOf(err) != vane.KindUnknown {
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
		case vane.KindUnknown, vane.KindUnavailable:
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
		return 0, vane.Errorf(vane.KindUnknown, "store.put", "read the object later to learn the outcome", "the outcome of a write to %s is not known", key).WithCause(err)
	}
	if bytes.Equal(o.Value, value) {
		return o.Version, nil
	}
	return 0, conflict
}

// putOnce sends one conditional write.
func (c *Client) putOnce(ctx context.Context, key string, want uint64, value []byte) (uint64, error) {
	a, err := c.do(ctx, call{
		op: "put", method: http.MethodPut, path: objectPath(key), body: value, limit: c.timeout,
		header: http.Header{HeaderIfVersion: {strconv.FormatUint(want, 10)}},
	})
	if err != nil {
		return 0, err
	}
	if a.status == http.StatusPreconditionFailed {
		return 0, conflict("put", key, want, a)
	}
	if a.status != http.StatusOK {
		return 0, unexpected("put", a)
	}
	return version(a)
}

// Delete implements vane.Store. An object that is already gone is no error.
func (c *Client) Delete(ctx context.Context, key string, want uint64) error {
	a, err := c.do(ctx, call{
		op: "delete", method: http.MethodDelete, path: objectPath(key), limit: c.timeout,
		header: http.Header{HeaderIfVersion: {strconv.FormatUint(want, 10)}},
	})
	switch {
	case err != nil:
		return err
	case a.status == http.StatusOK, a.status == http.StatusNotFound:
		return nil
	case a.status == http.StatusPreconditionFailed:
		return conflict("delete", key, want, a)
	default:
		return unexpected("delete", a)
	}
}

// conflict reports a lost conditional update.
func conflict(op, key string, want uint64, a *answer) error {
	return vane.Errorf(vane.KindConflict, "store."+op, "read the object and decide again",
		"object %s is at version %s, not %d", key, a.header.Get(HeaderVersion), want)
}
