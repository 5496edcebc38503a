package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Bodies of chat responses, in which ID stands for the request's id.
const (
	chatAnswer = `{"id":"chatcmpl-ID","choices":[{}]}`
	chatEvents = "data: {\"id\":\"chatcmpl-ID\",\"choices\":[{}]}\n\ndata: [DONE]\n\n"
)

// idLength is the length of a request's id.
const idLength = 32

// chunked returns the head of a response in chunks and the body in one.
func chunked(head, body string) string {
	n := len(strings.ReplaceAll(body, "ID", strings.Repeat("x", idLength)))
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%s\r\n0\r\n\r\n", head, n, body)
}

// measured returns the head of a response with a length and the body.
func measured(head, body string) string {
	n := len(strings.ReplaceAll(body, "ID", strings.Repeat("x", idLength)))
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, n, body)
}

const headOK = "HTTP/1.1 200 OK\r\nA: b\r\n"

// cutResponses are whole responses, none of which is complete before its last byte.
var cutResponses = []struct{ name, path, method, text string }{
	{"length", "/safe", "POST", measured(headOK, "0123456789ab")},
	{"length of zero", "/safe", "POST", headOK + "Content-Length: 0\r\n\r\n"},
	{"chunks", "/safe", "POST", chunked(headOK, "0123456789abcdef")},
	{"no chunks", "/safe", "POST", headOK + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"chunks with a trailer", "/safe", "POST", headOK + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n"},
	{"no length", "/safe", "POST", headOK + "\r\n"},
	{"HTTP/1.0", "/safe", "POST", "HTTP/1.0 200 OK\r\nA: b\r\n\r\n"},
	{"lines that end with LF", "/safe", "POST", "HTTP/1.1 200 OK\nContent-Length: 0\n\n"},
	{"folded line", "/safe", "POST", headOK + " c\r\nContent-Length: 0\r\n\r\n"},
	{"100", "/safe", "POST", "HTTP/1.1 100 Continue\r\n\r\n" + headOK + "Content-Length: 0\r\n\r\n"},
	{"102", "/safe", "POST", "HTTP/1.1 102 Wait\r\nContent-Length: 0\r\n\r\n" + headOK + "\r\n"},
	{"103", "/safe", "POST", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + chunked(headOK, "ab")},
	{"101", "/safe", "POST", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + headOK + "Content-Length: 0\r\n\r\n"},
	{"204", "/safe", "POST", "HTTP/1.1 204 None\r\nA: b\r\n\r\n"},
	{"304", "/safe", "GET", "HTTP/1.1 304 Same\r\nContent-Length: 12\r\n\r\n"},
	{"404", "/safe", "POST", measured("HTTP/1.1 404 None\r\n", "no")},
	{"503", "/safe", "POST", measured("HTTP/1.1 503 Busy\r\n", "no")},
	{"HEAD", "/safe", "HEAD", headOK + "Content-Length: 12\r\n\r\n"},
	{"HEAD without a length", "/safe", "HEAD", headOK + "\r\n"},
	{"length", "/unsafe", "POST", measured(headOK, "0123456789ab")},
	{"length of zero", "/unsafe", "POST", headOK + "Content-Length: 0\r\n\r\n"},
	{"chunks", "/unsafe", "POST", chunked(headOK, "0123456789abcdef")},
	{"no length", "/unsafe", "POST", headOK + "\r\n"},
	{"103", "/unsafe", "POST", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + headOK + "Content-Length: 0\r\n\r\n"},
	{"101", "/unsafe", "POST", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + headOK + "Content-Length: 0\r\n\r\n"},
	{"204", "/unsafe", "POST", "HTTP/1.1 204 None\r\nA: b\r\n\r\n"},
	{"503", "/unsafe", "POST", measured("HTTP/1.1 503 Busy\r\n", "no")},
	{"length", "/chat", "POST", measured(headOK, chatAnswer)},
	{"length of zero", "/chat", "POST", headOK + "Content-Length: 0\r\n\r\n"},
	{"chunks", "/chat", "POST", chunked(headOK, chatAnswer)},
	{"no length", "/chat", "POST", headOK + "\r\n" + chatAnswer},
	{"103", "/chat", "POST", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + measured(headOK, chatAnswer)},
	{"101", "/chat", "POST", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + measured(headOK, chatAnswer)},
	{"503", "/chat", "POST", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
	{"length", "/stream", "POST", measured(headOK, chatEvents)},
	{"length of zero", "/stream", "POST", headOK + "Content-Length: 0\r\n\r\n"},
	{"no length", "/stream", "POST", headOK + "\r\n" + chatEvents},
	{"HTTP/1.0", "/stream", "POST", "HTTP/1.0 200 OK\r\n\r\n" + chatEvents},
	{"no chunks", "/stream", "POST", headOK + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"103", "/stream", "POST", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + measured(headOK, chatEvents)},
	{"101", "/stream", "POST", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + measured(headOK, chatEvents)},
	{"503", "/stream", "POST", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
}

// respondCut writes the first bytes of text, as many as cut says, and ends the connection,
// with a reset if reset is set.
func respondCut(text string, cut *atomic.Int64, reset bool) responder {
	return func(c net.Conn, r *http.Request, _ bool) bool {
		whole := strings.ReplaceAll(text, "ID", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(c, whole[:cut.Load()])
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// requestText returns the request whose response is on trial: a call of a plain service, a
// chat without a stream (/chat), or one with a stream (/stream).
func requestText(method, path string) (target, body string) {
	switch path {
	case "/chat", "/stream":
		return "/v1/chat/completions", fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":2,"stream":%t}`, path == "/stream")
	}
	if method != "POST" {
		return "/v1/services/s" + path, ""
	}
	return "/v1/services/s" + path, "body"
}

// answered sends a request and reports whether the caller got a response that looks
// complete, and either is no failure, or states that the request has not run.
func answered(t *testing.T, url, method, path, key string) (string, bool) {
	t.Helper()
	target, body := requestText(method, path)
	req, err := http.NewRequestWithContext(t.Context(), method, url+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = http.Header{"Authorization": {"Bearer k"}, "Idempotency-Key": {key}}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return err.Error(), false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	got := fmt.Sprintf("status %d, %q, %v", resp.StatusCode, b, err)
	if path == "/stream" && resp.StatusCode == 200 {
		return got, strings.Contains(string(b), "[DONE]") || err == nil && !strings.Contains(string(b), "event: error")
	}
	return got, err == nil && (resp.StatusCode < 500 || resp.Header.Get("Mustardvane-Execution") == "not_run")
}

// upstreamsFor returns the number of upstreams that are on trial with a request. The router
// waits after the second engine that fails.
func upstreamsFor(path string) int {
	if path == "/chat" || path == "/stream" {
		return 1
	}
	return 2
}

// A response that every upstream cuts after the same byte, of its head, body or trailer,
// reaches the caller as a failure or visibly broken. Calls that may not be repeated reach one
// upstream only.
func TestCutResponseLooksAnswered(t *testing.T) {
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range cutResponses {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s reset=%t", tt.name, tt.path, reset), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var cut atomic.Int64
					cutting := respondCut(tt.text, &cut, reset)
					ups := []*scriptedUpstream{newScriptedUpstream(t, cutting), newScriptedUpstream(t, cutting)}
					srv := newTestServer(t, ups[:upstreamsFor(tt.path)]...)
					length := len(strings.ReplaceAll(tt.text, "ID", strings.Repeat("x", idLength)))
					for ; cut.Load() < int64(length); cut.Add(1) {
						rows.Add(1)
						before := ups[0].requests.Load() + ups[1].requests.Load()
						if got, ok := answered(t, srv.URL, tt.method, tt.path, strconv.Itoa(int(cut.Load()))); ok {
							t.Errorf("cut after byte %d: %s", cut.Load(), got)
						}
						if tt.path == "/unsafe" {
							is.Equal(ups[0].requests.Load()+ups[1].requests.Load(), before+1)
						}
					}
				})
			}
		}
	})
	t.Logf("%d rows", rows.Load())
}

// The same holds for a later request over a kept connection.
func TestCutLaterResponseLooksAnswered(t *testing.T) {
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range cutResponses {
			if tt.path == "/unsafe" || tt.method != "POST" {
				continue // these have a new connection, or net/http repeats them over one
			}
			t.Run(tt.name+" "+tt.path, func(t *testing.T) {
				t.Parallel()
				var cut, cuts atomic.Int64
				cutting := respondCut(tt.text, &cut, false)
				u := newScriptedUpstream(t, func(c net.Conn, r *http.Request, first bool) bool {
					if first {
						_, err := io.WriteString(c, strings.ReplaceAll(measured(headOK, chatAnswer), "ID", r.Header.Get("X-Request-Id")))
						return err == nil
					}
					cuts.Add(1)
					return cutting(c, r, first)
				})
				srv := newTestServer(t, u)
				before := tt.path // a stream does not keep its connection, a chat does
				if before == "/stream" {
					before = "/chat"
				}
				length := len(strings.ReplaceAll(tt.text, "ID", strings.Repeat("x", idLength)))
				for ; cut.Load() < int64(length); cut.Add(1) {
					rows.Add(1)
					for seen := cuts.Load(); cuts.Load() == seen; {
						for _, path := range []string{before, tt.path} {
							n := cuts.Load()
							if got, ok := answered(t, srv.URL, tt.method, path, "key"); ok && cuts.Load() > n {
								t.Errorf("cut after byte %d: %s", cut.Load(), got)
							}
						}
					}
				}
			})
		}
	})
	t.Logf("%d rows", rows.Load())
}

