package conns

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of connections.
const (
	dialTimeout   = 300 * time.Millisecond // connections within a region are set up in milliseconds
	userTimeout   = 3 * time.Second        // unacknowledged bytes close the connection after it
	keepMargin    = time.Second            // upstreams state their idle limit in whole seconds
	keepUnstated  = 4 * time.Second        // reuse of a connection whose upstream states no idle limit
	maxIdlePerKey = 16
	readBuffer    = 8 << 10 // bytes
	writeBuffer   = 8 << 10 // bytes
)

// key names the idle connections of one upstream. The name keeps connections of an
// address that changed hands apart.
type key struct{ addr, upstream string }

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[key][]*conn
	stats Stats
}

// Stats counts what the pool did.
type Stats struct {
	Dialled, Reused, Discarded uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle: make(map[key][]*conn),
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
			var serr error
			err := c.Control(func(fd uintptr) {
				serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err == nil {
				err = serr
			}
			return err
		}},
	}
}

// conn is one connection.
type conn struct {
	net.Conn
	key   key
	br    *bufio.Reader
	until time.Time // kept until then
	since time.Time // idle since then
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Close closes all idle connections.
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
	k := key{addr, upstream}
	for _, c := range p.idle[k] {
		_ = c.Close()
	}
	delete(p.idle, k)
}

// Probe opens and keeps a connection, to learn whether an upstream accepts any.
func (p *Pool) Probe(ctx context.Context, addr, upstream string) error {
	c, err := p.dial(ctx, key{addr, upstream})
	if err != nil {
		return err
	}
	p.put(c, keepUnstated)
	return nil
}

// get returns a connection. One that was idle for longer than maxIdle is not used.
func (p *Pool) get(ctx context.Context, k key, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(k)
		if c == nil {
			return p.dial(ctx, k)
		}
		now := time.Now()
		if now.Before(c.until) && now.Sub(c.since) <= maxIdle && c.quiet() {
			p.count(func(s *Stats) { s.Reused++ })
			return c, nil
		}
		p.count(func(s *Stats) { s.Discarded++ })
		_ = c.Close()
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, k key) (*conn, error) {
	p.count(func(s *Stats) { s.Dialled++ })
	nc, err := p.dialer.DialContext(ctx, "tcp", k.addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, key: k, br: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// pop takes the newest idle connection, since it is the least likely to have been
// closed by the upstream.
func (p *Pool) pop(k key) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[k]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[k] = cs[:len(cs)-1]
	return c
}

// put keeps a connection for later.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.since = time.Now()
	c.until = c.since.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[c.key]
	if keep <= 0 || len(cs) >= maxIdlePerKey {
		_ = c.Close()
		return
	}
	for len(cs) > 0 && c.since.After(cs[0].until) {
		_ = cs[0].Close()
		cs = cs[1:]
	}
	p.idle[c.key] = append(cs, c)
}

// count changes the counters.
func (p *Pool) count(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// quiet says whether nothing has arrived on an idle connection, neither bytes nor
// its end.
func (c *conn) quiet() bool {
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
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = rerr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepTime returns how long a connection may be kept after an answer.
func keepTime(h http.Header) time.Duration {
	for f := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(n)*time.Second - keepMargin
			}
		}
	}
	return keepUnstated
}
