package conns

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxSkippedResponses is the number of interim responses and responses to other
// requests after which an exchange fails.
const maxSkippedResponses = 3

// Limits of what is read in each phase of an exchange. An exchange in which the
// upstream sends more fails. Request.MaxBytes limits the body.
const (
	maxHeadBytes        = 32 << 10              // status line and headers
	maxSkippedBodyBytes = 1 << 20               // body of a response to another request
	maxDiscardBytes     = 64 << 10              // body that Discard reads
	discardTimeout      = 50 * time.Millisecond // time that Discard takes at most
)

// Request is one request to an upstream.
type Request struct {
	Addr     string // host and port
	Upstream string // name of the upstream; a connection is not reused for another upstream that has taken over the address
	Method   string
	Target   string // request target, written to the upstream unchanged
	Host     string
	Header   http.Header // must not contain Host, Content-Length or Transfer-Encoding
	Body     []byte
	MaxIdle  time.Duration // a kept connection that was idle for longer is not used; if negative, none is used
	MaxBytes int64         // limit of the response's body with its framing; zero for none
	// Match reports whether a response belongs to this request. reused is set on a
	// connection that has carried another request, whose response may come late or twice.
	// If Match is nil, every response belongs to the request.
	Match func(status int, h http.Header, reused bool) bool
}

// Error is the error of a failed exchange.
type Error struct {
	Sent        bool // bytes of the request may have reached the upstream
	Dial        bool // no connection could be opened
	Malformed   bool // the upstream sent bytes that are no response, or more than the limits allow
	ContextDone bool // the context had ended: time limit reached or caller left
	Cause       error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange failed (sent: %t); choose another upstream if it was not sent: %v", e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is an upstream's response. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // of the body in bytes; negative if not stated
	// Framing is how the response states the end of its body.
	Framing Framing

	pool       *Pool
	conn       *conn
	resp       *http.Response
	write      *requestWrite
	stopCancel func() bool
	complete   bool
}

// WriteState says how far a request has been written.
type WriteState int

//go:generate stringer -type=WriteState -linecomment -output=write_string.go

// The states of a request's write.
const (
	WriteDone    WriteState = iota // done
	WriteBlocked                   // blocked
	WriteFailed                    // failed
)

// requestWrite is the state of writing a request. err may be read once done is
// closed.
type requestWrite struct {
	started atomic.Bool
	done    chan struct{}
	err     error
}

// Do sends the request and waits for the status and headers of its response. The
// connection is closed when ctx ends, also while the body is read. Errors are of
// type [*Error].
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.get(ctx, upstreamKey{r.Addr, r.Upstream}, r.MaxIdle)
	if err != nil {
		return nil, &Error{Dial: ctx.Err() == nil, ContextDone: ctx.Err() != nil, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	w := &requestWrite{done: make(chan struct{})}
	go w.run(c, r)
	resp, err := c.readHead(r)
	if err != nil {
		stop()
		_ = c.Close()
		<-w.done
		malformed := !c.in.ended || errors.Is(err, errNotResponse)
		return nil, &Error{Sent: w.started.Load(), Malformed: malformed && ctx.Err() == nil, ContextDone: ctx.Err() != nil, Cause: err}
	}
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: FramingOf(resp), pool: p, conn: c, resp: resp, write: w, stopCancel: stop}
	a.Body = readerFunc(a.read)
	return a, nil
}

// run writes the request to the connection.
func (w *requestWrite) run(c *conn, r Request) {
	defer close(w.done)
	var head bytes.Buffer
	head.Grow(writeBufferBytes)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&head)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	w.started.Store(true)
	bufs := net.Buffers{head.Bytes(), r.Body}
	n, err := bufs.WriteTo(c.Conn)
	if err != nil {
		w.err = err
		if n == 0 {
			w.started.Store(false)
		}
	}
}

