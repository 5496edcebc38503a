package front_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
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

// framings are the ways in which the end of a body of n bytes can be announced. broken is
// the error of a caller whose response is broken off.
var framings = []struct {
	name   string
	head   func(n int) []string
	body   func(s string) string
	broken error
}{
	{"by the connection", func(int) []string { return nil }, func(s string) string { return s }, syscall.ECONNRESET},
	{"by length", func(n int) []string { return []string{"Content-Length: " + strconv.Itoa(n)} }, func(s string) string { return s }, io.ErrUnexpectedEOF},
	{"by chunks", func(int) []string { return []string{"Transfer-Encoding: chunked"} }, func(s string) string {
		return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(s), s)
	}, io.ErrUnexpectedEOF},
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
				next := newScriptedUpstream(t, respondRest)
				b := newTestFront(t, 5, newScriptedUpstream(t, first), next)
				status, _, body, err := b.send(t.Context(), "/once/x")
				if tt.complete {
					is.NoErr(err)
					is.Equal(body, tt.text)
				} else {
					is.True(status == 502 || errors.Is(err, f.broken))
				}
				is.Equal(next.requests.Load(), int64(0))

				b = newTestFront(t, 5, newScriptedUpstream(t, first), next)
				_, _, body, err = b.send(t.Context(), "/resume/x")
				is.NoErr(err)
				is.Equal(next.requests.Load() == 0, tt.complete)
				if !tt.complete {
					is.Equal(strings.Count(body, "data:"), 3) // each event once
				}
			})
		}
	}
}

// respondRest responds with the events of streamText that follow the one that the request
// names, or all.
func respondRest(n int, w io.Writer, id string, r *http.Request) bool {
	rest := streamText
	if last := r.Header.Get("Last"); last != "" {
		_, rest, _ = strings.Cut(streamText, "id: "+last+"\n")
		_, rest, _ = strings.Cut(rest, "\n\n")
	}
	return respondEvents(rest, -1)(n, w, id, r)
}

// newCrashingUpstream returns an upstream that writes its response with f and is gone
// then: its host refuses connections.
func newCrashingUpstream(t *testing.T, f responder) *scriptedUpstream {
	t.Helper()
	var u *scriptedUpstream
	u = newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
		f(n, w, id, r)
		_ = u.listener.Close()
		return false
	})
	return u
}

// A response without a length and chunks that ends with its upstream's connection reaches
// the caller in the same way, since nothing shows that it is complete. If the upstream
// has crashed, the response is not.
func TestCrashedUpstreamsAnswerLooksComplete(t *testing.T) {
	const some = "id: 1\ndata: a\n\n"
	for _, tt := range []struct {
		name, path, body string
		crash            bool
		status           int    // of the caller's response; zero if it is broken off
		want             string // body of the caller's response
		received         int64  // requests at the second upstream
	}{
		{"stream", "/once/x", some, false, 200, some, 0},
		{"stream that may be resumed", "/resume/x", some, false, 200, some, 0},
		{"plain", "/unsafe/x", "some bytes", false, 200, "some bytes", 0},
		{"long plain", "/unsafe/x", strings.Repeat("x", 300<<10), false, 200, strings.Repeat("x", 300<<10), 0},
		{"stream without events", "/once/x", "", false, 502, "", 0},
		{"stream of a crashed upstream", "/once/x", some, true, 0, "", 0},
		{"stream of a crashed upstream that may be resumed", "/resume/x", some, true, 200, streamText, 1},
		{"plain of a crashed upstream", "/unsafe/x", "some bytes", true, 502, "", 0},
		{"plain of a crashed upstream that may be repeated", "/safe/x", "some bytes", true, 200, "whole", 1},
		{"long plain of a crashed upstream", "/unsafe/x", strings.Repeat("x", 300<<10), true, 0, "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first, answer := newScriptedUpstream, respondRaw(tt.body, false)
			if tt.crash {
				first = newCrashingUpstream
			}
			next := newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
				if r.Header.Get("Last") == "1" {
					return respondEvents(streamText[len(some):], -1)(n, w, id, r)
				}
				return respondSigned(200, "whole")(n, w, id, r)
			})
			b := newTestFront(t, 5, first(t, answer), next)
			resp, body, err := b.exchange(t.Context(), tt.path)
			is.Equal(next.requests.Load(), tt.received)
			if tt.status == 0 {
				is.True(errors.Is(err, syscall.ECONNRESET)) // else the response looks complete
				return
			}
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			if tt.status == 200 {
				is.Equal(body, tt.want)
				stated := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
				is.Equal(stated, tt.path == "/safe/x") // only the second upstream's plain response states its end
			}
		})
	}
}

// A stream whose end the caller was promised does not end with a response that states no
// end.
func TestResumedStreamLooksComplete(t *testing.T) {
	is := is.New(t)
	first := newScriptedUpstream(t, respondEvents(streamText, len("id: 1\ndata: a\n\n")))
	next := newScriptedUpstream(t, respondRaw("id: 2\ndata: b\n\n", false))
	b := newTestFront(t, 5, first, next)
	_, _, err := b.exchange(t.Context(), "/resume/x")
	is.True(err != nil)
}

// A part of a response that only the end of the connection would end does not look whole when
// the node closes its connections, as it does at the end of a planned stop.
func TestClosedNodesResponseLooksComplete(t *testing.T) {
	const some = "id: 1\ndata: a\n\n"
	long := strings.Repeat("x", 300<<10)
	for _, tt := range []struct {
		name, path, proto, body string
		head                    []string
	}{
		{"stream", "/once/x", "HTTP/1.1", some, nil},
		{"stream that may be resumed", "/resume/x", "HTTP/1.1", some, nil},
		{"long plain", "/unsafe/x", "HTTP/1.1", long, nil},
		{"stream in chunks for HTTP/1.0", "/once/x", "HTTP/1.0", fmt.Sprintf("%x\r\n%s\r\n", len(some), some), []string{"Transfer-Encoding: chunked"}},
		{"long plain in chunks for HTTP/1.0", "/unsafe/x", "HTTP/1.0", fmt.Sprintf("%x\r\n%s\r\n", len(long), long), []string{"Transfer-Encoding: chunked"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sent, end := make(chan struct{}), make(chan struct{})
			defer close(end)
			b := newTestFront(t, 5, newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
				respondRaw(tt.body, false, tt.head...)(n, w, id, r)
				close(sent)
				<-end
				return false
			}))
			c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
			is.NoErr(err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nId: id1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", tt.path, tt.proto)
			is.NoErr(err)
			<-sent
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			first := make([]byte, len("id: 1"))
			_, err = io.ReadFull(resp.Body, first) // the response has begun
			is.NoErr(err)
			is.NoErr(b.server.Config.Close())
			_, err = io.ReadAll(resp.Body)
			is.True(errors.Is(err, syscall.ECONNRESET)) // else the part looks whole
		})
	}
}
