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
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/sched"
)

// Sizes of the read buffer and of the largest event that is relayed, with the comments
// and empty lines before it.
const (
	readBufferBytes = 8 << 10
	maxEventBytes   = 256 << 10
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
// early, or can't be written to the caller. A response that ends inside an event ends
// early, also if its body is as long as announced. If it states no end, the caller's
// response states none either.
func (h *Handler) relayStream(ctx context.Context, w http.ResponseWriter, r *http.Request, t *attempts, p sched.Pick, att *sched.Attempt, resp *conns.Response) *vane.Refusal {
	if t.relay == nil && !h.Dialect.ParseResponse(resp.Status, resp.Header).Signed {
		return vane.Refuse(vane.ReasonUpstreamWrongID, "the response of upstream %s lacks that upstream's signature", p.Upstream.Name).WithExecution(vane.MayHaveRun)
	}
	br := bufio.NewReaderSize(resp.Body, readBufferBytes)
	var block []byte  // lines that have not been relayed
	size := 0         // bytes since the last event
	lineStart := true // the next bytes begin a line
	inEvent := false  // block has a line that is neither empty nor a comment
	for {
		line, err := br.ReadSlice('\n')
		block = append(block, line...)
		if size += len(line); size > maxEventBytes {
			return h.responseBroken(ctx, t, p, resp, errTooLong)
		}
		if n := h.Dialect.ParseEventWeights(line); n > 0 {
			h.WeightsChanged(p.Upstream.Name, n)
		}
		blank := lineStart && len(bytes.TrimRight(line, "\r\n")) == 0
		inEvent = inEvent || lineStart && !blank && line[0] != ':'
		switch {
		case err == bufio.ErrBufferFull:
			lineStart = false
			continue
		case err == nil:
			lineStart = true
			if !blank || t.relay == nil && !inEvent {
				continue // comments before the first event are relayed together with it
			}
		case err != io.EOF || !resp.Complete() || inEvent || len(line) > 0 || !h.mayEnd(t, p, resp):
			return h.responseBroken(ctx, t, p, resp, err)
		}
		if t.relay == nil {
			h.beginResponse(w, r, t, resp)
			t.relay = startRelay(w, resp.Status)
		}
		if inEvent {
			h.Placer.FirstByte(clock.BootTime(), att)
			t.result.event(time.Now())
			t.relay.count(block)
			h.recordAnswer(t)
		}
		if err := t.relay.send(block, !eventBuffered(br)); len(block) > 0 && err != nil {
			return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun).WithCause(err)
		}
		if err == io.EOF {
			h.endResponse(w, r, t)
			t.result.complete(time.Now(), resp.Status)
			h.recordServed(t, p, resp)
			return nil
		}
		if block = block[:0]; inEvent {
			size, inEvent = 0, false
		}
	}
}

// mayEnd reports whether the caller's response may end with the stream of an upstream that
// has ended after complete events. A stream that states no end must have had events, and
// must not be known to be incomplete, nor end a response that states its end.
func (h *Handler) mayEnd(t *attempts, p sched.Pick, resp *conns.Response) bool {
	return resp.Framing != conns.FramingClose || t.unstated && !h.crashed(p.Upstream)
}

// eventBuffered reports whether br already holds another complete event.
func eventBuffered(br *bufio.Reader) bool {
	// Peek does not fail for bytes that are already buffered.
	b, _ := br.Peek(br.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// startRelay sends the status and the headers of the first upstream's response.
func startRelay(w http.ResponseWriter, status int) *relay {
	w.Header().Del("Content-Length")
	w.WriteHeader(status)
	rc := http.NewResponseController(w)
	return &relay{w: w, flush: rc.Flush}
}

// count records a complete event that is about to be sent.
func (r *relay) count(event []byte) {
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
}

// send writes complete lines to the caller. flush is false while another complete
// event is already buffered, so that both are flushed together.
func (r *relay) send(lines []byte, flush bool) error {
	if _, err := r.w.Write(lines); err != nil {
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
