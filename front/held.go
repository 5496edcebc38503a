package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/memory"
)

// held is the memory that is held for one request.
type held struct {
	body, response *memory.Hold // nil if there are none
}

// close returns the memory.
func (x *held) close() {
	x.body.Close()
	x.response.Close()
}

// errNoMemory is the cause if an event of a stream does not fit into the memory of the node.
var errNoMemory = errors.New("no memory left for an event")

// holdPriority returns the priority of the memory of a request; 0 is the highest. It ranks the
// priority of the workspace before that of the route, and callers that are not known last.
func (c *request) holdPriority() int {
	p := min(c.route.Priority, routePriorityLevels-1)
	if c.tenancy.HasPriority {
		p += routePriorityLevels * c.tenancy.Priority
	}
	if !c.authenticated {
		p += memory.Unidentified
	}
	return p
}

// bodyLimit returns the largest body that is accepted: the configured limit, or
// DefaultMaxBodyBytes if there is none, but not more than the node's memory can hold.
func (h *Handler) bodyLimit(limit int64) int64 {
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
	}
	if most := h.Memory.LargestBody(); most > 0 && limit > most {
		return most
	}
	return limit
}

// readBody reads the body of a request into c.body. It holds memory for what has arrived. A
// refusal says that the request has not run.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, c *request, limit int64) *vane.Refusal {
	limit = h.bodyLimit(limit)
	if r.ContentLength > limit {
		return vane.Refuse(vane.ReasonBodyTooLarge, "the request body exceeds %d bytes; send a smaller one", limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	hold := h.Memory.OpenBody(r.Context(), c.holdPriority())
	c.held.body = hold
	rc := http.NewResponseController(w)
	// Servers without deadlines, as in tests, can't interrupt a read.
	_ = rc.SetReadDeadline(c.deadline)
	hold.OnEvict(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	body, err := hold.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err == nil {
		err = hold.Pin()
	}
	var ref *vane.Refusal
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		c.body = body
		return nil
	case errors.As(err, &ref):
		return ref
	case errors.Is(err, os.ErrDeadlineExceeded):
		return vane.Refuse(vane.ReasonQueueDeadline, "the request body did not arrive within the time limit").WithRetryAfter(busyRetryAfter)
	}
	if _, ok := err.(*http.MaxBytesError); ok {
		return vane.Refuse(vane.ReasonBodyTooLarge, "the request body exceeds %d bytes; send a smaller one", limit)
	}
	return vane.Refuse(vane.ReasonCallerGone, "the connection failed while the request body was read").WithCause(err)
}

// readHeld reads up to maxHeldBytes of a response, or less if the node has no memory left. The
// rest is then relayed as it arrives.
func (h *Handler) readHeld(c *request, r io.Reader) ([]byte, error) {
	c.held.response.Close()
	hold := h.Memory.Open(memory.Class{Kind: memory.KindResponse, Priority: c.holdPriority()})
	c.held.response = hold
	_ = hold.Pin() // the request has run, so it can't be refused; an open hold is not evicted yet
	size := readBufferBytes
	_ = hold.Grow(int64(size)) // as much is read in any case
	buf := make([]byte, 0, size)
	for {
		if len(buf) == maxHeldBytes {
			return buf, nil
		}
		if len(buf) == cap(buf) {
			size := min(2*cap(buf), maxHeldBytes)
			if hold.TryGrow(int64(size)) != nil {
				return buf, nil
			}
			old := cap(buf)
			buf = append(make([]byte, 0, size), buf...)
			hold.Shrink(int64(old))
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// eventMemory is the memory of the event that a stream's relay holds.
type eventMemory struct {
	hold *memory.Hold
	size int  // reserved bytes
	full bool // an event did not fit
}

// cause returns why an event can't be relayed: it does not fit, or is too long.
func (m *eventMemory) cause() error {
	if m.full {
		return errNoMemory
	}
	return errTooLong
}

// eventMemory returns the memory of the events of a response. Small ones are part of what a
// connection holds anyway.
func (h *Handler) eventMemory(c *request) *eventMemory {
	c.held.response.Close()
	c.held.response = h.Memory.Open(memory.Class{Kind: memory.KindResponse, Priority: c.holdPriority()})
	_ = c.held.response.Pin() // as in readHeld
	// A stream needs this much in any case. It is part of what a connection holds.
	_ = c.held.response.Grow(readBufferBytes)
	return &eventMemory{hold: c.held.response, size: readBufferBytes}
}

// append appends a line to the block of an event. It reserves memory before the block grows; if
// there is none, it sets full and appends nothing.
func (m *eventMemory) append(block, line []byte) []byte {
	if need := len(block) + len(line); need > cap(block) {
		size := max(need, 2*cap(block), readBufferBytes)
		if size > m.size {
			// Both blocks are held while one is copied.
			if m.hold.TryGrow(int64(size)) != nil {
				m.full = true
				return block
			}
			m.hold.Shrink(int64(m.size))
			m.size = size
		}
		block = append(make([]byte, 0, size), block...)
	}
	return append(block, line...)
}

// reuse returns the buffer for the next event. It gives up a large one.
func (m *eventMemory) reuse(block []byte) []byte {
	if m.size > readBufferBytes {
		m.hold.Shrink(int64(m.size - readBufferBytes))
		m.size = readBufferBytes
		return nil
	}
	return block[:0]
}
