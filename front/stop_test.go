package front_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node that is about to stop does not run requests that might outlast it.
func TestClosingRefusesRequestsThatMayOutlastIt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		path   string
		limit  string // time limit of the request in milliseconds
		left   time.Duration
		status int
	}{
		{"ends in time", "/unsafe/x", "1000", 2 * time.Second, http.StatusOK},
		{"may outlast it", "/unsafe/x", "3000", 2 * time.Second, http.StatusServiceUnavailable},
		{"may outlast it, can be repeated", "/safe/x", "3000", 2 * time.Second, http.StatusServiceUnavailable},
		{"limit of the route", "/unsafe/x", "", 2 * time.Second, http.StatusServiceUnavailable},
		{"after the end", "/unsafe/x", "1", -time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newScriptedUpstream(t, respondSigned(http.StatusOK, "ok"))
			b := newTestFront(t, 5, u)
			b.until = time.Now().Add(tt.left)
			b.stopping.Store(true)
			status, hdr, _, err := b.send(t.Context(), tt.path, "Limit-Ms", tt.limit)
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.Equal(u.requests.Load() == 1, status == http.StatusOK)
			is.Equal(hdr.Get("Retry-After") != "", status != http.StatusOK)
		})
	}
}

// Requests that are in flight when the node stops get a response, which says that they have
// not run only if that is so. A response that has begun is broken off.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		answer     responder
		status     int // zero if the response is broken off
	}{
		{"unsafe", "/unsafe/x", stall(5 * time.Second), http.StatusBadGateway},
		{"safe", "/safe/x", stall(5 * time.Second), http.StatusBadGateway},
		{"stream without events", "/once/x", stall(5 * time.Second), http.StatusBadGateway},
		{"stream that has begun", "/resume/x", func(n int, w io.Writer, id string, r *http.Request) bool {
			respondEvents("id: 1\n\nid: 2\n\n", 7)(n, w, id, r)
			time.Sleep(5 * time.Second)
			return false
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan struct{}, 2)
			u := newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
				received <- struct{}{}
				return tt.answer(n, w, id, r)
			})
			b := newTestFront(t, 5, u)
			go func() {
				<-received
				time.Sleep(50 * time.Millisecond) // let the first event pass
				b.stopping.Store(true)
				b.handler.Stop()
			}()
			begin := time.Now()
			resp, _, err := b.exchange(t.Context(), tt.path)
			is.True(time.Since(begin) < 3*time.Second)
			is.Equal(u.requests.Load(), int64(1))
			if tt.status == 0 {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.True(resp.Close) // the caller goes elsewhere
		})
	}
}
