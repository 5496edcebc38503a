package front_test

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/crash"
)

// newParts returns a tracker of prompt parts that counts the crashes that it would tell
// other nodes of.
func newParts(crashes *atomic.Int64) *crash.Parts {
	return crash.NewParts(crash.PartsConfig{
		BroadcastCrash: func(crash.PartCrash) { crashes.Add(1) }, BroadcastClear: func(uint64) {}, BroadcastConviction: func(crash.Conviction) {},
		Log: slog.New(slog.DiscardHandler),
	})
}

// A stream that two crashes broke off after its first event was not their cause: its
// caller may send it again.
func TestStreamThatBeganIsNoSuspect(t *testing.T) {
	is := is.New(t)
	text := "id: 1\n\nid: 2\n\n"
	cut := newScriptedUpstream(t, respondEvents(text, 8))
	cut2 := newScriptedUpstream(t, respondEvents(text, 8))
	b := newTestFront(t, 10, cut, cut2)
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, b.url+"/resume/x", strings.NewReader("x"))
		is.NoErr(err)
		req.Host = "h"
		req.Header.Set("Id", "1")
		req.Header.Set("Key", "k")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		is.True(resp.StatusCode != http.StatusUnprocessableEntity)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	is.True(cut.requests.Load()+cut2.requests.Load() > 2)
}

// A request whose connections were reset by upstreams that go on running is not refused as
// one that crashes them. One during which their processes ended is.
func TestResetsCountAsCrashes(t *testing.T) {
	for _, tt := range []struct {
		name     string
		upstream func(t *testing.T, f responder) *scriptedUpstream
		refused  bool
	}{
		{"reset", newScriptedUpstream, false},
		{"crash", newCrashingUpstream, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestFront(t, 10, tt.upstream(t, stall(0)), tt.upstream(t, stall(0)))
			_, _, _, err := b.send(t.Context(), "/safe/x") // reaches both
			is.NoErr(err)
			for end := time.Now().Add(5 * time.Second); tt.refused && b.crashes.RefusedCount() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			for range 3 {
				status, _, _, err := b.send(t.Context(), "/safe/x")
				is.NoErr(err)
				is.Equal(status == http.StatusUnprocessableEntity, tt.refused)
			}
		})
	}
}

// A request that crashes its upstreams after the first event of its answer is refused before
// it reaches a fourth one. Other requests are not, nor is one that was answered in between.
func TestRequestThatCrashesAfterItsFirstEvent(t *testing.T) {
	const crashes = 3 // after these the request is refused
	for _, tt := range []struct {
		name     string
		first    int  // bytes of the answer that arrive before the first crash
		answered bool // a complete answer comes before the last crash
	}{
		{"deadly", len("id: 1\ndata: a\n\n"), false},
		{"deadly, once before the event arrived", 1, false},
		{"cut by the crashes of others", len("id: 1\ndata: a\n\n"), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			answer := respondEvents(streamText, len("id: 1\ndata: a\n\n"))
			var ups []*scriptedUpstream
			for i := range crashes {
				f := answer
				if i == 0 {
					f = respondEvents(streamText, tt.first)
				}
				ups = append(ups, newCrashingUpstream(t, f))
			}
			sound := newScriptedUpstream(t, respondEvents(streamText, -1))
			b := newTestFront(t, 10, ups...)
			send := func(path string) int {
				status, _, _, _ := b.send(t.Context(), path) // the response of a crashing upstream is broken off
				return status
			}
			crashed := func() (n int64) {
				for _, u := range ups {
					n += u.requests.Load()
				}
				return n
			}
			for i := range crashes {
				if i == crashes-1 && tt.answered {
					b.setUpstreams(sound)
					is.Equal(send("/once/x"), http.StatusOK)
					b.setUpstreams(ups...)
				}
				send("/once/x")
				time.Sleep(450 * time.Millisecond) // crashes that are closer together count as one
			}
			is.Equal(crashed(), int64(crashes))
			b.setUpstreams(sound)
			if tt.answered {
				is.Equal(send("/once/x"), http.StatusOK)
				return
			}
			is.Equal(send("/once/x"), http.StatusUnprocessableEntity)
			is.Equal(send("/once/other"), http.StatusOK)
			is.Equal(sound.requests.Load(), int64(1))
		})
	}
}

// A crash counts although the upstream's listening socket is closed a little after its
// connections, as by the kernel at the end of a process.
func TestCrashWhoseListenerClosesLater(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		answer     responder
	}{
		{"before an answer", "/safe/x", stall(0)},
		{"inside a stream", "/once/x", respondEvents(streamText, len("id: 1\ndata: a\n\n"))},
		{"stream that states no end", "/once/x", respondRaw("id: 1\ndata: a\n\n", false)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var u *scriptedUpstream
			u = newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
				tt.answer(n, w, id, r)
				time.AfterFunc(10*time.Millisecond, func() { _ = u.listener.Close() })
				return false
			})
			b := newTestFront(t, 0, u)
			_, _, _, err := b.send(t.Context(), tt.path)
			is.True(err != nil || tt.path == "/safe/x")
			for end := time.Now().Add(5 * time.Second); b.partCrashes.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.True(b.partCrashes.Load() > 0)
		})
	}
}
