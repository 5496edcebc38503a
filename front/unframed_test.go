package front_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const streamText = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// respondRaw sends the head of a signed response, with the given extra header lines,
// and a body. It then closes the connection, with a TCP reset if reset is set.
func respondRaw(body string, reset bool, extra ...string) responder {
	return func(_ int, w io.Writer, id string, _ *http.Request) bool {
		lines := strings.Join(append(extra, ""), "\r\n")
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSig: 1\r\n%s\r\n%s", id, lines, body)
		if reset {
			time.Sleep(20 * time.Millisecond) // a reset discards bytes that have not been read
			_ = w.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// A body without a length and chunks ends with the connection. It is complete if the
// connection was closed, and not if it was reset.
func TestUnframedAnswer(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		reset      bool
		status     int
		received   int64 // requests at the second upstream
	}{
		{"closed", "/unsafe/x", false, 200, 0},
		{"closed, may be repeated", "/safe/x", false, 200, 0},
		{"reset", "/unsafe/x", true, 502, 0},
		{"reset, may be repeated", "/safe/x", true, 200, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			next := newScriptedUpstream(t, respondSigned(200, "some bytes"))
			b := newTestFront(t, 5, newScriptedUpstream(t, respondRaw("some bytes", tt.reset)), next)
			status, hdr, body, err := b.send(t.Context(), tt.path)
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.Equal(next.requests.Load(), tt.received)
			if tt.status == 200 {
				is.Equal(body, "some bytes")
				is.Equal(hdr.Get("Sig"), "1")
			}
		})
	}
}

// framings are the ways in which the end of a body of n bytes can be announced.
var framings = []struct {
	name string
	head func(n int) []string
	body func(s string) string
}{
	{"by the connection", func(int) []string { return nil }, func(s string) string { return s }},
	{"by length", func(n int) []string { return []string{"Content-Length: " + strconv.Itoa(n)} }, func(s string) string { return s }},
	{"by chunks", func(int) []string { return []string{"Transfer-Encoding: chunked"} }, func(s string) string {
		return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(s), s)
	}},
}

// A stream that ends inside an event is not taken for complete, however its end is
// announced: another upstream resumes it, or the caller's response is broken off.
func TestStreamEndsInsideAnEvent(t *testing.T) {
	crlf := strings.ReplaceAll(streamText, "\n", "\r\n")
	for _, tt := range []struct {
		name, text string
		complete   bool
	}{
		{"after all events", streamText, true},
		{"after all events, CRLF", crlf, true},
		{"after a comment", streamText + ": end\n", true},
		{"after an event", streamText[:len("id: 1\ndata: a\n\n")], true},
		{"before the empty line", streamText[:len(streamText)-1], false},
		{"before the empty line, CRLF", crlf[:len(crlf)-2], false},
		{"inside the empty line, CRLF", crlf[:len(crlf)-1], false},
		{"inside a line", streamText[:len(streamText)-4], false},
		{"inside the first event", streamText[:9], false},
		{"after a field and a comment", streamText + "id: 4\n: end\n", false},
	} {
		for _, f := range framings {
			t.Run(tt.name+" "+f.name, func(t *testing.T) {
				is := is.New(t)
				first := respondRaw(f.body(tt.text), false, f.head(len(tt.text))...)
				next := newScriptedUpstream(t, respondEvents(streamText, -1))
				b := newTestFront(t, 5, newScriptedUpstream(t, first), next)
				status, _, body, err := b.send(t.Context(), "/once/x")
				if tt.complete {
					is.NoErr(err)
					is.Equal(body, tt.text)
				} else {
					is.True(status == 502 || errors.Is(err, io.ErrUnexpectedEOF))
				}
				is.Equal(next.requests.Load(), int64(0))

				b = newTestFront(t, 5, newScriptedUpstream(t, first), next)
				_, _, _, err = b.send(t.Context(), "/resume/x")
				is.NoErr(err)
				is.Equal(next.requests.Load() == 0, tt.complete)
			})
		}
	}
}
