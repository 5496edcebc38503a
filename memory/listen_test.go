package memory

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveTest starts a server with a listener of up to limit connections, and returns it with its
// address.
func serveTest(t *testing.T, b *Budget, limit int, h http.HandlerFunc) (*Listener, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	srv := &http.Server{Handler: h}
	Attach(srv)
	l := b.Listen(ln, "test", limit)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l, ln.Addr().String()
}

// hasIdle reports whether a connection is idle.
func (l *Listener) hasIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.info().State == ConnIdle {
			return true
		}
	}
	return false
}

// exchange writes text to a connection and returns the status of the response, or 0 if there is
// none.
func exchange(t *testing.T, c net.Conn, text string) int {
	t.Helper()
	err := c.SetDeadline(time.Now().Add(30 * time.Second))
	if err == nil {
		_, err = io.WriteString(c, text)
	}
	if err != nil {
		t.Error(err)
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
	return resp.StatusCode
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestListener guards against idle connections that keep others out, and against closing one whose
// request is being served.
func TestListener(t *testing.T) {
	is := is.New(t)
	held, release := make(chan struct{}, 2), make(chan struct{})
	l, addr := serveTest(t, New(1<<20), 2, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			held <- struct{}{}
			<-release
		}
	})
	idle := dial(t, addr)
	is.Equal(exchange(t, idle, plainRequest), 200)
	for !l.hasIdle() { // the server notes it after the response
		time.Sleep(time.Millisecond)
	}
	busy := make(chan int, 2)
	for range 2 {
		c := dial(t, addr)
		go func() { busy <- exchange(t, c, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n") }()
	}
	<-held
	<-held // the second one has replaced the idle connection
	_, err := idle.Read(make([]byte, 1))
	is.True(err != nil)
	is.Equal(exchange(t, dial(t, addr), plainRequest), 503) // all are busy
	close(release)
	is.Equal(<-busy, 200)
	is.Equal(<-busy, 200)
}

// TestHeaders guards against headers that need many times their size once they are parsed, and
// against long ones that the budget can't hold.
func TestHeaders(t *testing.T) {
	b := New(16 << 10)
	_, addr := serveTest(t, b, 16, func(http.ResponseWriter, *http.Request) {})
	for _, tt := range []struct {
		name, headers string
		want          int
	}{
		{"ordinary", strings.Repeat("A: b\r\n", 50), 200},
		{"long", "A: " + strings.Repeat("b", 5<<10) + "\r\n", 200},
		{"too many", strings.Repeat("A: b\r\n", maxHeaders+10), 431},
		{"no memory", "A: " + strings.Repeat("b", 20<<10) + "\r\n", 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(exchange(t, dial(t, addr), "GET / HTTP/1.1\r\nHost: a\r\n"+tt.headers+"\r\n"), tt.want)
		})
	}
}

// TestEncryptedHeader guards against taking the bytes of a long header over TLS for many lines.
func TestEncryptedHeader(t *testing.T) {
	is := is.New(t)
	b := New(1 << 20)
	c := &conn{l: b.Listen(nil, "test", 1)}
	data := append([]byte{tlsHandshake}, strings.Repeat("\n", 60<<10)...)
	_, err := c.arrived(data)
	is.NoErr(err)
	is.True(c.head.Bytes() >= 60<<10)
	c.idle()
}

// TestHeaderPriority guards against headers of unknown callers that evict bodies of known ones.
func TestHeaderPriority(t *testing.T) {
	is := is.New(t)
	b := New(100 << 10)
	body := b.Open(Class{Kind: KindBody, Priority: 5})
	is.NoErr(body.Grow(90 << 10))
	c := &conn{l: b.Listen(nil, "test", 1), TCPConn: &net.TCPConn{}}
	_, err := c.arrived([]byte(strings.Repeat("a", 20<<10)))
	is.True(err != nil)
	is.Equal(body.Refusal(), nil)
}

// TestUnreadBody guards against a refused request that the server keeps for ever since its caller
// does not end the body.
func TestUnreadBody(t *testing.T) {
	is := is.New(t)
	_, addr := serveTest(t, New(1<<20), 16, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(401) })
	c := dial(t, addr)
	is.Equal(exchange(t, c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbody"), 401)
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestEvictedBody checks that a stalled body loses its place to others, and that its caller is
// told so.
func TestEvictedBody(t *testing.T) {
	is := is.New(t)
	b := New(80 << 10)
	reading := make(chan struct{}, 1)
	_, addr := serveTest(t, b, 1000, func(w http.ResponseWriter, r *http.Request) {
		h := b.OpenBody(r.Context(), 0)
		defer h.Close()
		h.OnEvict(func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) })
		if r.URL.Path == "/stall" {
			reading <- struct{}{}
		}
		if _, err := h.ReadAll(r.Body, r.ContentLength, 40<<10); err != nil {
			w.WriteHeader(503)
		}
	})
	stalled := make(chan int, 1)
	c := dial(t, addr)
	go func() {
		stalled <- exchange(t, c, fmt.Sprintf("POST /stall HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 40<<10, strings.Repeat(".", 39<<10)))
	}()
	<-reading
	body := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 30<<10, strings.Repeat(".", 30<<10))
	for end := time.Now().Add(30 * time.Second); exchange(t, dial(t, addr), body) != 200; time.Sleep(50 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.Equal(<-stalled, 503)
}