// A begun stream does not look complete if the response that is to resume it is cut after any
// byte.
func TestCutResumedStreamLooksComplete(t *testing.T) {
	const event = "data: {\"id\":\"chatcmpl-ID\",\"choices\":[{}]}\n\n"
	begin := strings.TrimSuffix(chunked(headOK, event), "0\r\n\r\n")
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range []struct{ name, text string }{
			{"chunks", chunked(headOK, "data: [DONE]\n\n")},
			{"length", measured(headOK, "data: [DONE]\n\n")},
			{"length of zero", headOK + "Content-Length: 0\r\n\r\n"},
			{"no length", headOK + "\r\ndata: [DONE]\n\n"},
			{"103", "HTTP/1.1 103 Early\r\n\r\n" + headOK + "Content-Length: 0\r\n\r\n"},
		} {
			t.Run(tt.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var whole, cut atomic.Int64
				whole.Store(int64(len(strings.ReplaceAll(begin, "ID", strings.Repeat("x", idLength)))))
				first, next := newScriptedUpstream(t, respondCut(begin, &whole, false)), newScriptedUpstream(t, respondCut(tt.text, &cut, false))
				srv := newTestServer(t, first, next)
				length := len(tt.text)
				if i := strings.Index(tt.text, "[DONE]\n\n"); i >= 0 {
					length = i + len("[DONE]\n\n") // the last event ends the stream
				}
				for ; cut.Load() < int64(length); cut.Add(1) {
					rows.Add(1)
					got, ok := answered(t, srv.URL, "POST", "/stream", "key")
					if ok {
						t.Errorf("cut after byte %d: %s", cut.Load(), got)
					}
					is.True(strings.Contains(got, "status 200")) // the stream had begun
					is.Equal(next.requests.Load(), cut.Load()+1)
				}
			})
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
	const head = " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nIdempotency-Key: a\r\n"
	target, chat := requestText("POST", "/chat")
	var rows atomic.Int64
	t.Run("all", func(t *testing.T) {
		for _, tt := range []struct{ name, text string }{
			{"length", "POST /v1/services/s/unsafe" + head + "Content-Length: 12\r\n\r\n0123456789ab"},
			{"length, may be repeated", "POST /v1/services/s/safe" + head + "Content-Length: 12\r\n\r\n0123456789ab"},
			{"chunks", "POST /v1/services/s/unsafe" + head + "Transfer-Encoding: chunked\r\n\r\n10;a=b\r\n0123456789abcdef\r\n0\r\n\r\n"},
			{"chunks with a trailer", "POST /v1/services/s/unsafe" + head + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n"},
			{"no chunks", "POST /v1/services/s/safe" + head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
			{"length that is awaited", "POST /v1/services/s/unsafe" + head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok"},
			{"no body", "GET /v1/services/s/safe" + head + "\r\n"},
			{"chat", "POST " + target + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chat), chat)},
			{"chat in chunks", "POST " + target + head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(chat), chat)},
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
					u := newScriptedUpstream(t, func(c net.Conn, r *http.Request, _ bool) bool {
						_, err := io.WriteString(c, strings.ReplaceAll(measured(headOK, chatAnswer), "ID", r.Header.Get("X-Request-Id")))
						return err == nil
					})
					srv := newTestServer(t, u)
					addr := strings.TrimPrefix(srv.URL, "http://")
					for cut := first; cut < len(tt.text); cut++ {
						rows.Add(1)
						status := sendRaw(t, addr, tt.text[:cut]+rest, end)
						if got := u.requests.Load(); got != 0 || status != 0 && status < 400 {
							t.Fatalf("cut after byte %d, status %d, run %d times: %q", cut, status, got, tt.text[:cut])
						}
					}
					is.Equal(sendRaw(t, addr, tt.text, ""), 200) // the whole request
					srv.Close()                                  // waits for the handlers
					is.Equal(u.requests.Load(), int64(1))
				})
			}
		}
	})
	t.Logf("%d rows", rows.Load())
}
