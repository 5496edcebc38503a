package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/sched"
)

// Sizes of the read buffer and of the largest event that is relayed.
const (
	readBufferBytes = 8 << 10
	maxEventBytes   = 1 << 20
)

// relay writes one stream to the caller. If upstreams fail, it takes the events of
// several of them in turn.
type relay struct {
	w          http.ResponseWriter
	flush      func() error
	lastID     string // id of the last complete event, after which another upstream resumes; empty if no event had one
	eventCount int
	firstAt    time.Time     // time at which the first event was written
	lastAt     time.Time     // time at which the latest event was written
	maxGap     time.Duration // longest time between two consecutive events
}

// relayStream relays the complete events of a response. It returns nil at the end
// of the stream, or a refusal if the response is not signed by the upstream, ends
// early, or can't be written to the caller.
func (h *Handler) relayStream(ctx context.Context, w http.ResponseWriter, t *attempts, p sched.Pick, att *sched.Attempt, resp *conns.Response) *vane.Refusal {
	if t.relay == nil && !h.Dialect.ParseResponse(resp.Status, resp.Header).Signed {
		return vane.Refuse(vane.ReasonUpstreamWrongID, "the response of upstream %s lacks that upstream's signature", p.Upstream.Name).WithExecution(vane.MayHaveRun)
	}
	br := bufio.NewReaderSize(resp.Body, readBufferBytes)
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s sent an event of more than %d bytes", p.Upstream.Name, maxEventBytes).WithExecution(vane.MayHaveRun)
		}
		if n := h.Dialect.ParseEventWeights(line); n > 0 {
			h.WeightsChanged(p.Upstream.Name, n)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if err == nil {
			if t.relay == nil {
				t.relay = startRelay(w, resp)
			}
			h.Placer.FirstByte(time.Now(), att)
			h.recordAnswer(t)
			if err := t.relay.send(event, !eventBuffered(br)); err != nil {
				return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun).WithCause(err)
			}
			event = event[:0]
			continue
		}
		if err == io.EOF && resp.Complete() {
			if t.relay == nil {
				t.relay = startRelay(w, resp)
			}
			// If no bytes remain, all events have been written, and an error of the last
			// flush is ignored.
			if err := t.relay.send(event, true); len(event) > 0 && err != nil {
				return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun).WithCause(err)
			}
			h.recordServed(t, p, resp.Status)
			return nil
		}
		return h.responseTruncated(ctx, t, p, err)
	}
}

// eventBuffered reports whether br already holds another complete event.
func eventBuffered(br *bufio.Reader) bool {
	// Peek does not fail for bytes that are already buffered.
	b, _ := br.Peek(br.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// startRelay sends the status and the headers of the first upstream's response.
func startRelay(w http.ResponseWriter, resp *conns.Response) *relay {
	copyHeader(w.Header(), resp.Header)
	w.Header().Del("Content-Length")
	w.WriteHeader(resp.Status)
	rc := http.NewResponseController(w)
	return &relay{w: w, flush: rc.Flush}
}

// send writes a complete event to the caller. flush is false while another complete
// event is already buffered, so that both are flushed together.
func (r *relay) send(event []byte, flush bool) error {
	if id, ok := eventID(event); ok {
		r.lastID = id
	}
	now := time.Now()
	if r.eventCount++; r.eventCount == 1 {
		r.firstAt = now
	} else {
		r.maxGap = max(r.maxGap, now.Sub(r.lastAt))
	}
	r.lastAt = now
	if _, err := r.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return r.flush()
}

// eventID returns the value of an event's id field. It returns false if the event
// has none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
