package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// cutResponses are whole responses to request id1, none of which is complete before its last
// byte.
var cutResponses = []struct {
	name, method, text string
	stream             bool // also for streams
}{
	{"length", "POST", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nContent-Length: 12\r\n\r\ndata: abcd\n\n", true},
	{"length of zero", "POST", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nContent-Length: 0\r\n\r\n", true},
	{"chunks", "POST", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n16;a=b\r\nid: 1\ndata: abcdefgh\n\n\r\n0\r\n\r\n", true},
	{"no chunks", "POST", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
	{"chunks with a trailer", "POST", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n9\r\ndata: a\n\n\r\n0\r\nA: b\r\n\r\n", true},
	{"no length", "POST", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\n\r\n", true},
	{"HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\nId: id1\r\nSig: 1\r\n\r\n", true},
	{"lines that end with LF", "POST", "HTTP/1.1 200 OK\nId: id1\nSig: 1\nContent-Length: 0\n\n", false},
	{"folded line", "POST", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\n  2\r\nContent-Length: 0\r\n\r\n", false},
	{"100", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nContent-Length: 0\r\n\r\n", true},
	{"101", "POST", "HTTP/1.1 101 Switching\r\nId: id1\r\nSig: 1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nContent-Length: 0\r\n\r\n", true},
	{"102 with the headers", "POST", "HTTP/1.1 102 Wait\r\nId: id1\r\nSig: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\n\r\n", false},
	{"103", "POST", "HTTP/1.1 103 Early\r\nId: id1\r\nSig: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n", true},
	{"response to another request", "POST", "HTTP/1.1 200 OK\r\nId: id2\r\nSig: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nContent-Length: 0\r\n\r\n", false},
	{"204", "POST", "HTTP/1.1 204 None\r\nId: id1\r\nSig: 1\r\n\r\n", true},
	{"304", "GET", "HTTP/1.1 304 Same\r\nId: id1\r\nSig: 1\r\nContent-Length: 12\r\n\r\n", false},
	{"404", "POST", "HTTP/1.1 404 None\r\nId: id1\r\nSig: 1\r\nContent-Length: 0\r\n\r\n", true},
	{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nContent-Length: 12\r\n\r\n", false},
	{"HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\n\r\n", false},
	{"refusal", "POST", "HTTP/1.1 503 Busy\r\nId: id1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true},
}

// cutPaths are the routes of a test front, and whether their requests are streams and may be
// sent to another upstream after a failure.
var cutPaths = []struct {
	path               string
	stream, repeatable bool
}{{"/unsafe/x", false, false}, {"/safe/x", false, true}, {"/once/x", true, false}, {"/resume/x", true, true}}

// respondCut writes the first bytes of text, as many as cut says, and ends the connection,
// with a reset if reset is set.
func respondCut(text string, cut *atomic.Int64, reset bool) responder {
	return func(_ int, w io.Writer, _ string, _ *http.Request) bool {
		_, _ = io.WriteString(w, text[:cut.Load()])
		if reset {
			_ = w.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// newProbedUpstream returns an upstream that any number of connections may end at, such as
// those that check whether it has crashed.
func newProbedUpstream(t *testing.T, f responder) *scriptedUpstream {
	t.Helper()
	u := newScriptedUpstream(t, f)
	go func() {
		for {
			select {
			case <-u.disconnected:
			case <-t.Context().Done():
				return
			}
		}
	}()
	return u
}

// answered sends a request in the given version of HTTP and reports whether the caller got a
// response that looks complete, and either is no failure, or states that the request has not
// run.
func answered(t *testing.T, b *testFront, proto, method, path string) (string, bool) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "%s %s %s\r\nHost: h\r\nId: id1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", method, path, proto); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return err.Error(), false
	}
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("status %d, %q", resp.StatusCode, body), err == nil && (resp.StatusCode < 500 || resp.StatusCode == 503)
}

// A response that every upstream cuts after the same byte, of its head, body or trailer,
// reaches the caller as a failure or visibly broken. Requests that may not be repeated reach
// one upstream only.
func TestCutResponseLooksAnswered(t *testing.T) {
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range cutResponses {
			for _, p := range cutPaths {
				for _, end := range []struct {
					name, proto string
					reset       bool
				}{{"closed", "HTTP/1.1", false}, {"reset", "HTTP/1.1", true}, {"closed, caller of HTTP/1.0", "HTTP/1.0", false}} {
					if p.stream && !tt.stream || !p.stream && end.proto == "HTTP/1.0" {
						continue // the end of the connection ends a stream for callers of HTTP/1.0
					}
					t.Run(tt.name+" "+p.path+" "+end.name, func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						var cut atomic.Int64
						cutting := respondCut(tt.text, &cut, end.reset)
						ups := []*scriptedUpstream{newProbedUpstream(t, cutting), newProbedUpstream(t, cutting)}
						b := newTestFront(t, 1e6, ups...)
						for ; cut.Load() < int64(len(tt.text)); cut.Add(1) {
							rows.Add(1)
							b.setUpstreams(ups...)
							before := ups[0].requests.Load() + ups[1].requests.Load()
							if got, ok := answered(t, b, end.proto, tt.method, p.path); ok {
								t.Errorf("cut after byte %d: %s: %q", cut.Load(), got, tt.text[:cut.Load()])
							}
							if !p.repeatable {
								is.Equal(ups[0].requests.Load()+ups[1].requests.Load(), before+1)
							}
						}
					})
				}
			}
		}
	})
	t.Logf("%d rows", rows.Load())
}

// The same holds for a later request over a kept connection.
func TestCutLaterResponseLooksAnswered(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n"
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range cutResponses {
			for _, p := range cutPaths {
				if p.repeatable || p.stream && !tt.stream || tt.method != "POST" {
					continue
				}
				t.Run(tt.name+" "+p.path, func(t *testing.T) {
					t.Parallel()
					var cut, cuts atomic.Int64
					var carried sync.Map // connections that have carried a request
					cutting := respondCut(tt.text, &cut, false)
					u := newProbedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
						if _, later := carried.LoadOrStore(w, true); !later {
							_, err := io.WriteString(w, whole)
							return err == nil
						}
						cuts.Add(1)
						return cutting(n, w, id, r)
					})
					b := newTestFront(t, 1e6, u)
					for ; cut.Load() < int64(len(tt.text)); cut.Add(1) {
						rows.Add(1)
						b.setUpstreams(u)
						for before := cuts.Load(); cuts.Load() == before; {
							got, ok := answered(t, b, "HTTP/1.1", tt.method, p.path)
							if isCut := cuts.Load() > before; ok == isCut {
								t.Fatalf("cut: %t, after byte %d: %s: %q", isCut, cut.Load(), got, tt.text[:cut.Load()])
							}
						}
					}
				})
			}
		}
	})
	t.Logf("%d rows", rows.Load())
}

// A begun stream does not look complete if the response that is to resume it is cut after any
// byte.
func TestCutResumedStreamLooksComplete(t *testing.T) {
	const event, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	begin := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event)
	head := "HTTP/1.1 200 OK\r\nId: id1\r\nSig: 1\r\n"
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range []struct{ name, text string }{
			{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)},
			{"length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(rest), rest)},
			{"length of zero", head + "Content-Length: 0\r\n\r\n"},
			{"no length", head + "\r\n" + rest},
			{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: id1\r\nSig: 1\r\n\r\n" + rest},
			{"103", "HTTP/1.1 103 Early\r\nId: id1\r\nSig: 1\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"},
			{"refusal", "HTTP/1.1 503 Busy\r\nId: id1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s reset=%t", tt.name, reset), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var cut, resumed atomic.Int64
					cutting := respondCut(tt.text, &cut, reset)
					f := func(n int, w io.Writer, id string, r *http.Request) bool {
						if r.Header.Get("Last") == "1" {
							resumed.Add(1)
							return cutting(n, w, id, r)
						}
						_, _ = io.WriteString(w, begin)
						return false
					}
					ups := []*scriptedUpstream{newProbedUpstream(t, f), newProbedUpstream(t, f)}
					b := newTestFront(t, 1e6, ups...)
					for ; cut.Load() < int64(len(tt.text)); cut.Add(1) {
						rows.Add(1)
						b.setUpstreams(ups...)
						before := resumed.Load()
						if got, ok := answered(t, b, "HTTP/1.1", "POST", "/resume/x"); ok {
							t.Errorf("cut after byte %d: %s: %q", cut.Load(), got, tt.text[:cut.Load()])
						}
						is.Equal(resumed.Load(), before+1)
					}
				})
			}
		}
	})
	t.Logf("%d rows", rows.Load())
}

