package front_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Guards against requests at upstreams whose machines have just become slow, and against
// load checks that delay requests because upstreams do not answer them.
func TestLoadChecks(t *testing.T) {
	for _, tt := range []struct {
		name    string
		stated  float64 // slowdown that the upstreams stated lately
		load    func(ctx context.Context, name string) (vane.Load, bool)
		checked int  // upstreams that are asked
		other   bool // the request goes to the upstream that was not asked first
	}{
		{"as usual", 1, nil, 0, false},
		{"quick", 2.5, func(context.Context, string) (vane.Load, bool) { return vane.Load{Slowdown: 1}, true }, 1, false},
		{"the first is slow", 2.5, func() func(context.Context, string) (vane.Load, bool) {
			first := ""
			return func(_ context.Context, name string) (vane.Load, bool) {
				if first == "" {
					first = name
				}
				if name == first {
					return vane.Load{Slowdown: 4}, true
				}
				return vane.Load{Slowdown: 1}, true
			}
		}(), 2, true},
		{"no answer", 2.5, func(ctx context.Context, _ string) (vane.Load, bool) { <-ctx.Done(); return vane.Load{}, false }, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, c := newScriptedUpstream(t, respondSigned(200, "ok")), newScriptedUpstream(t, respondSigned(200, "ok"))
			b := newTestFront(t, 0, a, c)
			b.load = tt.load
			for name := range upstreamsOf(b.upstreams) {
				for range 50 {
					b.placer.RecordLoad(clock.BootTime().Add(-time.Minute), name, vane.Load{Slowdown: tt.stated})
				}
			}
			began := time.Now()
			status, _, _, err := b.send(t.Context(), "/unsafe/x")
			is.NoErr(err)
			is.Equal(status, 200)
			is.True(time.Since(began) < 5*time.Second)
			b.mu.Lock()
			defer b.mu.Unlock()
			is.Equal(len(b.checked), tt.checked)
			if tt.checked > 0 {
				served := map[string]int64{}
				for name, u := range upstreamsOf(b.upstreams) {
					for _, s := range b.upstreams {
						if s.addr == u.Addr {
							served[name] = s.requests.Load()
						}
					}
				}
				is.Equal(served[b.checked[0]] == 0, tt.other)
			}
		})
	}
}
