package front_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// afterPause is longer than an upstream that refused a request gets none.
const afterPause = 200 * time.Millisecond

// repeatRefusal refuses the first request, writes that refusal once more when the second
// one arrives, and then serves the second one after a pause. line is the refusal's id
// header with its line end, or empty.
func repeatRefusal(line string) responder {
	refusal := "HTTP/1.1 503 X\r\n" + line + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	return func(n int, w io.Writer, id string, r *http.Request) bool {
		if n <= 2 {
			_, _ = io.WriteString(w, refusal)
		}
		if n == 1 {
			return true
		}
		time.Sleep(20 * time.Millisecond)
		return respondSigned(200, "own")(n, w, id, r)
	}
}

// A refusal that an upstream writes once more is no statement about the next request.
func TestRefusalOfAnEarlierRequest(t *testing.T) {
	for _, tt := range []struct{ name, path, line string }{
		{"unsafe, no id", "/unsafe/x", ""},
		{"safe, no id", "/safe/x", ""},
		{"unsafe, empty id", "/unsafe/x", "Id: \r\n"},
		{"unsafe, earlier id", "/unsafe/x", "Id: 1\r\n"},
		{"safe, earlier id", "/safe/x", "Id: 1\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newScriptedUpstream(t, repeatRefusal(tt.line))
			b := newTestFront(t, 10, u)
			status, _, _, err := b.send(context.Background(), tt.path, "Id", "1")
			is.NoErr(err)
			is.Equal(status, 503)
			time.Sleep(afterPause)
			status, _, body, err := b.send(context.Background(), tt.path, "Id", "2")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, "own")
			is.Equal(u.requests.Load(), int64(2))
		})
	}
}

// A refusal that names no request proves nothing on a connection that served another
// one: the request may be running.
func TestRefusalWithoutIDIsNoProof(t *testing.T) {
	is := is.New(t)
	u := newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
		if n == 1 {
			return respondSigned(200, "first")(n, w, id, r)
		}
		_, err := io.WriteString(w, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	b := newTestFront(t, 10, u)
	status, _, _, err := b.send(context.Background(), "/unsafe/x", "Id", "1")
	is.NoErr(err)
	is.Equal(status, 200)
	status, _, _, err = b.send(context.Background(), "/unsafe/x", "Id", "2", "Limit-Ms", "300")
	is.NoErr(err)
	is.Equal(status, 504)
}

// A request without an id can't be told from others, so it has a connection of its own.
func TestRequestsWithoutIDShareNoConnection(t *testing.T) {
	is := is.New(t)
	var earlier io.Writer // connection of the first request
	u := newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
		if n == 2 && w == earlier {
			respondSigned(200, "first")(n, w, id, r)
		}
		earlier = w
		return respondSigned(200, []string{"first", "second"}[n-1])(n, w, id, r)
	})
	b := newTestFront(t, 10, u)
	for _, want := range []string{"first", "second"} {
		status, _, body, err := b.send(context.Background(), "/unsafe/x", "Id", "")
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, want)
	}
}

// No request is sent twice to the same upstream: a refusal of the first attempt, written
// once more, would name the second one too.
func TestNoSecondAttemptAtTheSameUpstream(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		first      responder
	}{
		{"refused", "/safe/x", respondNotRun()},
		{"refused, unsafe", "/unsafe/x", respondNotRun()},
		{"failed", "/safe/x", respondSigned(500, "")},
		{"cut", "/safe/x", stall(0)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ups := []*scriptedUpstream{newScriptedUpstream(t, tt.first), newScriptedUpstream(t, tt.first), newScriptedUpstream(t, tt.first)}
			b := newTestFront(t, 10, ups...)
			_, _, _, err := b.send(context.Background(), tt.path, "Id", "1")
			is.NoErr(err)
			for _, u := range ups {
				is.True(u.requests.Load() <= 1)
			}
		})
	}
}
