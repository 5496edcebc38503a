package front_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/event"
)

// endlessBytes stands for a response without end: far more than the limits of any
// phase and the buffers of a connection. The connection stays open after them.
const endlessBytes = 96 << 20

// respondEndlessly writes begin, in which ID stands for the request's id, and then
// repeats more until the connection is closed. It sends the number of bytes written to
// written.
func respondEndlessly(begin, more string, written chan<- int) responder {
	more = strings.Repeat(more, max(1, 16<<10/max(1, len(more))))
	return func(_ int, w io.Writer, id string, _ *http.Request) bool {
		n, err := io.WriteString(w, strings.ReplaceAll(begin, "ID", id))
		for sum := n; ; sum += n {
			if err != nil {
				written <- sum
				return false
			}
			if sum >= endlessBytes {
				written <- sum
				return true
			}
			n, err = io.WriteString(w, more)
		}
	}
}

// endlessResponses are the places at which a response can go on without end. ok is the
// status that the caller of an unsafe request gets, and zero for a response that is
// broken off.
var endlessResponses = []struct {
	name, begin, more string
	status            int
	stream            bool // also for streams
}{
	{"bytes that are no response", "", "\x07", 502, true},
	{"a status line", "HTTP/1.1 200 ", "x", 502, true},
	{"a header line", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nA: ", "x", 502, true},
	{"header lines", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n", "A: x\r\n", 502, true},
	{"interim responses", "", "HTTP/1.1 102 Wait\r\n\r\n", 502, true},
	{"an interim response", "HTTP/1.1 103 Early\r\n", "A: x\r\n", 502, true},
	{"responses to another request", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", 502, true},
	{"a response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", 502, true},
	{"a body without a length", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\n", "x", 0, false},
	{"a body of chunks", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", 0, false},
	{"a body of small chunks", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0, false},
	{"a chunk extension", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", 502, true},
	{"a trailer", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n", 502, true},
	{"a body of a declared 1 GB", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nContent-Length: 1000000000\r\n\r\n", "x", 502, false},
	{"a response without signature", "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", "x", 502, true},
	{"an event", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\nid: 1\ndata: ", "x", 502, true},
	{"an event of many lines", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\nid: 1\n", "data: x\n", 502, true},
	{"comments", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\n", ": x\n", 502, true},
	{"comments and empty lines", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\n", ": x\n\n", 502, true},
	{"empty lines", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\n", "\r\n", 502, true},
	{"empty lines after an event", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\nid: 1\ndata: a\n\n", "\n", 0, true},
	{"events", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\n", "data: " + strings.Repeat("x", 4000) + "\n\n", 0, true},
}

// awaitWritten returns the number of bytes that an endless response wrote until its
// connection was closed.
func awaitWritten(t *testing.T, written <-chan int) int {
	t.Helper()
	select {
	case n := <-written:
		return n
	case <-time.After(30 * time.Second):
		t.Fatal("the connection to the upstream was not closed")
		return 0
	}
}

// An upstream that sends without end is cut off long before the time limit, and is set
// aside as failing. The caller gets a 502 or a response that is visibly broken, or the
// response of another upstream. The request does not count as a cause of crashes.
func TestEndlessResponse(t *testing.T) {
	for _, tt := range endlessResponses {
		for _, path := range []string{"/unsafe/x", "/once/x"} {
			if (path == "/once/x") != tt.stream {
				continue
			}
			t.Run(tt.name+" "+path, func(t *testing.T) {
				is := is.New(t)
				written := make(chan int, 4)
				u := newScriptedUpstream(t, respondEndlessly(tt.begin, tt.more, written))
				next := newScriptedUpstream(t, respondSigned(200, ""))
				b := newTestFront(t, 5, u, next)
				status, _, _, err := b.send(t.Context(), path)
				if tt.status > 0 {
					is.NoErr(err)
					is.Equal(status, tt.status)
				} else {
					is.True(err != nil)
				}
				is.True(awaitWritten(t, written) < endlessBytes)
				if tt.name != "a response without signature" {
					_, _, _, err = b.send(t.Context(), path)
					is.NoErr(err)
					is.Equal(u.requests.Load(), int64(1)) // set aside
				}
				is.Equal(len(b.events.Since(0, event.Filter{}).Events), 0) // no crash
			})
		}
	}
}

// A request that may be repeated is sent to another upstream if the first one sends
// without end, unless part of the response has reached the caller.
func TestEndlessResponseIsRepeatedElsewhere(t *testing.T) {
	for _, tt := range endlessResponses {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			written := make(chan int, 4)
			path, next := "/safe/x", newScriptedUpstream(t, respondSigned(200, "whole"))
			if tt.stream {
				path, next = "/resume/x", newScriptedUpstream(t, respondRaw("data: whole\n\n", false))
			}
			b := newTestFront(t, 5, newScriptedUpstream(t, respondEndlessly(tt.begin, tt.more, written)), next)
			status, _, body, err := b.send(t.Context(), path)
			if tt.status > 0 {
				is.NoErr(err)
				is.Equal(status, 200)
				is.True(strings.HasSuffix(body, "whole") || body == "data: whole\n\n")
			} else if !tt.stream {
				is.True(err != nil)
			}
			is.True(awaitWritten(t, written) < endlessBytes)
		})
	}
}

// An upstream that states that it did not run a request, in a response without end,
// does not hold the request up.
func TestEndlessRefusal(t *testing.T) {
	for _, tt := range []struct{ name, head, more string }{
		{"without a length", "", "x"},
		{"of chunks", "Transfer-Encoding: chunked\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		{"of a declared 1 GB", "Content-Length: 1000000000\r\n", "x"},
		{"that stalls", "Content-Length: 1000\r\n", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\n" + tt.head + "\r\n"
			written := make(chan int, 4)
			full := respondEndlessly(head, tt.more, written)
			if tt.more == "" {
				full = func(_ int, w io.Writer, id string, _ *http.Request) bool {
					_, err := io.WriteString(w, strings.ReplaceAll(head, "ID", id))
					return err == nil
				}
			}
			u, next := newScriptedUpstream(t, full), newScriptedUpstream(t, respondSigned(200, "ok"))
			b := newTestFront(t, 5, u, next)
			status, _, body, err := b.send(t.Context(), "/unsafe/x")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, "ok")
			if tt.more != "" {
				is.True(awaitWritten(t, written) < 16<<20)
			}
		})
	}
}

// Bytes that follow a complete response are left unread, and its connection is closed.
func TestEndlessBytesAfterAResponse(t *testing.T) {
	is := is.New(t)
	written := make(chan int, 4)
	const whole, surplus = "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nSig: 1\r\nContent-Length: 2\r\n\r\nno"
	u := newScriptedUpstream(t, respondEndlessly(whole+surplus, surplus, written))
	b := newTestFront(t, 5, u)
	for range 3 {
		status, _, body, err := b.send(t.Context(), "/unsafe/x")
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, "ok")
		is.True(awaitWritten(t, written) < 16<<20)
	}
}

// A response that arrives drop by drop ends with the request's time limit.
func TestSlowDrip(t *testing.T) {
	for _, tt := range []struct{ name, path, begin string }{
		{"head", "/unsafe/x", "HTTP/1.1 200 OK\r\nA: "},
		{"body", "/unsafe/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\n"},
		{"event", "/once/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\ndata: "},
		{"comment", "/once/x", "HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\n\r\n:"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestFront(t, 5, newScriptedUpstream(t, func(_ int, w io.Writer, id string, _ *http.Request) bool {
				_, err := io.WriteString(w, strings.ReplaceAll(tt.begin, "ID", id))
				for ; err == nil; _, err = io.WriteString(w, "x") {
					time.Sleep(5 * time.Millisecond)
				}
				return false
			}))
			status, _, _, err := b.send(t.Context(), tt.path, "Limit-Ms", "150")
			is.NoErr(err)
			is.Equal(status, 504)
		})
	}
}

// Fifty endless responses at once, of each kind in turn, need a small part of the
// memory of a node (112 MB and more).
func TestEndlessResponsesNeedLittleMemory(t *testing.T) {
	const atOnce, limitBytes = 50, 64 << 20
	is := is.New(t)
	written := make(chan int, 8*atOnce)
	var ups []*scriptedUpstream
	for i := range atOnce {
		e := endlessResponses[i%len(endlessResponses)]
		ups = append(ups, newScriptedUpstream(t, respondEndlessly(e.begin, e.more, written)))
	}
	b := newTestFront(t, 1000, ups...)
	var before, now runtime.MemStats
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		runtime.GC() // what earlier tests have left would allow for more garbage
		runtime.ReadMemStats(&before)
		if before.HeapInuse < limitBytes/4 || time.Now().After(end) {
			break
		}
	}
	peak := uint64(0)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range atOnce {
		wg.Go(func() {
			path := []string{"/unsafe/x", "/safe/x", "/once/x", "/resume/x"}[i%4]
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.url+path, strings.NewReader("body"))
			if err != nil {
				t.Error(err)
				return
			}
			req.Host, req.Header = "h", http.Header{"Id": {"id1"}, "Key": {"k"}}
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	go func() { wg.Wait(); close(done) }()
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(time.Millisecond):
		}
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapInuse)
	}
	t.Logf("peak of the heap: %d MB, %d MB before", peak>>20, before.HeapInuse>>20)
	is.True(peak-before.HeapInuse < limitBytes)
}

// A stream with comments without end after its last event is resumed after that event. If
// nothing is left, the caller's response is complete: its events are whole, and it holds as
// many comments as may stand between two events.
func TestEndlessCommentsAfterTheLastEvent(t *testing.T) {
	is := is.New(t)
	written := make(chan int, 4)
	first := newScriptedUpstream(t, respondEndlessly("HTTP/1.1 200 OK\r\nId: ID\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"2d\r\n"+streamText+"\r\n", "5\r\n: x\n\n\r\n", written))
	next := newScriptedUpstream(t, respondEvents("", -1))
	b := newTestFront(t, 5, first, next)
	_, _, body, err := b.send(t.Context(), "/resume/x")
	is.NoErr(err)
	is.Equal(next.lastEventIDs, []string{"3"})
	comments, ok := strings.CutPrefix(body, streamText)
	is.True(ok)
	is.Equal(strings.ReplaceAll(comments, ": x\n\n", ""), "")
	is.True(len(comments) > 250<<10 && len(comments) < 256<<10)
}
