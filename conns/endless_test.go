package conns_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/conns"
)

// A connection that is kept but not used again is closed when its time is over, also
// if the upstream goes on sending.
func TestKeptConnectionIsClosedInTime(t *testing.T) {
	for _, tt := range []struct {
		name    string
		surplus string
	}{{"silent", ""}, {"endless surplus bytes", strings.Repeat("x", 1<<20)}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan error, 1)
			addr := serveScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
				id, _, err := readRequest(br)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(20 * time.Millisecond) // the connection is kept by now
				for err == nil && tt.surplus != "" {
					_, err = io.WriteString(c, tt.surplus)
				}
				if err == nil {
					_, err = br.ReadByte()
				}
				closed <- err
			})
			p := conns.NewPool()
			defer p.Close()
			_, err := exchange(p, addr, "1")
			is.NoErr(err)
			select {
			case err := <-closed:
				is.True(err != nil)
			case <-time.After(10 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}

// An exchange that fails because of what the upstream sent is distinguished from one
// whose connection ended, after which the upstream may have crashed.
func TestMalformedResponses(t *testing.T) {
	for _, tt := range []struct {
		name, sent string
		malformed  bool
	}{
		{"nothing", "", false},
		{"the beginning of a status line", "HTT", false},
		{"half a head", "HTTP/1.1 200 OK\r\nId: 1\r\n", false},
		{"a few other bytes", "\x00\x01", true},
		{"a line of other bytes", "200 OK\r\n\r\n", true},
		{"a malformed status", "HTTP/1.1 abc\r\n\r\n", true},
		{"a malformed header", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", true},
		{"another request's response without an end", "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr := serveScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
				_, _, _ = readRequest(br)
				_, _ = io.WriteString(c, tt.sent)
				_ = c.Close()
			})
			p := conns.NewPool()
			defer p.Close()
			_, err := exchange(p, addr, "1")
			var ce *conns.Error
			is.True(errors.As(err, &ce))
			is.Equal(ce.Malformed, tt.malformed)
		})
	}
}
