package front_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
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

// While the store still names an earlier start of an upstream, whole responses of its process are
// served once that has been seen to run, and no request counts as one that crashes upstreams.
func TestLateEntryBreaksOffWholeAnswers(t *testing.T) {
	is := is.New(t)
	u := newScriptedUpstream(t, respondRaw("some bytes", false))
	b := newTestFront(t, 5, u)
	u.incarnation.Store(2) // the view names an earlier one
	for i, want := range []int{502, 200, 200, 200} {
		status, _, body, err := b.send(t.Context(), "/unsafe/x")
		is.NoErr(err)
		is.Equal(status, want)
		is.Equal(body == "some bytes", i > 0)
	}
	u.incarnation.Store(3) // started again since the last check
	status, _, _, err := b.send(t.Context(), "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, 502)
}

// Responses that end together cost their upstream one check, not one each.
func TestManyEndsAreCheckedTogether(t *testing.T) {
	const streams = 48
	is := is.New(t)
	var begun sync.WaitGroup
	begun.Add(streams)
	u := newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
		begun.Done()
		begun.Wait()
		return respondRaw("id: 1\ndata: a\n\n", false)(n, w, id, r)
	})
	b := newTestFront(t, 5, u)
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			status, _, body, err := b.send(t.Context(), "/once/x")
			if err != nil || status != 200 || body != "id: 1\ndata: a\n\n" {
				t.Errorf("status %d, body %q, error %v", status, body, err)
			}
		})
	}
	wg.Wait()
	is.True(u.checks.Load() < streams/2)
}
