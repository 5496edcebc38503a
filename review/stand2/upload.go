package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the uploads, from the SIGTERM on.
const (
	uploadBegin = 2500 * time.Millisecond // first byte of the header
	uploadEnd   = 3800 * time.Millisecond // last byte of the body
	excusedTo   = 3 * time.Second         // a request sent no later than this is excused
	uploadBytes = 1 << 20                 // body-bytes is four times as much
	uploads     = 6
	uploadPart  = 16 << 10
)

// upload is what a requester saw of one request.
type upload struct {
	id       string
	sent     time.Duration // of the last byte, from the SIGTERM on
	status   int
	complete bool
	ended    time.Duration
}

// caseUpload sends requests with long bodies to a node that gets SIGTERM. Each requester has a
// channel that it has used before, and a directory's answer that it may still use.
func caseUpload(w *world) int {
	const limit = 15 * time.Second
	w.beginRollouts(route("r-stock", reading.path, "safe", reading.limit, 2), route("r-draft", "/draft/", "stream", limit, 1))
	w.startVersion("v1", func(r *http.Request) answer {
		if strings.HasPrefix(r.URL.Path, "/draft/") {
			return answer{status: http.StatusOK, work: 250 * time.Millisecond, events: 24}
		}
		return good(r)
	})
	time.Sleep(3 * time.Second)
	x := w.nodes[0]
	begin := time.Now().Add(500 * time.Millisecond)
	results := make([]upload, uploads)
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = w.upload(fmt.Sprintf("draft-%d", i+1), addr(x.ip, w.ports.front), begin, limit)
		}()
	}
	time.Sleep(time.Until(begin))
	if w.trouble {
		x.terminate()
	}
	wg.Wait()
	ran := make(map[string]bool)
	w.mu.Lock()
	for _, a := range w.arrivals {
		ran[a.id] = true
	}
	w.mu.Unlock()
	lost := 0
	for _, u := range results {
		w.say("%s: last byte sent %.2f s after the SIGTERM, run by a server: %t, status %d, whole answer: %t, channel ended at %.2f s", u.id, u.sent.Seconds(), ran[u.id], u.status, u.complete, u.ended.Seconds())
		if ran[u.id] && !u.complete && u.sent > excusedTo && u.ended < grace {
			lost++
		}
	}
	if lost > 0 {
		w.say("LOST is broken: %d requests", lost)
		return exitBroken
	}
	w.say("LOST held")
	return exitHeld
}

// upload sends a short request, and then one with a long body over the same channel.
func (w *world) upload(id, to string, begin time.Time, limit time.Duration) upload {
	u := upload{id: id}
	c, err := net.Dial("tcp", to)
	w.must(err)
	defer c.Close()
	br := bufio.NewReader(c)
	w.sent("first-" + id)
	_, err = fmt.Fprintf(c, "GET %sfirst-%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: first-%s\r\nX-Deadline-Ms: 1000\r\n\r\n", reading.path, id, host, id)
	w.must(err)
	resp, err := http.ReadResponse(br, nil)
	w.must(err)
	_, err = io.Copy(io.Discard, resp.Body)
	w.must(err)
	w.record("answered first-%s: status %d", id, resp.StatusCode)
	time.Sleep(time.Until(begin.Add(uploadBegin)))
	w.record("sent the header of %s", id)
	_, err = fmt.Fprintf(c, "POST /draft/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, host, id, limit.Milliseconds(), uploadBytes)
	part := []byte(strings.Repeat(".", uploadPart))
	const parts = uploadBytes / uploadPart
	for i := 0; i < parts && err == nil; i++ {
		time.Sleep(time.Until(begin.Add(uploadBegin + (uploadEnd-uploadBegin)*time.Duration(i+1)/parts)))
		_, err = c.Write(part)
	}
	u.sent = time.Since(begin)
	w.record("sent the last byte of %s, error: %v", id, err)
	w.sent(id)
	if resp, err = http.ReadResponse(br, nil); err == nil {
		u.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		u.complete = err == nil
	}
	u.ended = time.Since(begin)
	w.record("answered %s: status %d, error: %v", id, u.status, err)
	return u
}
