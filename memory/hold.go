package memory

import (
	"io"
	"time"

	vane "mustardvane.org/vane"
)

// firstBytes is the size of the first buffer of ReadAll.
const firstBytes = 8 << 10

// Hold is the part of a budget that one request or response has. Its methods may be called by
// several goroutines, except for those that read.
type Hold struct {
	b     *Budget
	class Class

	// The remaining fields are guarded by the mutex of b.
	bytes    int64
	arrived  int64 // bytes since progress
	progress time.Time
	pinned   bool
	evicted  bool
	closed   bool
	refusal  *vane.Refusal // if evicted
	onEvict  func()
}

// Grow reserves n more bytes. It may wait up to a second for evicted holds to be closed. The error
// is a [*vane.Refusal] that says that the hold must end and, unless it is pinned, that the
// request has not run.
func (h *Hold) Grow(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	return h.b.grow(h, n)
}

// TryGrow is like Grow, but does not wait and evicts no other hold.
func (h *Hold) TryGrow(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	return h.b.tryGrow(h, n)
}

// Shrink returns n bytes.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.add(h, -min(n, h.bytes))
}

// Bytes returns the reserved bytes.
func (h *Hold) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.bytes
}

// Arrived records that n bytes have arrived from the sender.
func (h *Hold) Arrived(n int) {
	if h == nil || n <= 0 {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.arrived += int64(n); h.arrived >= progressBytes {
		h.arrived, h.progress = 0, h.b.now()
	}
}

// OnEvict sets a function that is called when the hold is evicted. It must make the holder return
// from a blocked read, and must not call methods of the hold.
func (h *Hold) OnEvict(f func()) {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	h.onEvict = f
	evicted := h.evicted
	h.b.mu.Unlock()
	if evicted && f != nil {
		f()
	}
}

// Pin says that the request may run from now on, so that the hold can't be evicted any more. It
// returns the refusal of a hold that has been evicted.
func (h *Hold) Pin() error {
	if h == nil {
		return nil
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.evicted {
		return h.refusal
	}
	h.pinned = true
	return nil
}

// reading reports whether the hold's request is still being read, and when that last made
// progress.
func (h *Hold) reading() (time.Time, bool) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.progress, !h.pinned && !h.closed
}

// Refusal returns the refusal of a hold that has been evicted, and nil of others.
func (h *Hold) Refusal() *vane.Refusal {
	if h == nil {
		return nil
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.refusal
}

// Close returns all bytes. It may be called more than once.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	b.add(h, -h.bytes)
	delete(b.holds, h)
}

// Reader returns a reader of r that reserves bytes before it reads them, and keeps those that
// were read reserved until the hold is closed. Its errors are those of r, or refusals.
func (b *Budget) Reader(h *Hold, r io.Reader) io.Reader {
	if b == nil || h == nil {
		return r
	}
	return &reader{h: h, r: r}
}

// reader is the reader of [Budget.Reader].
type reader struct {
	h *Hold
	r io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	p = p[:min(len(p), firstBytes)]
	if err := r.h.Grow(int64(len(p))); err != nil {
		return 0, err
	}
	n, err := r.r.Read(p)
	r.h.Shrink(int64(len(p) - n))
	r.h.Arrived(n)
	if ref := r.h.Refusal(); err != nil && err != io.EOF && ref != nil {
		err = ref
	}
	return n, err
}

// ReadAll reads r to its end. declared is the length that the sender has stated, or negative; limit
// is the greatest length that r can have. The whole buffer is reserved, which grows with what has
// arrived and does not exceed twice that. Errors are those of r, or refusals.
func (h *Hold) ReadAll(r io.Reader, declared, limit int64) ([]byte, error) {
	if declared >= 0 {
		limit = min(limit, declared)
	}
	limit++ // so that the end can be read
	size := min(firstBytes, limit)
	if err := h.Grow(size); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			old := int64(cap(buf))
			size := max(min(2*old, limit), old+1)
			if err := h.Grow(size); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, size), buf...)
			h.Shrink(old)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		h.Arrived(n)
		if err == io.EOF {
			return buf, nil
		}
		if ref := h.Refusal(); ref != nil {
			return nil, ref
		}
		if err != nil {
			return buf, err
		}
	}
}
