package front_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// newRestartingUpstream returns an upstream whose process ends after it has written a response
// with f. change says what is at its address then, which accepts connections at all times.
func newRestartingUpstream(t *testing.T, f responder, change func(u *scriptedUpstream)) *scriptedUpstream {
	t.Helper()
	var u *scriptedUpstream
	u = newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
		f(n, w, id, r)
		change(u)
		return false
	})
	return u
}

// A part of a response without a length and chunks is not taken for the whole because something
// accepts connections at its upstream's address: the process that wrote it must still run.
func TestRestartedUpstreamsAnswerLooksComplete(t *testing.T) {
	const some = "id: 1\ndata: a\n\n"
	long := strings.Repeat("x", 300<<10)
	for _, at := range []struct {
		name   string
		change func(u *scriptedUpstream)
	}{
		{"started again", func(u *scriptedUpstream) { u.incarnation.Add(1) }},
		{"replaced by another upstream", func(u *scriptedUpstream) { u.replaced.Store(true) }},
		{"silent", func(u *scriptedUpstream) { u.silent.Store(true) }},
	} {
		for _, tt := range []struct {
			name, path, body string
			status           int    // of the caller's response; zero if it is broken off
			want             string // body of the caller's response
			received         int64  // requests at the second upstream
		}{
			{"stream", "/once/x", some, 0, "", 0},
			{"stream that may be resumed", "/resume/x", some, 200, streamText, 1},
			{"plain", "/unsafe/x", "some bytes", 502, "", 0},
			{"plain that may be repeated", "/safe/x", "some bytes", 200, "whole", 1},
			{"long plain", "/unsafe/x", long, 0, "", 0},
		} {
			t.Run(at.name+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				first := newRestartingUpstream(t, respondRaw(tt.body, false), at.change)
				next := newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
					if r.Header.Get("Last") != "" {
						return respondRest(n, w, id, r)
					}
					return respondSigned(200, "whole")(n, w, id, r)
				})
				b := newTestFront(t, 5, first, next)
				resp, body, err := b.exchange(t.Context(), tt.path)
				is.Equal(next.requests.Load(), tt.received)
				if tt.status == 0 {
					is.True(errors.Is(err, syscall.ECONNRESET)) // else the part looks whole
					return
				}
				is.NoErr(err)
				is.Equal(resp.StatusCode, tt.status)
				if tt.status == 200 {
					is.Equal(body, tt.want)
				}
			})
		}
	}
}
