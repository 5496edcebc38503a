package entry

import (
	"encoding/json"
	"net/http"
	"time"
)

// eventWriter writes server-sent events to a caller. Each event is flushed and
// must be taken within the timeout, so that a slow reader holds back the engine
// and not the node's memory.
type eventWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	c       *call
	timeout time.Duration
	begun   bool
}

func newEventWriter(w http.ResponseWriter, c *call, timeout time.Duration) *eventWriter {
	return &eventWriter{w: w, rc: http.NewResponseController(w), c: c, timeout: timeout}
}

// WriteEvent implements stream.Writer.
func (e *eventWriter) WriteEvent(b []byte) error {
	if !e.begun {
		e.begin()
	}
	if err := e.rc.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(b); err != nil {
		return err
	}
	return e.rc.Flush()
}

// begin sends the header. From here on a failure is an error event.
func (e *eventWriter) begin() {
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, e.c.requestID())
	e.w.WriteHeader(http.StatusOK)
	e.begun = true
}

// fail ends a begun stream with an error event in place of the final one.
func (e *eventWriter) fail(b errorBody) {
	data, err := json.Marshal(b)
	if err != nil {
		return
	}
	out := append([]byte("event: error\ndata: "), data...)
	_ = e.WriteEvent(append(out, "\n\n"...))
}
