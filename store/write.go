package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Limits of the retries.
const (
	readTries    = 3
	resolveTries = 3
	backoffStart = 20 * time.Millisecond
)

// newBackoff returns a jittered exponential backoff that starts at backoffStart.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffStart
	return b
}

// read performs a call that may be repeated, with up to readTries attempts and
// jittered backoff between them.
func (c *Client) read(ctx context.Context, r call) (*Response, error) {
	r.timeout = c.timeout
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	op := func() (*Response, error) { return c.do(ctx, r) }
	return backoff.Retry(ctx, op, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(readTries))
}

// Put implements vane.Store. If the response to the write is lost, Put repeats
// the write and reads the object back. It returns KindUnknownOutcome only if that
// does not show the outcome either.
func (c *Client) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if len(value) > maxValueBytes {
		return 0, vane.Errorf(vane.KindInvalid, "store.put", "split it into several objects", "object %s has %d bytes, %d are allowed", key, len(value), maxValueBytes)
	}
	v, err := c.putOnce(ctx, key, expected, value)
	if vane.KindOf(err) != vane.KindUnknownOutcome {
		return v, err
	}
	return c.resolve(ctx, key, expected, value, err)
}

// resolve finds out whether a write with a lost response took effect. Repeating a
// conditional write is safe: at most one of the two can succeed. If the outcome
// stays unknown, it returns lostErr.
func (c *Client) resolve(ctx context.Context, key string, expected uint64, value []byte, lostErr error) (uint64, error) {
	b := newBackoff()
	for range resolveTries {
		if !clock.Sleep(ctx, b.NextBackOff()) {
			break
		}
		v, err := c.putOnce(ctx, key, expected, value)
		switch vane.KindOf(err) {
		case vane.KindConflict:
			return c.readBack(ctx, key, value, err)
		case vane.KindUnknownOutcome, vane.KindUnavailable:
			continue
		}
		return v, err
	}
	return 0, lostErr
}

// readBack decides whether a conflict was caused by the caller's own earlier write:
// that write succeeded if the object holds its value. Otherwise it returns conflict.
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

// putOnce sends one conditional write, without a retry.
func (c *Client) putOnce(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	return c.write(ctx, key, expected, call{op: "put", Request: c.proto.Put(key, vane.RevisionOf(expected), value), timeout: c.timeout})
}

// PutStatus replaces the status of the object if it has the version expected, and
// returns its new version. It does not repeat a write whose response was lost: the
// caller sees the object's status in a watch. The error is of KindInvalid if the
// platform keeps no status.
func (c *Client) PutStatus(ctx context.Context, key string, expected uint64, status []byte) (uint64, error) {
	p, ok := c.proto.(StatusProtocol)
	if !ok {
		return 0, vane.Errorf(vane.KindInvalid, "store.put_status", "write the object's value instead", "the platform keeps no status of objects")
	}
	return c.write(ctx, key, expected, call{op: "put_status", Request: p.PutStatus(key, vane.RevisionOf(expected), status), timeout: c.timeout})
}

// write sends a write that is conditional on the version expected, and returns the new
// version.
func (c *Client) write(ctx context.Context, key string, expected uint64, r call) (uint64, error) {
	if c.outdated(expected) {
		return 0, restoredConflict(r.op, key, expected)
	}
	resp, err := c.do(ctx, r)
	if err != nil {
		return 0, err
	}
	rev, err := c.proto.DecodePut(key, vane.RevisionOf(expected), resp)
	if err != nil {
		return 0, err
	}
	return vane.VersionOf(resp.Restores, rev), nil
}

// restoredConflict returns the error for a write that is conditional on a version from
// before a restore.
func restoredConflict(op, key string, expected uint64) *vane.Error {
	return Conflict(op, key, vane.RevisionOf(expected), "an unknown one since the platform came back from a copy")
}

// Delete implements vane.Store. Deleting an object that does not exist is not an
// error.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	if c.outdated(expected) {
		return restoredConflict("delete", key, expected)
	}
	rev := vane.RevisionOf(expected)
	resp, err := c.do(ctx, call{op: "delete", Request: c.proto.Delete(key, rev), timeout: c.timeout})
	if err != nil {
		return err
	}
	return c.proto.DecodeDelete(key, rev, resp)
}
