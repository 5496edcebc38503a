package conns

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections.
const (
	dialTimeout        = 300 * time.Millisecond // connections within a region take milliseconds to open
	tcpUserTimeout     = 3 * time.Second        // a connection is closed if sent bytes are not acknowledged within this time
	keepAliveMargin    = time.Second            // subtracted from an upstream's idle limit, which is in whole seconds
	defaultKeepAlive   = 4 * time.Second        // idle limit for upstreams that state none
	maxIdlePerUpstream = 16
	readBufferBytes    = 8 << 10
	writeBufferBytes   = 8 << 10
)

// upstreamKey identifies the idle connections of one upstream. The upstream's name
// is part of it, so that connections are not reused after their address has passed
// to another upstream.
type upstreamKey struct{ addr, upstream string }

// Pool opens connections to upstreams and keeps idle ones for reuse. It is safe for
// concurrent use.
type Pool struct {
	dialer net.Dialer

	maxIdle int // idle connections to all upstreams; zero for no limit

	mu    sync.Mutex
	idle  map[upstreamKey][]*conn
	stats Stats
}

// Stats counts the connections that the pool dialled, also without success, those
// that it reused, and those that it kept but then discarded because they had been
// idle for too long, or because the upstream had closed them or sent unexpected
// bytes.
type Stats struct {
	Dialled, Reused, Discarded uint64
}

// PoolOption configures NewPool.
type PoolOption func(*Pool)

// WithMaxIdle limits the idle connections to all upstreams together, so that they leave
// descriptors for others. By default, only those to each upstream are limited.
func WithMaxIdle(n int) PoolOption { return func(p *Pool) { p.maxIdle = n } }

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	p := &Pool{
		idle: make(map[upstreamKey][]*conn),
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
			var serr error
			err := c.Control(func(fd uintptr) {
				serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			if err == nil {
				err = serr
			}
			return err
		}},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// conn is one connection.
type conn struct {
	net.Conn
	key       upstreamKey
	in        *limitedReader
	br        *bufio.Reader // reads from in
	reused    bool          // the connection has carried an earlier request
	keepUntil time.Time     // end of the upstream's idle limit
	idleSince time.Time
	expiry    *time.Timer // closes the connection at keepUntil if it is still idle
}

// Stats returns the pool's counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Close closes all idle connections. Exchanges in progress are not affected.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, cs := range p.idle {
		for _, c := range cs {
			_ = c.Close()
		}
		delete(p.idle, k)
	}
}

// CloseIdle closes the idle connections of an upstream.
func (p *Pool) CloseIdle(addr, upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := upstreamKey{addr, upstream}
	for _, c := range p.idle[k] {
		_ = c.Close()
	}
	delete(p.idle, k)
}

// Probe checks that an upstream accepts connections: it opens one and keeps it for
// reuse.
func (p *Pool) Probe(ctx context.Context, addr, upstream string) error {
	c, err := p.dial(ctx, upstreamKey{addr, upstream})
	if err != nil {
		return err
	}
	p.put(c, defaultKeepAlive)
	return nil
}

// get returns a kept connection that is still usable and was idle for at most
// maxIdle, or opens a new one. A negative maxIdle always opens a new one.
func (p *Pool) get(ctx context.Context, k upstreamKey, maxIdle time.Duration) (*conn, error) {
	for {
		var c *conn
		if maxIdle >= 0 {
			c = p.pop(k)
		}
		if c == nil {
			return p.dial(ctx, k)
		}
		now := time.Now()
		if now.Before(c.keepUntil) && now.Sub(c.idleSince) <= maxIdle && c.idle() {
			p.updateStats(func(s *Stats) { s.Reused++ })
			return c, nil
		}
		p.updateStats(func(s *Stats) { s.Discarded++ })
		_ = c.Close()
	}
}

// dial opens a connection to the upstream.
func (p *Pool) dial(ctx context.Context, k upstreamKey) (*conn, error) {
	p.updateStats(func(s *Stats) { s.Dialled++ })
	nc, err := p.dialer.DialContext(ctx, "tcp", k.addr)
	if err != nil {
		return nil, err
	}
	in := &limitedReader{r: nc, left: noLimit}
	return &conn{Conn: nc, key: k, in: in, br: bufio.NewReaderSize(in, readBufferBytes)}, nil
}

// pop removes and returns the idle connection that was kept last, since the upstream
// is the least likely to have closed it. It returns nil if there is none.
func (p *Pool) pop(k upstreamKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[k]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[k] = cs[:len(cs)-1]
	c.expiry.Stop()
	return c
}

// expire closes a connection that has been idle until the end of its time. It does
// nothing if the connection has been taken meanwhile.
func (p *Pool) expire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[c.key]
	i := slices.Index(cs, c)
	if i < 0 {
		return
	}
	p.stats.Discarded++
	_ = c.Close()
	if cs = slices.Delete(cs, i, i+1); len(cs) == 0 {
		delete(p.idle, c.key)
		return
	}
	p.idle[c.key] = cs
}

// put keeps an idle connection for reuse within the given time. It closes the
// connection if that time is not positive or enough connections are kept.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleSince = time.Now()
	c.keepUntil = c.idleSince.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[c.key]
	if keep <= 0 || len(cs) >= maxIdlePerUpstream || p.maxIdle > 0 && p.idleCount() >= p.maxIdle {
		_ = c.Close()
		return
	}
	c.expiry = time.AfterFunc(keep, func() { p.expire(c) })
	p.idle[c.key] = append(cs, c)
}

// idleCount returns the number of idle connections. The caller must hold mu.
func (p *Pool) idleCount() int {
	n := 0
	for _, cs := range p.idle {
		n += len(cs)
	}
	return n
}

// updateStats calls f on the counters, under the lock.
func (p *Pool) updateStats(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// idle reports whether the connection is open and no bytes have arrived on it.
func (c *conn) idle() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = rerr == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// keepAlive returns how long a connection may be kept idle after a response with
// the given headers.
func keepAlive(h http.Header) time.Duration {
	for f := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(n)*time.Second - keepAliveMargin
			}
		}
	}
	return defaultKeepAlive
}
