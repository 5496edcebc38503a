package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/conns"
)

// serveScript starts a listener that serves each connection with f, and returns its
// address. f gets the number of the connection, counted from 0.
func serveScript(t *testing.T, f func(n int, c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f(n, c, bufio.NewReader(c))
		}
	}()
	return ln.Addr().String()
}

// readRequest reads one request and returns the value of its Id header and its body.
func readRequest(br *bufio.Reader) (id, body string, err error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", "", err
	}
	b, err := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(b), err
}

// response returns a complete response with an Id header.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// exchange sends a request and returns the body of the response.
func exchange(p *conns.Pool, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, conns.Request{
		Addr: addr, Upstream: "u", Method: "POST", Target: "/a%2Fb/../c?q", Host: "h", Header: http.Header{"Id": {id}},
		Body: []byte("body " + id), MaxIdle: time.Minute,
		Match: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil && !a.Complete() {
		err = errors.New("response body was not read to its end")
	}
	return string(b), err
}

// A second response to one request must not be taken for the response to the next.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	addr := serveScript(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, _, err := readRequest(br)
			if err != nil {
				return
			}
			if id == "2" { // the surplus response precedes the response to request 2
				_, _ = io.WriteString(c, response("1", "again"))
			}
			_, _ = io.WriteString(c, response(id, "own "+id))
		}
	})
	p := conns.NewPool()
	defer p.Close()
	for _, id := range []string{"1", "2", "3"} {
		got, err := exchange(p, addr, id)
		is.NoErr(err)
		is.Equal(got, "own "+id)
	}
	is.Equal(p.Stats().Dialled, uint64(1))
}

// A connection with bytes after a complete response must not be reused.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	addr := serveScript(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, _, err := readRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(id, "own")+"HTTP/1.1 200 OK\r\n")
		}
	})
	p := conns.NewPool()
	defer p.Close()
	for i := range 3 {
		got, err := exchange(p, addr, fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(got, "own")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(p.Stats().Dialled, uint64(3))
}

// The request target is not normalised or re-encoded.
func TestTargetAndBodyAreForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	lines := make(chan string, 1)
	addr := serveScript(t, func(n int, c net.Conn, br *bufio.Reader) {
		line, _ := br.ReadString('\n')
		lines <- line
		_, _ = io.WriteString(c, response("1", ""))
	})
	p := conns.NewPool()
	defer p.Close()
	_, err := exchange(p, addr, "1")
	is.NoErr(err)
	is.Equal(<-lines, "POST /a%2Fb/../c?q HTTP/1.1\r\n")
}

// An Error must distinguish a failed dial, after which the request can't have run,
// from a connection that failed after the request was sent.
func TestWhatAFailureSays(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	silent := serveScript(t, func(n int, c net.Conn, br *bufio.Reader) { _, _, _ = readRequest(br); _ = c.Close() })
	for _, tt := range []struct {
		name, addr string
		sent, dial bool
	}{
		{"no listener", closed.Addr().String(), false, true},
		{"closed after the request", silent, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := conns.NewPool()
			defer p.Close()
			_, err := exchange(p, tt.addr, "1")
			var ce *conns.Error
			is.True(errors.As(err, &ce))
			is.Equal(ce.Sent, tt.sent)
			is.Equal(ce.Dial, tt.dial)
		})
	}
}

// The pool never sends a request a second time. If an upstream closes a kept
// connection, the exchange over it fails, or a new connection is used.
func TestNoSilentResend(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	addr := serveScript(t, func(n int, c net.Conn, br *bufio.Reader) {
		id, _, err := readRequest(br)
		if err != nil {
			return
		}
		seen <- id
		_, _ = io.WriteString(c, response(id, "own"))
		id, _, err = readRequest(br)
		if err == nil {
			seen <- id
		}
		_ = c.Close() // no response to the second request
	})
	p := conns.NewPool()
	defer p.Close()
	_, err := exchange(p, addr, "1")
	is.NoErr(err)
	_, err = exchange(p, addr, "2")
	is.True(err != nil)
	is.Equal(<-seen, "1")
	is.Equal(<-seen, "2")
	select {
	case id := <-seen:
		t.Fatalf("request %s was sent again", id)
	case <-time.After(50 * time.Millisecond):
	}
}

// If an upstream responds before it has read a long body, no bytes of another
// request may follow the part of the body that was sent.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	is := is.New(t)
	rest := make(chan string, 1)
	addr := serveScript(t, func(n int, c net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(req.Header.Get("Id"), "early"))
		if n == 0 {
			time.Sleep(50 * time.Millisecond)
			b, _ := io.ReadAll(br)
			rest <- string(b)
		}
	})
	p := conns.NewPool()
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, conns.Request{Addr: addr, Upstream: "u", Method: "POST", Target: "/", Host: "h", Header: http.Header{"Id": {"1"}},
		Body: []byte(strings.Repeat("x", 8<<20)), MaxIdle: time.Minute})
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.NoErr(err)
	a.Close()
	is.Equal(strings.Trim(<-rest, "x"), "") // only bytes of the long body
}

// A body without a length ends when the upstream closes the connection. If the
// connection is reset instead, the body may be incomplete, which must be an error.
func TestUnframedBody(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reset bool
	}{{"ends with the connection", false}, {"reset", true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr := serveScript(t, func(n int, c net.Conn, br *bufio.Reader) {
				id, _, _ := readRequest(br)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nsome bytes")
				time.Sleep(20 * time.Millisecond)
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			p := conns.NewPool()
			defer p.Close()
			got, err := exchange(p, addr, "1")
			is.Equal(err != nil, tt.reset)
			if !tt.reset {
				is.Equal(got, "some bytes")
			}
		})
	}
}
