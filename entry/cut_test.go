package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
)

// A request whose body is cut after any byte is not run.
func TestCutRequestIsNotRun(t *testing.T) {
	const body = `{"amount":12}`
	for _, f := range []struct{ name, head, tail string }{
		{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), ""},
		{"chunked", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body)), "\r\n0\r\n\r\n"},
	} {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			whole := "POST /v1/services/s/x HTTP/1.1\r\nHost: a\r\n" + f.head + body + f.tail
			ran := make(chan string, 1)
			s := &Server{bounds: config.DefaultSettings().Callers}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b, err := s.readBody(w, r, &request{})
				var ref *vane.Refusal
				switch {
				case err == nil:
					ran <- string(b)
				case !errors.As(err, &ref) || ref.Execution != vane.NotRun:
					t.Errorf("got error %v, want a refusal of a request that has not run", err)
				}
			}))
			defer srv.Close()
			send := func(b string) {
				c, err := net.Dial("tcp", srv.Listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				_, err = io.WriteString(c, b)
				is.NoErr(err)
				is.NoErr(c.(*net.TCPConn).CloseWrite())
				_, _ = io.Copy(io.Discard, c)
			}
			for n := range len(whole) {
				send(whole[:n])
				select {
				case b := <-ran:
					t.Errorf("cut after %d of %d bytes: %q is run", n, len(whole), b)
				default:
				}
			}
			send(whole)
			is.Equal(<-ran, body)
		})
	}
}
