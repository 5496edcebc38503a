package store_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/store"
)

// client returns a fake platform and a client that calls it without sockets.
func client(opts ...store.Option) (*plat.Platform, *plat.Transport, *store.Client) {
	p := plat.New()
	d := plat.NewTransport(p, 1)
	opts = append([]store.Option{store.WithHTTPClient(&http.Client{Transport: d}), store.WithTimeout(500 * time.Millisecond)}, opts...)
	return p, d, store.New("http://platform", opts...)
}

func TestObjects(t *testing.T) {
	is := is.New(t)
	_, _, c := client()
	ctx := t.Context()
	_, err := c.Get(ctx, "a/b")
	is.Equal(vane.KindOf(err), vane.KindNotFound)
	v1, err := c.Put(ctx, "a/b", 0, []byte("one"))
	is.NoErr(err)
	_, err = c.Put(ctx, "a/b", 0, []byte("two"))
	is.Equal(vane.KindOf(err), vane.KindConflict)
	v2, err := c.Put(ctx, "a/b", v1, []byte("two"))
	is.NoErr(err)
	is.True(v2 > v1)
	o, err := c.Get(ctx, "a/b")
	is.NoErr(err)
	is.Equal(string(o.Value), "two")
	is.Equal(o.Version, v2)
	b, err := c.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(b.Objects), 1)
	is.Equal(b.Revision, v2)
	is.Equal(vane.KindOf(c.Delete(ctx, "a/b", v1)), vane.KindConflict)
	is.NoErr(c.Delete(ctx, "a/b", v2))
	is.NoErr(c.Delete(ctx, "a/b", v2)) // deleting a missing object succeeds
	w, err := c.Watch(ctx, "a/", v1)
	is.NoErr(err)
	is.Equal(len(w.Objects), 2)
	is.True(w.Objects[1].Deleted)
	_, err = c.Put(ctx, "big", 0, make([]byte, 1<<20+1))
	is.Equal(vane.KindOf(err), vane.KindInvalid)
}

// TestLostResponses drops the responses to half of the writes that took effect. Put
// must find out that such a write succeeded, or report an unknown outcome.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _, c := client()
		p.SetFaults(plat.Faults{LoseResponses: 0.5})
		version, want := uint64(0), ""
		for i := range 50 {
			want = string(rune('a'+i%26)) + time.Now().String()
			v, err := c.Put(t.Context(), "k", version, []byte(want))
			if vane.KindOf(err) == vane.KindUnknownOutcome {
				o, err := c.Get(t.Context(), "k")
				is.NoErr(err)
				is.Equal(string(o.Value), want) // the write took effect
				v = o.Version
			} else {
				is.NoErr(err)
			}
			is.True(v > version)
			version = v
			time.Sleep(2 * time.Second) // long enough for the circuit breaker to close
		}
		p.SetFaults(plat.Faults{})
		o, err := c.Get(t.Context(), "k")
		is.NoErr(err)
		is.Equal(string(o.Value), want)
		is.Equal(o.Version, version)
	})
}

// TestBreaker makes the platform fail: after five failures the circuit breaker opens
// and calls are no longer sent; they succeed again soon after the platform recovers.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var states []bool
		p, _, c := client(store.WithStateFunc(func(up bool) { states = append(states, up) }))
		p.SetFaults(plat.Faults{Down: true})
		for range 5 {
			_, err := c.Get(t.Context(), "k")
			is.Equal(vane.KindOf(err), vane.KindUnavailable)
		}
		calls := p.Counts()
		_, err := c.Put(t.Context(), "k", 0, nil)
		is.Equal(vane.KindOf(err), vane.KindUnavailable) // the write was not sent, so it had no effect
		is.Equal(p.Counts(), calls)
		p.SetFaults(plat.Faults{})
		time.Sleep(2 * time.Second)
		_, err = c.Get(t.Context(), "k")
		is.Equal(vane.KindOf(err), vane.KindNotFound)
		is.Equal(states, []bool{false, true})
	})
}

func TestStatuses(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults plat.Faults
		kind   vane.Kind
	}{
		{"write limit", plat.Faults{WriteRate: 0.001}, vane.KindUnavailable},
		{"lost before it took effect", plat.Faults{DropWrites: 1}, vane.KindUnknownOutcome},
		{"slower than the timeout", plat.Faults{DelayMS: 2000}, vane.KindUnknownOutcome},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, _, c := client()
				p.SetFaults(tt.faults)
				_, err := c.Put(t.Context(), "k", 0, []byte("x"))
				_, err2 := c.Put(t.Context(), "l", 0, []byte("x"))
				if err == nil {
					err = err2 // the rate limit lets the first write pass
				}
				is.Equal(vane.KindOf(err), tt.kind)
				time.Sleep(10 * time.Second)
			})
		})
	}
}

func TestWatchResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, c := client()
		go func() {
			time.Sleep(time.Second)
			_, _ = c.Put(t.Context(), "w/1", 0, []byte("x"))
		}()
		b, err := c.Watch(t.Context(), "w/", 0)
		is.NoErr(err)
		is.Equal(len(b.Objects), 1)
		b, err = c.Watch(t.Context(), "w/", b.Revision)
		is.NoErr(err)
		is.Equal(len(b.Objects), 0) // the watch's wait time ended without a change
		version := uint64(0)
		for range 5000 {
			version, err = c.Put(t.Context(), "v", version, nil)
			is.NoErr(err)
		}
		_, err = c.Watch(t.Context(), "w/", 1)
		is.Equal(vane.KindOf(err), vane.KindCompacted)
	})
}
