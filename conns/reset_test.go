package conns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/conns"
)

// A response without a length and chunks is not complete if the upstream resets the connection
// while the request is still being written. The kernel may report the reset to the write, and
// an orderly end to the read.
func TestResetDuringTheRequestLooksLikeAnEnd(t *testing.T) {
	const exchanges = 40
	for _, tt := range []struct {
		name     string
		body     int // bytes of the request's body
		reset    bool
		complete bool
	}{
		{"reset, long request", 16 << 20, true, false},
		{"reset, request larger than the buffers", 4 << 20, true, false},
		{"reset, short request", 4, true, false},
		{"closed, short request", 4, false, true},
		{"closed, long request", 16 << 20, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr := serveScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer c.Close()
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if !tt.reset {
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n")
				if tt.reset {
					time.Sleep(5 * time.Millisecond) // a reset discards bytes that have not been read
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			p := conns.NewPool()
			defer p.Close()
			body := []byte(strings.Repeat("x", tt.body))
			complete := 0
			for range exchanges {
				a, err := p.Do(t.Context(), conns.Request{Addr: addr, Upstream: "u", Method: "POST", Target: "/", Host: "h", Body: body, MaxIdle: -1})
				if err != nil {
					is.True(tt.reset) // the reset came before the head was read
					continue
				}
				_, err = io.ReadAll(a.Body)
				if err == nil && a.Complete() {
					complete++
				}
				a.Close()
			}
			if tt.complete {
				is.Equal(complete, exchanges)
			} else {
				is.Equal(complete, 0)
			}
		})
	}
}
