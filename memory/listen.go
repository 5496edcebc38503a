package memory

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

//go:generate stringer -type=ConnState -linecomment -output=connstate_string.go

// ConnState is what a connection is doing.
type ConnState int

// The states of connections.
const (
	ConnHead  ConnState = iota // head
	ConnIdle                   // idle
	ConnBody                   // body
	ConnBusy                   // busy
	ConnWrite                  // write
)

// connStall is the time for which a connection must have made no progress before it is closed in
// favour of a new one: in the middle of a request's header, or of writing a response. Idle
// connections are closed at once.
const (
	connStall  = time.Second
	writeStall = 5 * time.Second
)

// ConnInfo is what the choice of a connection to close knows of each.
type ConnInfo struct {
	State    ConnState
	Progress time.Time // when it last made progress, or entered the state
}

// VictimConn returns the index of the connection to be closed in favour of a new one, or -1 if none
// may be. Connections whose request has made no progress for a second come first, then the one that
// has been idle for the longest time, then those whose caller has not read for 5 s.
func VictimConn(conns []ConnInfo, now time.Time) int {
	rank := func(c ConnInfo) int {
		idle := now.Sub(c.Progress)
		switch {
		case (c.State == ConnHead || c.State == ConnBody) && idle >= connStall:
			return 0
		case c.State == ConnIdle:
			return 1
		case c.State == ConnWrite && idle >= writeStall:
			return 2
		}
		return -1
	}
	best := -1
	for i, c := range conns {
		if r := rank(c); r >= 0 && (best < 0 || cmp.Or(cmp.Compare(r, rank(conns[best])), c.Progress.Compare(conns[best].Progress)) < 0) {
			best = i
		}
	}
	return best
}

// Listener limits the connections of an HTTP server, and accounts for the headers of their
// requests in a budget. The server must use its Attach.
type Listener struct {
	net.Listener
	b        *Budget
	name     string
	limit    int
	mu       sync.Mutex
	conns    map[*conn]struct{}
	refusing chan struct{} // limits the connections that are being refused
}

// maxRefusing is the number of connections that are refused at a time; others are closed at once.
const maxRefusing = 16

// Listen returns a listener that accepts up to limit connections of ln at a time. name identifies
// it in metrics and log lines.
func (b *Budget) Listen(ln net.Listener, name string, limit int) *Listener {
	l := &Listener{Listener: ln, b: b, name: name, limit: limit, conns: make(map[*conn]struct{}), refusing: make(chan struct{}, maxRefusing)}
	if b.metrics != nil {
		b.metrics.limit.WithLabelValues(name).Set(float64(limit))
	}
	return l
}

// Accept implements net.Listener. A connection over the limit closes a less deserving one, or is
// answered with 503 and closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tc, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		c := &conn{TCPConn: tc, l: l, progress: l.b.now()}
		if l.add(c) {
			return c, nil
		}
		l.countClosed("refused")
		select {
		case l.refusing <- struct{}{}:
			go func() {
				defer func() { <-l.refusing }()
				answerAndDrain(tc, []byte(busyResponse))
				_ = tc.Close()
			}()
		default:
			_ = tc.Close()
		}
	}
}

// add adds a connection. If there are too many, it closes another one, or returns false if none
// may be closed.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		all := make([]*conn, 0, len(l.conns))
		infos := make([]ConnInfo, 0, len(l.conns))
		for o := range l.conns {
			all, infos = append(all, o), append(infos, o.info())
		}
		i := VictimConn(infos, l.b.now())
		if i < 0 {
			return false
		}
		// The connection's goroutine returns from its blocked call and closes it again.
		all[i].abort()
		delete(l.conns, all[i])
		l.countClosed(infos[i].State.String())
	}
	l.conns[c] = struct{}{}
	l.report()
	return true
}

// remove removes a closed connection.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.report()
}

// report sets the gauge of connections. The caller must hold mu.
func (l *Listener) report() {
	if l.b.metrics != nil {
		l.b.metrics.connections.WithLabelValues(l.name).Set(float64(len(l.conns)))
	}
}

// countClosed counts and logs a connection that the node closed.
func (l *Listener) countClosed(cause string) {
	if l.b.metrics != nil {
		l.b.metrics.closed.WithLabelValues(l.name, cause).Inc()
	}
	l.b.log.warn(l.b.now(), l.name+cause, "connection closed", "listener", l.name, "cause", cause, "limit", l.limit)
}

// busyResponse is the response to connections over the limit. None of their requests was read.
const busyResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseTime is the time for which a refused connection is kept, so that the caller can read the
// response before its own bytes reset the connection.
const refuseTime = 100 * time.Millisecond

// answerAndDrain sends a response without a request's handler, and reads what the caller still
// sends. The caller may have left, so errors don't matter.
func answerAndDrain(c *net.TCPConn, response []byte) {
	_ = c.SetDeadline(time.Now().Add(refuseTime))
	if _, err := c.Write(response); err == nil && c.CloseWrite() == nil {
		buf := make([]byte, 4<<10)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}
}

// Attach makes srv track the states of the listener's connections, and limits the number of
// headers of a request.
func Attach(srv *http.Server) {
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		if mc := connOf(c); mc != nil && s == http.StateIdle {
			mc.idle()
		}
	}
	inner := srv.ConnContext
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		if mc := connOf(c); mc != nil {
			ctx = context.WithValue(ctx, connKey{}, mc)
		}
		return ctx
	}
	h := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.serving()
		}
		if r.ContentLength != 0 {
			body := &watchedBody{ReadCloser: r.Body}
			r.Body = body
			defer func() {
				if !body.ended {
					// Writers without deadlines, as in tests, have no connection to be kept.
					_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime))
				}
			}()
		}
		if headerCount(r.Header) > maxHeaders {
			w.Header().Set("Connection", "close")
			http.Error(w, "the request has too many headers; send fewer", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// drainTime is the time for which the server reads the rest of a body that its handler has not read.
// Without it, a caller that does not end its body would keep a refused request for ever.
const drainTime = 500 * time.Millisecond

// watchedBody records whether a body was read to its end.
type watchedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// connOf returns the connection below c, or nil if it is none of a Listener.
func connOf(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	mc, _ := c.(*conn)
	return mc
}

// headerCount returns the number of values in h.
func headerCount(h http.Header) int {
	n := 0
	for _, v := range h {
		n += len(v)
	}
	return n
}

// refusalOf returns the bytes of a response that refuses a request that has no handler yet.
func refusalOf(status int) []byte {
	text := http.StatusText(status)
	out := "HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		out += "Retry-After: 1\r\n"
	}
	return []byte(out + "\r\n")
}
