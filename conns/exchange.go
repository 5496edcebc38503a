package conns

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxSkipped is the number of answers to other requests that are skipped before
// the connection is given up.
const maxSkipped = 3

// maxSkippedBody bounds the body of a skipped answer, in bytes.
const maxSkippedBody = 1 << 20

// Request is one request to an upstream.
type Request struct {
	Addr     string
	Upstream string // name of the upstream, so that addresses may change hands
	Method   string
	Target   string // request target as it was received
	Host     string
	Header   http.Header // without framing headers
	Body     []byte
	MaxIdle  time.Duration // longest idle time of a kept connection that may be used
	// Match says whether an answer belongs to this request.
	Match func(status int, h http.Header) bool
}

// Error is a failed exchange.
type Error struct {
	Sent        bool // bytes of the request can have reached the upstream
	Dial        bool // no connection could be made
	Reset       bool // the connection ended without an answer
	ContextDone bool // the time limit was reached or the caller left
	Cause       error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange failed (sent: %t); choose another upstream if it was not sent: %v", e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is an upstream's answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // of the body; negative if not stated

	pool  *Pool
	conn  *conn
	resp  *http.Response
	wrote *writing
	stop  func() bool
	whole bool
}

// writing is the state of a request's transmission.
type writing struct {
	begun atomic.Bool
	done  chan struct{}
	err   error
}

// Do sends the request and waits for the head of its answer. The context ends the
// whole exchange, the body included.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.get(ctx, key{r.Addr, r.Upstream}, r.MaxIdle)
	if err != nil {
		return nil, &Error{Dial: ctx.Err() == nil, ContextDone: ctx.Err() != nil, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	w := &writing{done: make(chan struct{})}
	go w.run(c, r)
	resp, err := c.answer(r)
	if err != nil {
		stop()
		_ = c.Close()
		<-w.done
		return nil, &Error{Sent: w.begun.Load(), Reset: !isTimeout(err), ContextDone: ctx.Err() != nil, Cause: err}
	}
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, pool: p, conn: c, resp: resp, wrote: w, stop: stop}
	a.Body = readerFunc(a.read)
	return a, nil
}

// run writes the request.
func (w *writing) run(c *conn, r Request) {
	defer close(w.done)
	var head bytes.Buffer
	head.Grow(writeBuffer)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&head)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	w.begun.Store(true)
	bufs := net.Buffers{head.Bytes(), r.Body}
	n, err := bufs.WriteTo(c.Conn)
	if err != nil {
		w.err = err
		if n == 0 {
			w.begun.Store(false)
		}
	}
}

// answer reads the head of the answer to r. Answers that belong to other requests
// are skipped.
func (c *conn) answer(r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxSkipped {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Match == nil || r.Match(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.New("an answer to another request has no end")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBody); err != io.EOF {
			return nil, errors.New("an answer to another request is too long")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// read reads the body and notes its end.
func (a *Response) read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Complete says whether the body was read to its end.
func (a *Response) Complete() bool { return a.whole }

// Close ends the exchange. The connection is kept only if the whole answer was
// read and nothing speaks against its next use.
func (a *Response) Close() {
	if a.stop() && a.keepable() {
		a.pool.put(a.conn, keepTime(a.Header))
		return
	}
	_ = a.conn.Close()
}

// keepable says whether the connection is in a known state.
func (a *Response) keepable() bool {
	// An upstream may answer before it has read the request: the deadline ends a write
	// that still waits. One that is through is not affected, also if its task has not
	// run on yet.
	if a.conn.SetWriteDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	<-a.wrote.done
	if a.conn.SetWriteDeadline(time.Time{}) != nil {
		return false
	}
	framed := a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
	return a.wrote.err == nil && a.whole && framed && !a.resp.Close && a.conn.br.Buffered() == 0
}

// isTimeout says whether a deadline ended the read.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readerFunc is a function that reads.
type readerFunc func(b []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// DefaultMaxIdle is the longest idle time after which a connection may carry a
// request that must not run twice: upstreams close idle connections after seconds.
const DefaultMaxIdle = 2 * time.Second
