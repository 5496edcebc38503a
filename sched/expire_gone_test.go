package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// An engine whose entry is gone or was renewed while requests wait may still begin them.
func TestRequestsAtEnginesWithoutEntryAreWithdrawn(t *testing.T) {
	history := []mirror.WeightsVersion{{Number: 1, Since: begin.Add(-time.Hour)}, {Number: 2, Since: begin}}
	for _, tt := range []struct {
		name   string
		change func(v *mirror.View, u vane.Upstream)
	}{
		{"entry removed", func(v *mirror.View, u vane.Upstream) { delete(v.Upstreams, u.Name) }},
		{"entry of another incarnation", func(v *mirror.View, u vane.Upstream) { u.Incarnation++; v.Upstreams[u.Name] = u }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := sched.New("dc0", &cache{}, sched.WithWeightsLimit(12*time.Second))
			p.Update(view(1, same(1), history...))
			q := query(0, 0)
			c, ok := p.Pick(begin, q)
			is.True(ok)
			a := p.Begin(begin, q, c)
			withdrawn := 0
			p.OnExpire(a, func() { withdrawn++ })
			v := view(1, same(1), history...)
			tt.change(v, c.Upstream)
			p.Update(v)
			is.Equal(len(p.ExpireWaiting(begin.Add(11*time.Second))), 0)
			is.Equal(len(p.ExpireWaiting(begin.Add(11600*time.Millisecond))), 1)
			is.Equal(len(p.ExpireWaiting(begin.Add(11700*time.Millisecond))), 0)
			p.End(begin.Add(12*time.Second), a)
			is.Equal(withdrawn, 1)
			is.Equal(len(p.InFlight()), 0)
		})
	}
}