// readHead reads the status and headers of the response to r. It skips interim
// responses and those that belong to other requests.
func (c *conn) readHead(r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxSkippedResponses {
		c.in.left = maxHeadBytes
		if b, _ := c.br.Peek(len(responsePrefix)); !strings.HasPrefix(responsePrefix, string(b)) {
			return nil, errNotResponse
		}
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Match == nil || r.Match(resp.StatusCode, resp.Header, c.reused) {
			c.in.left = noLimit
			if r.MaxBytes > 0 {
				c.in.left = r.MaxBytes
			}
			return resp, nil
		}
		if FramingOf(resp) == FramingClose {
			return nil, errors.New("response to another request without a length; its end is unknown")
		}
		c.in.left = maxSkippedBodyBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Wrap(err, "body of a response to another request")
		}
	}
	return nil, errors.New("too many interim responses or responses to other requests")
}

// responsePrefix begins every response.
const responsePrefix = "HTTP/"

// errNotResponse is the error of an exchange in which the upstream's first bytes do
// not begin a response.
var errNotResponse = errors.New("bytes that are no response")

// read reads from the body and records its end.
func (a *Response) read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if a.Framing == FramingClose && a.Written() == WriteFailed {
		// The connection's failure may have been reported to the write, and an orderly end
		// to the read.
		return n, errors.Wrap(io.ErrUnexpectedEOF, "the connection failed while the request was written")
	}
	a.complete = true
	return n, io.EOF
}

// Written returns how far the request has been written, and ends a write that is still
// blocked. A response may begin before its request was written.
func (a *Response) Written() WriteState {
	// The past deadline ends a write that is still blocked. It does not affect a write that
	// has succeeded, even if its goroutine has not returned yet.
	if a.conn.SetWriteDeadline(time.Unix(1, 0)) != nil {
		return WriteFailed
	}
	<-a.write.done
	switch {
	case a.write.err == nil:
		return WriteDone
	case errors.Is(a.write.err, os.ErrDeadlineExceeded):
		return WriteBlocked
	}
	return WriteFailed
}

// Complete reports whether the body was read to its end. A body without a stated end ends with
// its connection, which must not have failed, neither for its reader nor for the writer of the
// request. Whether such a body is whole can't be known from the connection alone.
func (a *Response) Complete() bool { return a.complete }

// Ended reports whether the connection ended or failed while the body was read. If a
// body is incomplete without that, the upstream sent malformed bytes, or the reader
// stopped early.
func (a *Response) Ended() bool { return a.conn.in.ended }

// Discard reads the rest of a body that is not needed, so that Close can keep the
// connection. It gives up if that takes long, and returns false if the upstream sends
// more than a response of this kind may hold.
func (a *Response) Discard() bool {
	if a.Framing == FramingClose || a.Length > maxDiscardBytes || a.conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return true
	}
	a.conn.in.left = maxDiscardBytes
	// The error says whether the body is complete, which read records.
	_, _ = io.Copy(io.Discard, a.Body)
	if a.complete && a.conn.SetReadDeadline(time.Time{}) != nil {
		a.complete = false
	}
	return a.complete || a.conn.in.ended
}

// Close ends the exchange. The connection is kept only if the response was read to
// its end and the connection can be reused; else it is closed.
func (a *Response) Close() {
	if a.stopCancel() && a.reusable() {
		a.conn.reused = true
		a.pool.put(a.conn, keepAlive(a.Header))
		return
	}
	_ = a.conn.Close()
}

// reusable reports whether another request may be sent over the connection: this one
// was written, its response was read to an explicit end, and no further bytes
// have arrived.
func (a *Response) reusable() bool {
	if a.Written() != WriteDone || a.conn.SetWriteDeadline(time.Time{}) != nil {
		return false
	}
	return a.complete && a.Framing != FramingClose && !a.resp.Close && a.conn.br.Buffered() == 0
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(b []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// DefaultMaxIdle is the MaxIdle for requests that must not run twice. Upstreams
// close idle connections after seconds, and a request sent over a connection that
// is being closed may or may not have run.
const DefaultMaxIdle = 2 * time.Second
