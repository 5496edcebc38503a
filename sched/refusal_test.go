package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// plainPlacer returns a placer with n upstreams of a plain service, which are named u0, u1
// and so on and have the incarnation 1.
func plainPlacer(n int) *sched.Placer {
	p := sched.New("a", &cache{})
	v := &mirror.View{Upstreams: map[string]vane.Upstream{}}
	for i := range n {
		name := fmt.Sprint("u", i)
		v.Upstreams[name] = vane.Upstream{Name: name, Service: "s", Role: vane.RoleService, DataCentre: "a", Slots: 4, Incarnation: 1}
	}
	p.Update(v)
	return p
}

// What an earlier start of an upstream said does not concern the present one.
func TestWishesOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := plainPlacer(1)
	is.True(!p.MarkLeaving("u0", 7))
	is.Equal(p.MarkRefused(now, "u0", 7, time.Minute), time.Duration(0))
	_, ok := p.Pick(now, sched.Query{ID: "r", Service: "s"})
	is.True(ok)
	is.True(p.MarkLeaving("u0", 1))
	is.True(!p.MarkLeaving("u0", 1)) // known already
	_, ok = p.Pick(now, sched.Query{ID: "r", Service: "s"})
	is.True(!ok)
}

// After the end of its time, an upstream gets one request, and more once it has served that
// one.
func TestReturnWithOneRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := plainPlacer(1)
	q := sched.Query{ID: "r", Service: "s"}
	d := p.MarkRefused(now, "u0", 1, 2*time.Second)
	is.True(d >= 2*time.Second && d <= 2500*time.Millisecond)
	wait, ok := p.RetryAfter(now, "s")
	is.True(ok)
	is.Equal(wait, d)
	_, ok = p.Pick(now.Add(d-time.Millisecond), q)
	is.True(!ok)
	now = now.Add(d)
	first, ok := p.Pick(now, q)
	is.True(ok)
	a := p.Begin(now, q, first)
	_, ok = p.Pick(now, q)
	is.True(!ok) // the first one has not been answered
	p.Observe(now, "u0", vane.ResponseMeta{})
	_, ok = p.Pick(now, q)
	is.True(ok)
	p.End(now, a)
	_, ok = p.RetryAfter(now, "s")
	is.True(!ok)
}

// The nodes do not return to an upstream at the same moment, and no time is longer than the
// bound.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	seen := make(map[time.Duration]bool)
	for range 50 {
		d := plainPlacer(1).MarkRefused(now, "u0", 1, 1<<62)
		is.True(d <= 31*time.Second)
		seen[d] = true
	}
	is.True(len(seen) > 40)
}

// A shorter time that is named later does not end a longer one.
func TestLongerTimeStays(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := plainPlacer(1)
	p.MarkRefused(now, "u0", 1, 10*time.Second)
	p.MarkRefused(now, "u0", 1, time.Second)
	_, ok := p.Pick(now.Add(9*time.Second), sched.Query{ID: "r", Service: "s"})
	is.True(!ok)
}
