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

// Sizes of events.
const (
	eventBuffer = 8 << 10 // bytes read at a time
	maxEvent    = 1 << 20 // bytes of one event
)

// relay is the caller's side of a stream, over all upstreams that feed it.
type relay struct {
	w      http.ResponseWriter
	flush  func() error
	lastID string // of the last whole event
	events int
	first  time.Time     // when the first event was sent on
	last   time.Time     // when the newest was
	pause  time.Duration // longest time between two events
}

// stream relays the events of an answer.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, t *run, p sched.Pick, ticket *sched.Attempt, ans *conns.Response) *vane.Refusal {
	if t.relay == nil && !h.Dialect.Answer(ans.Status, ans.Header).Signed {
		return vane.Refuse(vane.ReasonUpstreamCrossed, "the answer of upstream %s is not its own", p.Upstream.Name).WithExecution(vane.MayHaveRun)
	}
	br := bufio.NewReaderSize(ans.Body, eventBuffer)
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return vane.Refuse(vane.ReasonUpstreamFailed, "an event of upstream %s is too long", p.Upstream.Name).WithExecution(vane.MayHaveRun)
		}
		if n := h.Dialect.WeightsOf(line); n > 0 {
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
				t.relay = begin(w, ans)
			}
			h.Placer.FirstByte(time.Now(), ticket)
			if err := t.relay.send(event, !moreBuffered(br)); err != nil {
				return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun).WithCause(err)
			}
			event = event[:0]
			continue
		}
		if err == io.EOF && ans.Complete() {
			if t.relay == nil {
				t.relay = begin(w, ans)
			}
			if err := t.relay.send(event, true); len(event) > 0 && err != nil {
				return vane.Refuse(vane.ReasonCallerGone, "the caller left").WithExecution(vane.MayHaveRun).WithCause(err)
			}
			h.served(t, p, ans.Status)
			return nil
		}
		return h.broken(ctx, t, p, err)
	}
}

// moreBuffered says whether another whole event has already arrived.
func moreBuffered(br *bufio.Reader) bool {
	// Peeking at what is buffered does not fail.
	b, _ := br.Peek(br.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// begin sends the head of the first upstream's answer.
func begin(w http.ResponseWriter, ans *conns.Response) *relay {
	copyHeader(w.Header(), ans.Header)
	w.Header().Del("Content-Length")
	w.WriteHeader(ans.Status)
	rc := http.NewResponseController(w)
	return &relay{w: w, flush: rc.Flush}
}

// send passes a whole event on. Events that arrive together are flushed together.
func (r *relay) send(event []byte, flush bool) error {
	if id, ok := eventID(event); ok {
		r.lastID = id
	}
	now := time.Now()
	if r.events++; r.events == 1 {
		r.first = now
	} else {
		r.pause = max(r.pause, now.Sub(r.last))
	}
	r.last = now
	if _, err := r.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return r.flush()
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
