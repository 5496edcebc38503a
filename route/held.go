package route

import (
	"io"
	"slices"
	"sync/atomic"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/memory"
)

// Limits of responses that are read whole before they are relayed.
const (
	maxHeldBytes  = 128 << 20 // of all such responses that are being read at a time
	minChunkBytes = 16 << 10
	maxChunkBytes = 1 << 20
)

// heldBytes counts the bytes of responses that are being read. It is safe for concurrent use.
type heldBytes struct{ n atomic.Int64 }

// readAll reads a body to its end. It returns a refusal if the body has more than limit
// bytes, or if responses that are being read hold too much memory together, so that upstreams
// that send without end do not exhaust it. Other errors are those of body.
func (h *heldBytes) readAll(body io.Reader, limit int) ([]byte, error) {
	return h.read(nil, body, limit)
}

// read is like readAll, and reserves the bytes in a hold. Those of the returned body stay reserved.
func (h *heldBytes) read(hold *memory.Hold, body io.Reader, limit int) (_ []byte, err error) {
	var chunks [][]byte // joined only once the body has ended
	size, counted := 0, 0
	defer func() {
		h.n.Add(-int64(counted))
		hold.Shrink(int64(counted))
		if err != nil {
			hold.Shrink(hold.Bytes())
		}
	}()
	for {
		last := len(chunks) - 1
		if last < 0 || len(chunks[last]) == cap(chunks[last]) {
			step := min(max(minChunkBytes, size), maxChunkBytes)
			counted += step
			if h.n.Add(int64(step)) > maxHeldBytes || hold.TryGrow(int64(step)) != nil {
				return nil, errTooMany()
			}
			chunks = append(chunks, make([]byte, 0, step))
			last++
		}
		c := chunks[last]
		n, err := body.Read(c[len(c):cap(c)])
		chunks[last] = c[:len(c)+n]
		size += n
		switch {
		case size > limit:
			return nil, vane.Refuse(vane.ReasonUpstreamFailed, "the response is larger than %d bytes", limit).WithExecution(vane.MayHaveRun)
		case err == io.EOF:
			if hold.TryGrow(int64(size)) != nil {
				return nil, errTooMany()
			}
			return slices.Concat(chunks...), nil
		case err != nil:
			return nil, err
		}
	}
}

// errTooMany returns the refusal of a response for which no memory is left.
func errTooMany() *vane.Refusal {
	return vane.Refuse(vane.ReasonUpstreamFailed, "too many long responses at a time; repeat the request later").WithExecution(vane.MayHaveRun)
}
