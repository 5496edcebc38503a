package entry

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/linger"
)

// A part of a response that states no end does not look whole when the node closes its
// connections.
func TestClosedNodesResponseLooksComplete(t *testing.T) {
	is := is.New(t)
	body := make([]byte, 64<<20) // more than the buffers of the connection hold
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		(&Server{}).writeBody(w, r, http.StatusOK, conns.FramingClose, body)
	}))
	srv.Config.ConnContext = linger.ConnContext
	srv.Start()
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(srv.Config.Close())
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(errors.Is(err, syscall.ECONNRESET)) // else the part looks whole
}
