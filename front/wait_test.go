package front_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/internal/clock"
)

// waitsFor returns once n requests wait at the front.
func (b *testFront) waitsFor(t *testing.T, n int) {
	t.Helper()
	for range 500 {
		if b.handler.Waiting() == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d requests wait, not %d", b.handler.Waiting(), n)
}

// markFull makes the only upstream full for about d.
func (b *testFront) markFull(d time.Duration) {
	b.placer.MarkFull(clock.BootTime().Add(d), "u0")
}

// A request that arrives while all upstreams are full for the moment is served when they
// have room, instead of being refused.
func TestWaitsForFullUpstream(t *testing.T) {
	is := is.New(t)
	u := newScriptedUpstream(t, respondSigned(200, "ok"))
	b := newTestFront(t, 5, u)
	b.markFull(0)
	status, _, body, err := b.send(t.Context(), "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "ok")
	b.waitsFor(t, 0)
}

// A request must leave its place in the queue when its caller leaves.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	is := is.New(t)
	u := newScriptedUpstream(t, respondSigned(200, "ok"))
	b := newTestFront(t, 5, u)
	b.markFull(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _, _ = b.send(ctx, "/unsafe/x")
	}()
	b.waitsFor(t, 1)
	cancel()
	<-done
	b.waitsFor(t, 0)
	is.Equal(u.requests.Load(), int64(0))
}

// A waiting request that can't be served any more is refused as not run, at once.
func TestWaitingRequestsAreRefusedTruthfully(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(b *testFront)
	}{
		{"the node stops", func(b *testFront) { b.handler.Stop() }},
		{"all upstreams are gone", func(b *testFront) { b.setUpstreams() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newScriptedUpstream(t, respondSigned(200, "ok"))
			b := newTestFront(t, 5, u)
			b.markFull(time.Minute)
			done := make(chan struct{})
			go func() {
				defer close(done)
				status, hdr, _, err := b.send(context.Background(), "/unsafe/x")
				is.NoErr(err)
				is.Equal(status, http.StatusServiceUnavailable)
				is.True(hdr.Get("Retry-After") != "")
			}()
			b.waitsFor(t, 1)
			tt.end(b)
			<-done
			is.Equal(u.requests.Load(), int64(0))
			is.Equal(b.quota.refunds.Load(), int64(1))
		})
	}
}

// A request that would be answered too late is refused before it is sent, with a
// Retry-After that the caller has the time for. Without the other nodes' backlog it is
// served.
func TestBacklogIsRefusedAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name    string
		backlog time.Duration
		status  int
	}{{"no backlog", 0, 200}, {"backlog", 20 * time.Second, 503}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newScriptedUpstream(t, respondSigned(200, "ok"))
			b := newTestFront(t, 5, u)
			b.placer.SetPeerWork("n1", map[string]admit.Report{"s": {Outstanding: tt.backlog, Demand: 2}})
			status, hdr, _, err := b.send(t.Context(), "/unsafe/x", "Limit-Ms", "3000")
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.Equal(u.requests.Load() == 0, tt.status == 503)
			if tt.status == 503 {
				s, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(s > 0 && s <= 1)
			}
		})
	}
}
