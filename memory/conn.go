package memory

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of connections.
const (
	// maxHeaders is the greatest number of headers of a request; browsers send about 20.
	maxHeaders = 256
	// freeHeadBytes of each header are part of what a connection holds anyway.
	freeHeadBytes = 4 << 10
	headFactor    = 2 // a header is held as it arrived and parsed
	// A caller that takes nothing of a response for writeLimit is cut off. Bytes are written in
	// pieces, so that a slow link is not taken for that: it takes 1 KB a second.
	writeLimit = 30 * time.Second
	writePiece = 32 << 10
)

// conn is a connection of a Listener. It accounts for the headers of requests, which arrive before
// there is a handler, and cuts off callers that do not read.
type conn struct {
	*net.TCPConn
	l *Listener

	mu            sync.Mutex
	state         ConnState
	progress      time.Time
	head          *Hold // of the present header; nil while it is short
	body          *Hold // of the latest request's body; nil if it has none
	headBytes     int64
	lines         int       // of the present header
	blank         bool      // the present line has no bytes yet
	encrypted     bool      // the connection uses TLS
	headDone      bool      // the empty line after the header was read
	writeDeadline time.Time // set by the server; zero for none
	writing       bool
}

// info returns what VictimConn needs to know.
func (c *conn) info() ConnInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return ConnInfo{State: ConnWrite, Progress: c.progress}
	}
	if c.state == ConnBusy && c.body != nil {
		if at, ok := c.body.reading(); ok {
			return ConnInfo{State: ConnBody, Progress: at}
		}
	}
	return ConnInfo{State: c.state, Progress: c.progress}
}

// abort closes the connection, so that a partial response does not look whole.
func (c *conn) abort() {
	// Errors say that the connection has ended.
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// serving records that the header of a request has been read.
func (c *conn) serving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.headDone = ConnBusy, true
	// The header belongs to the request from here on. An evicted one is closed by its reader.
	_ = c.head.Pin()
}

// idle records that a request has ended. A deadline for writes that its handler set ends with it;
// the server does not take it back.
func (c *conn) idle() {
	c.mu.Lock()
	h := c.head
	c.state, c.progress, c.head, c.body, c.headBytes, c.lines, c.blank, c.headDone = ConnIdle, c.l.b.now(), nil, nil, 0, 0, false, false
	c.writeDeadline = time.Time{}
	c.mu.Unlock()
	h.Close()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		if status, rerr := c.arrived(p[:n]); rerr != nil {
			if !c.encrypted {
				answerAndDrain(c.TCPConn, refusalOf(status))
			}
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: rerr}
		}
	}
	return n, err
}

// errTooManyHeaders is the cause of a refused request.
var errTooManyHeaders = errors.New("too many headers")

// arrived accounts for bytes that arrived. It returns the status of a refusal and its cause if
// they belong to a header that can't be held.
func (c *conn) arrived(p []byte) (status int, err error) {
	c.mu.Lock()
	c.progress = c.l.b.now()
	if c.state == ConnBusy || c.headDone {
		c.mu.Unlock()
		return 0, nil
	}
	if c.state = ConnHead; c.headBytes == 0 {
		c.encrypted = p[0] == tlsHandshake || c.encrypted
	}
	c.headBytes += int64(len(p))
	if !c.encrypted {
		c.countLines(p)
	}
	lines, h, long := c.lines, c.head, c.headBytes > freeHeadBytes
	if h == nil && long {
		h = c.l.b.Open(Class{Kind: KindHead, Priority: Unidentified})
		h.OnEvict(func() { _ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) })
		c.head = h
	}
	c.mu.Unlock()
	if lines > maxHeaders+1 {
		return http.StatusRequestHeaderFieldsTooLarge, errTooManyHeaders
	}
	h.Arrived(len(p))
	if err := h.Grow(headFactor * int64(len(p))); err != nil {
		return http.StatusServiceUnavailable, err
	}
	return 0, nil
}

// tlsHandshake is the first byte of a TLS connection. It can't begin a request.
const tlsHandshake = 0x16

// countLines counts the lines of a header until the empty one that ends it. Over TLS, the bytes
// are no lines, and the limit holds once the header is parsed. The caller must hold mu.
func (c *conn) countLines(p []byte) {
	for _, b := range p {
		switch {
		case c.headDone:
			return
		case b == '\n':
			c.headDone = c.blank && c.lines > 0
			c.lines++
			c.blank = true
		case b != '\r':
			c.blank = false
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), writePiece)]
		c.mu.Lock()
		now := time.Now()
		d := now.Add(writeLimit)
		if !c.writeDeadline.IsZero() && c.writeDeadline.Before(d) {
			d = c.writeDeadline
		}
		c.writing, c.progress = true, c.l.b.now()
		c.mu.Unlock()
		err := c.TCPConn.SetWriteDeadline(d)
		if err == nil {
			var n int
			n, err = c.TCPConn.Write(piece)
			written += n
		}
		c.mu.Lock()
		c.writing = false
		own := c.writeDeadline.IsZero()
		c.mu.Unlock()
		if err != nil {
			if own && os.IsTimeout(err) {
				c.l.countClosed("response not read")
			}
			return written, err
		}
		p = p[len(piece):]
	}
	return written, nil
}

// ReadFrom implements io.ReaderFrom, which that of the TCP connection would bypass Write for.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.TCPConn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.remove(c)
	c.mu.Lock()
	h := c.head
	c.head = nil
	c.mu.Unlock()
	h.Close()
	return c.TCPConn.Close()
}
