package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

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
	w           http.ResponseWriter
	flush       func() error
	status      int    // of the first upstream's response
	contentType string // of the first upstream's response
	lastID      string // id of the last complete event, after which another upstream resumes; empty if it had none
	eventCount  int
	firstAt     time.Time     // time at which the first event was written
	lastAt      time.Time     // time at which the latest event was written
	maxGap      time.Duration // longest time between two consecutive events
}

// relayStream relays the complete events of a response. It returns nil at the end
// of the stream, or a refusal if the response is not signed by the upstream, does not
// go on where it was asked to, ends early, or can't be written to the caller. A response that
// ends inside an event ends early, also if its body is as long as announced. If it states no
// end, the caller's response states none either.
func (h *Handler) relayStream(ctx context.Context, w http.ResponseWriter, r *http.Request, t *attempts, p sched.Pick, att *sched.Attempt, resp *conns.Response) *vane.Refusal {
	if !h.Dialect.ParseResponse(resp.Status, resp.Header).Signed {
		return vane.Refuse(vane.ReasonUpstreamWrongID, "the response of upstream %s lacks that upstream's signature", p.Upstream.Name).WithExecution(vane.MayHaveRun)
	}
	if t.relay != nil && !t.relay.goesOnWith(resp) {
		return notResumed(p, resp)
	}
	br := bufio.NewReaderSize(resp.Body, readBufferBytes)
	var block []byte                          // lines that have not been relayed
	room, size := h.eventMemory(t.request), 0 // memory of block, and bytes since the last event
	lineStart := true                         // the next bytes begin a line
	inEvent := false                          // block has a line that is neither empty nor a comment
	heard := false                            // this response has had an event
	resumed := t.resumedAfter != ""
	for {
		line, err := br.ReadSlice('\n')
		block = room.append(block, line)
		if size += len(line); size > maxEventBytes || room.full {
			return h.responseBroken(ctx, t, p, resp, room.cause())
		}
		if n := h.Dialect.ParseEventWeights(line); n > 0 {
			h.WeightsChanged(p.Upstream.Name, n)
		}
		blank := lineStart && len(bytes.TrimRight(line, "\r\n")) == 0
		if lineStart && !blank && !isField(line) {
			return h.responseBroken(ctx, t, p, resp, errNotEvent)
		}
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
		case err != io.EOF || !resp.Complete() || inEvent || len(line) > 0:
			return h.responseBroken(ctx, t, p, resp, err)
		default:
			if cerr := h.checkStreamEnd(ctx, t, p, resp); cerr != nil {
				return h.responseBroken(ctx, t, p, resp, cerr)
			}
		}
		if inEvent && resumed {
			if resumed = false; !follows(block, t.resumedAfter) {
				return h.responseBroken(ctx, t, p, resp, errNotEvent)
			}
		}
		if t.relay == nil {
			h.beginResponse(w, r, t, resp)
			t.relay = startRelay(w, resp)
		}
		if inEvent {
			h.firstByte(t, att)
			t.result.event(time.Now())
			t.relay.count(block)
			h.Placer.Event(clock.BootTime(), att, t.relay.canResume())
			heard = true
			h.recordEvent(t)
		} else if heard {
			h.Placer.Event(clock.BootTime(), att, t.relay.canResume())
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
		if block = room.reuse(block); inEvent {
			size, inEvent = 0, false
		}
	}
}

// checkStreamEnd returns an error unless the caller's response may end with the stream of an
// upstream that has ended after complete events. A stream that states no end must have had
// events, and must not end a response that states its end.
func (h *Handler) checkStreamEnd(ctx context.Context, t *attempts, p sched.Pick, resp *conns.Response) error {
	if resp.Framing == conns.FramingClose && !t.unstated {
		return errUnstated
	}
	return h.checkEnd(ctx, t, p, resp)
}

// eventBuffered reports whether br already holds another complete event.
func eventBuffered(br *bufio.Reader) bool {
	// Peek does not fail for bytes that are already buffered.
	b, _ := br.Peek(br.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// startRelay sends the status and the headers of the first upstream's response.
func startRelay(w http.ResponseWriter, resp *conns.Response) *relay {
	w.Header().Del("Content-Length")
	w.WriteHeader(resp.Status)
	rc := http.NewResponseController(w)
	return &relay{w: w, flush: rc.Flush, status: resp.Status, contentType: resp.Header.Get("Content-Type")}
}

// goesOnWith reports whether a response can hold the rest of the stream. One of another
// status or type is an error, or another answer to the request.
func (r *relay) goesOnWith(resp *conns.Response) bool {
	return resp.Status == r.status && resp.Header.Get("Content-Type") == r.contentType
}

// canResume reports whether another upstream can be asked for what follows the last event.
func (r *relay) canResume() bool { return r.eventCount == 0 || r.lastID != "" }

// notResumed returns the refusal for a response that is not the rest of a begun stream.
func notResumed(p sched.Pick, resp *conns.Response) *vane.Refusal {
	return vane.Refuse(vane.ReasonUpstreamFailed, "upstream %s did not resume the stream (status %d)", p.Upstream.Name, resp.Status).WithExecution(vane.MayHaveRun)
}

// errNotEvent is the cause if the upstream sends something else among the events of a
// stream, such as the head of another response, or events that it was not asked for.
var errNotEvent = errors.New("a line that is no field of an event, or an event out of order")

// isField reports whether a line that is not empty can be a comment or a field of an event:
// a name, and a value after a colon.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	return !bytes.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c == '/' || c == 0x7f })
}

// follows reports whether an event comes after the one with the id last. Ids that are not
// numbers are not compared.
func follows(event []byte, last string) bool {
	id, ok := eventID(event)
	if !ok {
		return true
	}
	n, err := strconv.ParseUint(id, 10, 64)
	l, lerr := strconv.ParseUint(last, 10, 64)
	return err != nil || lerr != nil || n > l
}

// count records a complete event that is about to be sent.
func (r *relay) count(event []byte) {
	r.lastID, _ = eventID(event)
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
