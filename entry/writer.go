package entry

import (
	"encoding/json"
	"net/http"
	"time"
)

// eventWriter writes server-sent events to a caller. Each event is flushed and must
// be written within the timeout. A slow caller therefore slows down the engine
// instead of filling the node's memory.
type eventWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	c       *request
	timeout time.Duration
	started bool
}

func newEventWriter(w http.ResponseWriter, c *request, timeout time.Duration) *eventWriter {
	return &eventWriter{w: w, rc: http.NewResponseController(w), c: c, timeout: timeout}
}

// WriteEvent implements stream.Writer.
func (e *eventWriter) WriteEvent(b []byte) error {
	if !e.started {
		e.writeHeader()
	}
	if err := e.rc.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(b); err != nil {
		return err
	}
	return e.rc.Flush()
}

// writeHeader sends the status and the headers. Later failures can only be sent as
// an error event.
func (e *eventWriter) writeHeader() {
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, e.c.requestID())
	e.w.WriteHeader(http.StatusOK)
	e.started = true
}

// writeError ends a stream that has begun with an error event instead of the final
// event.
func (e *eventWriter) writeError(b errorBody) {
	data, err := json.Marshal(b)
	if err != nil {
		return
	}
	out := append([]byte("event: error\ndata: "), data...)
	_ = e.WriteEvent(append(out, "\n\n"...))
}
