package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// streamHead begins a stream in chunks.
func streamHead(w io.Writer, id string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

// chunk writes one chunk.
func chunk(w io.Writer, s string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s)
	return err
}

// A stream whose events are far apart is relayed to its end.
func TestSlowStreamIsNotCut(t *testing.T) {
	is := is.New(t)
	const events, gap = 4, 1300 * time.Millisecond // more than the time after which a silent upstream is set aside
	u := newScriptedUpstream(t, func(_ int, w io.Writer, id string, _ *http.Request) bool {
		streamHead(w, id)
		for i := range events {
			time.Sleep(gap)
			if chunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", i)) != nil {
				return false
			}
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	})
	b := newTestFront(t, 10, u)
	status, _, body, err := b.send(context.Background(), "/once/x", "Id", "1")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(strings.Count(body, "data: x"), events)
	is.Equal(u.requests.Load(), int64(1))
}

// A stream that stalls ends at its time limit, also if its upstream sends a byte now and
// then: within an event, in comments, or before its head is complete.
func TestStalledStreamEndsAtItsLimit(t *testing.T) {
	const limit = 600 * time.Millisecond
	for _, tt := range []struct{ name, begin, more string }{
		{"in an event", "id: 1\ndata: x\n\ndata: ", "x"},
		{"comments", "id: 1\ndata: x\n\n", ":\n"},
		{"before the first event", "data: ", "x"},
		{"in the head", "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			u := newScriptedUpstream(t, func(_ int, w io.Writer, id string, _ *http.Request) bool {
				defer close(ended)
				if tt.more == "" {
					_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nA: ")
				} else {
					streamHead(w, id)
					_ = chunk(w, tt.begin)
				}
				for range 200 {
					time.Sleep(20 * time.Millisecond)
					err := error(nil)
					if tt.more == "" {
						_, err = io.WriteString(w, "a")
					} else {
						err = chunk(w, tt.more)
					}
					if err != nil {
						return false
					}
				}
				return false
			})
			b := newTestFront(t, 10, u)
			at := time.Now()
			status, _, _, err := b.send(context.Background(), "/once/x", "Id", "1", "Limit-Ms", fmt.Sprint(limit.Milliseconds()))
			is.True(time.Since(at) < limit+500*time.Millisecond)
			is.True(err != nil || status == 504) // broken off visibly, or refused
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the upstream is not told that the request has ended")
			}
		})
	}
}
