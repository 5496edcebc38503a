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

// script serves each connection with f, which gets the number of the connection.
func script(t *testing.T, f func(n int, c net.Conn, br *bufio.Reader)) string {
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

// read reads one request and returns its id and body.
func read(br *bufio.Reader) (id, body string, err error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", "", err
	}
	b, err := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(b), err
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// exchange sends a request and returns the body of the answer.
func exchange(p *conns.Pool, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, conns.Request{
		Addr: addr, Upstream: "u", Method: "POST", Target: "/a%2Fb/../c?q", Host: "h", Header: http.Header{"Id": {id}},
		Body: []byte("body " + id), MaxIdle: time.Minute,
		Match: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil && !a.Complete() {
		err = errors.New("not whole")
	}
	return string(b), err
}

// A second answer to one request must not be taken for the answer to the next.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	addr := script(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, _, err := read(br)
			if err != nil {
				return
			}
			if id == "2" { // the surplus answer arrives where the next is due
				_, _ = io.WriteString(c, answer("1", "again"))
			}
			_, _ = io.WriteString(c, answer(id, "own "+id))
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

// Bytes after a whole answer make the connection useless.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	addr := script(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			id, _, err := read(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "own")+"HTTP/1.1 200 OK\r\n")
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

func TestTargetAndBodyAreForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	lines := make(chan string, 1)
	addr := script(t, func(n int, c net.Conn, br *bufio.Reader) {
		line, _ := br.ReadString('\n')
		lines <- line
		_, _ = io.WriteString(c, answer("1", ""))
	})
	p := conns.NewPool()
	defer p.Close()
	_, err := exchange(p, addr, "1")
	is.NoErr(err)
	is.Equal(<-lines, "POST /a%2Fb/../c?q HTTP/1.1\r\n")
}

func TestWhatAFailureSays(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	silent := script(t, func(n int, c net.Conn, br *bufio.Reader) { _, _, _ = read(br); _ = c.Close() })
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

// A request is never sent a second time by itself: a kept connection that the
// upstream has closed fails or is not used.
func TestNoSilentResend(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	addr := script(t, func(n int, c net.Conn, br *bufio.Reader) {
		id, _, err := read(br)
		if err != nil {
			return
		}
		seen <- id
		_, _ = io.WriteString(c, answer(id, "own"))
		id, _, err = read(br)
		if err == nil {
			seen <- id
		}
		_ = c.Close() // no answer to the second
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

// An upstream that answers before it has read a long body gets no other bytes in
// its place.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	is := is.New(t)
	rest := make(chan string, 1)
	addr := script(t, func(n int, c net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get("Id"), "early"))
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
	is.Equal(strings.Trim(<-rest, "x"), "") // the long body and nothing else
}

func TestUnframedBody(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reset bool
	}{{"ends with the connection", false}, {"reset", true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr := script(t, func(n int, c net.Conn, br *bufio.Reader) {
				id, _, _ := read(br)
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
