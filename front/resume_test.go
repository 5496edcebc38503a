package front_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A stream that has begun and broke off goes on only with the events that follow. What else
// the next upstream answers does not reach the caller, whose response is broken off: neither
// an error's text nor its head, nor an end that makes the stream look complete.
func TestErrorInsideABegunStream(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	head := func(status int, lines string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nId: id1\r\n%s", status, lines)
	}
	whole := func(status int, lines, body string) string {
		return head(status, lines) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	const rest = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for _, tt := range []struct {
		name, answer string
		goesOn       bool
	}{
		{"the events that follow", whole(200, "Sig: 1\r\n", rest), true},
		{"nothing more", whole(200, "Sig: 1\r\n", ""), true},
		{"an error", whole(500, "Sig: 1\r\n", "data: error\n\n"), false},
		{"an error without signature", whole(500, "", "error\n\n"), false},
		{"an error in chunks", head(502, "Transfer-Encoding: chunked\r\n\r\n") + "7\r\nerror\n\n\r\n0\r\n\r\n", false},
		{"an error that ends with its connection", head(500, "\r\n") + "error\n\n", false},
		{"a success without signature", whole(200, "", "error\n\n"), false},
		{"an empty success without signature", whole(200, "", ""), false},
		{"a success of another type", whole(200, "Sig: 1\r\nContent-Type: application/json\r\n", "{}\n\n"), false},
		{"another status", "HTTP/1.1 204 X\r\nId: id1\r\nSig: 1\r\n\r\n", false},
		{"a redirect", whole(302, "Sig: 1\r\nLocation: /x\r\n", ""), false},
		{"the events from the beginning", whole(200, "Sig: 1\r\n", first+rest), false},
		{"the last event again", whole(200, "Sig: 1\r\n", first), false},
		{"a head inside the stream", head(200, "Sig: 1\r\n\r\n") + "HTTP/1.1 500 X\r\nA: b\r\n\r\nerror", false},
		{"a head inside the stream, in chunks", head(200, "Sig: 1\r\nTransfer-Encoding: chunked\r\n\r\n") + "HTTP/1.1 500 X\r\nA: b\r\n\r\nerror", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			broken := newScriptedUpstream(t, respondEvents(first+rest, len(first)))
			next := newScriptedUpstream(t, func(_ int, w io.Writer, _ string, _ *http.Request) bool {
				_, _ = io.WriteString(w, tt.answer)
				return false
			})
			b := newTestFront(t, 5, broken, next)
			_, body, err := b.exchange(t.Context(), "/resume/x")
			is.Equal(next.requests.Load(), int64(1))
			is.Equal(err == nil, tt.goesOn)
			if tt.name == "the events that follow" {
				is.Equal(body, first+rest)
			} else {
				is.Equal(body, first)
			}
		})
	}
}

// A stream whose last event has no id can't be resumed: what follows it is not known.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	is := is.New(t)
	const text = "data: a\n\ndata: b\n\n"
	broken := newScriptedUpstream(t, respondEvents(text, len("data: a\n\n")))
	next := newScriptedUpstream(t, respondEvents(text, -1))
	b := newTestFront(t, 5, broken, next)
	_, body, err := b.exchange(t.Context(), "/resume/x")
	is.True(err != nil)
	is.Equal(body, "data: a\n\n")
	is.Equal(next.requests.Load(), int64(0))
}