// garbage is no continuation of any part of a body in chunks, each shorter than it.
var garbage = "\x00" + strings.Repeat("!", 256) + "\r\n\r\n" + strings.Repeat("!", 256)

// sendRaw writes text to a new connection, ends it as end says, and returns the status of
// the response, or zero if there is none. It returns once the server has finished with the
// request, unless the connection is closed in both directions.
func sendRaw(t *testing.T, addr, text, end string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The write fails if the server has ended the connection at the first malformed bytes.
	_, _ = io.WriteString(c, text)
	switch end {
	case "closed":
		return 0
	case "reset":
		_ = c.(*net.TCPConn).SetLinger(0)
		return 0
	case "closed for writing":
		_ = c.(*net.TCPConn).CloseWrite()
	}
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return 0
		}
		if resp.StatusCode != http.StatusContinue {
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp.StatusCode
		}
	}
}

// A request that its caller cuts after any byte of its head, body or trailer is not run, nor
// one in chunks that goes on with other bytes there.
func TestCutRequestIsRun(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: h\r\nId: id1\r\nKey: k\r\n"
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range []struct{ name, text string }{
			{"length", "POST /unsafe/x" + head + "Content-Length: 12\r\n\r\n0123456789ab"},
			{"length of zero", "POST /unsafe/x" + head + "Content-Length: 0\r\n\r\n"},
			{"chunks", "POST /unsafe/x" + head + "Transfer-Encoding: chunked\r\n\r\n10;a=b\r\n0123456789abcdef\r\n1\r\nx\r\n0\r\n\r\n"},
			{"chunks with a trailer", "POST /safe/x" + head + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n"},
			{"chunks of a stream", "POST /resume/x" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
			{"no chunks", "POST /unsafe/x" + head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
			{"length that is awaited", "POST /unsafe/x" + head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok"},
			{"no body", "GET /unsafe/x" + head + "\r\n"},
			{"folded line", "GET /unsafe/x" + head + "A: b\r\n c\r\n\r\n"},
			{"HTTP/1.0", "POST /unsafe/x HTTP/1.0\r\nHost: h\r\nId: id1\r\nKey: k\r\nContent-Length: 2\r\n\r\nok"},
		} {
			for _, end := range []string{"closed for writing", "closed", "reset", "other bytes"} {
				first, rest := 0, ""
				if end == "other bytes" {
					if first, rest = strings.Index(tt.text, "chunked\r\n\r\n")+len("chunked\r\n\r\n"), garbage; !strings.Contains(tt.text, "chunked") {
						continue
					}
				}
				t.Run(tt.name+" "+end, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					u := newProbedUpstream(t, respond(200, "data: a\n\n", "Sig: 1"))
					b := newTestFront(t, 1e6, u)
					addr := strings.TrimPrefix(b.url, "http://")
					for cut := first; cut < len(tt.text); cut++ {
						rows.Add(1)
						status := sendRaw(t, addr, tt.text[:cut]+rest, end)
						if got := u.requests.Load(); got != 0 || status != 0 && status < 400 {
							t.Fatalf("cut after byte %d, status %d, run %d times: %q", cut, status, got, tt.text[:cut])
						}
					}
					is.Equal(sendRaw(t, addr, tt.text, ""), 200) // the whole request
					b.server.Close()                             // waits for the handlers
					is.Equal(u.requests.Load(), int64(1))
				})
			}
		}
	})
	t.Logf("%d rows", rows.Load())
}
