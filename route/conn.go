package route

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// lastWriteTimeout limits a write that is in progress when the other side has closed the
// connection. Such writes fail at once as a rule.
const lastWriteTimeout = 300 * time.Millisecond

// upstreamConn is a connection that does not report an orderly end after a failed write.
// Linux reports a reset to only one call of a socket: if a write takes it, the read beside
// it sees an orderly end, which would make a response without framing look whole.
type upstreamConn struct {
	net.Conn

	mu  sync.Mutex // held during a write
	err error      // of the first write that failed
}

// dialUpstream returns a function that connects to upstreams.
func dialUpstream() func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &upstreamConn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *upstreamConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.err == nil {
		c.err = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *upstreamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if werr := c.writeError(); werr != nil {
			err = werr
		}
	}
	return n, err
}

// writeError returns the error of a failed write. It waits for a write in progress.
func (c *upstreamConn) writeError() error {
	_ = c.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
