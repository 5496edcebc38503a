package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/conns"
)

// cutResponses are whole responses, none of which is complete before its last byte.
var cutResponses = []struct {
	name, method, text string
	status             int
}{
	{"length", "POST", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\nabcdefghijkl", 200},
	{"length of zero", "POST", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 200},
	{"length first", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\nA: b\r\n\r\n", 200},
	{"chunks", "POST", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n10;a=b\r\n0123456789abcdef\r\n1\r\nx\r\n0\r\n\r\n", 200},
	{"no chunks", "POST", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200},
	{"chunks with a trailer", "POST", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", 200},
	{"no length", "POST", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", 200},
	{"HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", 200},
	{"HTTP/1.0 with a length", "POST", "HTTP/1.0 200 OK\r\nId: 1\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", 200},
	{"lines that end with LF", "POST", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n", 200},
	{"folded line", "POST", "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\r\n  c\r\n\td\r\nContent-Length: 0\r\n\r\n", 200},
	{"no reason", "POST", "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 200},
	{"100", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 200},
	{"101", "POST", "HTTP/1.1 101 Switching\r\nId: 1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 200},
	{"102", "POST", "HTTP/1.1 102 Wait\r\nId: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n", 200},
	{"103 twice", "POST", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 103 Early\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 200},
	{"response to another request", "POST", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 200},
	{"204", "POST", "HTTP/1.1 204 None\r\nId: 1\r\n\r\n", 204},
	{"304", "GET", "HTTP/1.1 304 Same\r\nId: 1\r\nContent-Length: 12\r\n\r\n", 304},
	{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n", 200},
	{"HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", 200},
	{"refusal", "POST", "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 503},
}

// cutEnds are the ways in which an upstream ends a connection, and whether the connection
// has carried another request before.
var cutEnds = []struct {
	name        string
	reset, kept bool
}{
	{"closed", false, false},
	{"reset", true, false},
	{"closed, kept", false, true},
	{"reset, kept", true, true},
}

// exchangeRead runs one exchange for request 1, and returns the status if the response was
// read to its end.
func exchangeRead(ctx context.Context, p *conns.Pool, addr, method string) (int, error) {
	a, err := p.Do(ctx, conns.Request{
		Addr: addr, Upstream: "u", Method: method, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, MaxIdle: time.Minute,
		Match: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		return 0, err
	}
	defer a.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, err
	}
	if !a.Complete() {
		return 0, errors.New("the body was not read to its end")
	}
	return a.Status, nil
}

// A response that is cut after any of its bytes, in its head, body or trailer, does not look
// complete.
func TestCutResponseLooksComplete(t *testing.T) {
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range cutResponses {
			for _, end := range cutEnds {
				t.Run(tt.name+" "+end.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var cut atomic.Int64
					sent := make(chan bool, 1)
					addr := serveScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
						defer c.Close()
						for first := true; ; first = false {
							if _, err := http.ReadRequest(br); err != nil {
								return
							}
							if first && end.kept {
								_, _ = io.WriteString(c, response("1", ""))
								continue
							}
							_, _ = io.WriteString(c, tt.text[:cut.Load()])
							if end.reset {
								_ = c.(*net.TCPConn).SetLinger(0)
							}
							sent <- true
							return
						}
					})
					for ; cut.Load() <= int64(len(tt.text)); cut.Add(1) {
						rows.Add(1)
						p := conns.NewPool()
						if end.kept {
							status, err := exchangeRead(t.Context(), p, addr, tt.method)
							is.NoErr(err)
							is.Equal(status, 200)
						}
						status, err := exchangeRead(t.Context(), p, addr, tt.method)
						<-sent
						if end.kept {
							is.Equal(p.Stats().Dialled, uint64(1)) // the cut response came over the kept connection
						}
						p.Close()
						switch cut := int(cut.Load()); {
						case cut < len(tt.text) && err == nil:
							t.Errorf("cut after byte %d, taken for a whole response with status %d: %q", cut, status, tt.text[:cut])
						case cut == len(tt.text) && !end.reset:
							is.NoErr(err)
							is.Equal(status, tt.status)
						}
					}
				})
			}
		}
	})
	t.Logf("%d rows", rows.Load())
}
