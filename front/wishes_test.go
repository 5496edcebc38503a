package front_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// An upstream that says in an answer that it is leaving gets no further request, also if
// the store still lists it and no other one is left. A new start of it does.
func TestLeavingUpstreamGetsNoFurtherRequests(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		answer     responder
	}{
		{"plain", "/unsafe/x", respond(200, "a", "Sig: 1", "Leaving: 1")},
		{"error", "/unsafe/x", respond(404, "a", "Leaving: 1")},
		{"refusal", "/unsafe/x", respond(503, "", "Not-Run: 1", "Leaving: 1")},
		{"stream", "/once/x", respond(200, "id: 1\ndata: a\n\n", "Sig: 1", "Leaving: 1")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newScriptedUpstream(t, tt.answer)
			b := newTestFront(t, 10, u)
			_, _, _, err := b.send(context.Background(), tt.path, "Id", "1")
			is.NoErr(err)
			time.Sleep(afterPause) // a refusal alone keeps requests away only for a moment
			for range 3 {
				status, _, _, err := b.send(context.Background(), tt.path, "Id", "2")
				is.NoErr(err)
				is.Equal(status, 503)
			}
			is.Equal(u.requests.Load(), int64(1))

			b.placer.Update(b.view) // the same start, as the store lists it
			_, _, _, err = b.send(context.Background(), tt.path, "Id", "3")
			is.NoErr(err)
			is.Equal(u.requests.Load(), int64(1))

			next := &mirror.View{Config: b.view.Config, Upstreams: map[string]vane.Upstream{"u0": b.view.Upstreams["u0"].WithIncarnation(9)}}
			b.placer.Update(next)
			_, _, _, err = b.send(context.Background(), tt.path, "Id", "4")
			is.NoErr(err)
			is.Equal(u.requests.Load(), int64(2))
		})
	}
}

// An upstream that refuses with a time to return gets nothing meanwhile, and callers are
// told that time at once if no other upstream is left.
func TestUpstreamThatWantsNoRequests(t *testing.T) {
	is := is.New(t)
	const back = 1200 * time.Millisecond
	refuse := respond(503, "", "Not-Run: 1", "Back-In-Ms: "+strconv.FormatInt(back.Milliseconds(), 10))
	u := newScriptedUpstream(t, refuse)
	b := newTestFront(t, 100, u)
	begin := time.Now()
	_, _, _, err := b.send(context.Background(), "/safe/x", "Id", "0")
	is.NoErr(err)
	for i := 1; time.Since(begin) < back; i++ {
		at := time.Now()
		status, h, _, err := b.send(context.Background(), "/safe/x", "Id", strconv.Itoa(i))
		is.NoErr(err)
		is.Equal(status, 503)
		is.True(time.Since(at) < 100*time.Millisecond) // refused at once
		s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(time.Since(begin)+time.Duration(s*float64(time.Second)) >= back)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(u.requests.Load(), int64(1))
}

// Requests go to the other upstreams meanwhile.
func TestOtherUpstreamsServeMeanwhile(t *testing.T) {
	is := is.New(t)
	refusing := newScriptedUpstream(t, respond(503, "", "Not-Run: 1", "Back-In-Ms: 60000"))
	serving := newScriptedUpstream(t, respondSigned(200, "a"))
	b := newTestFront(t, 100, refusing, serving)
	for i := range 20 {
		time.Sleep(afterPause / 4)
		status, _, _, err := b.send(context.Background(), "/unsafe/x", "Id", strconv.Itoa(i))
		is.NoErr(err)
		is.Equal(status, 200)
	}
	is.True(refusing.requests.Load() <= 1)
	is.Equal(serving.requests.Load(), int64(20))
}
