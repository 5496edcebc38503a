package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// plainView returns two upstreams of a plain service.
func plainView() *mirror.View {
	return replay{upstreams: 2, workMS: 30, nodes: 1}.view()
}

// plainQuery is a request to the plain service.
var plainQuery = sched.Query{ID: "q", Service: "plain", Objective: 300 * time.Millisecond}

// Guards against upstreams that stay avoided because they were slow once, and against all
// nodes preferring the upstream that was seen to be quick.
func TestStatedSlowdownFades(t *testing.T) {
	estimate := func(p *sched.Placer, now time.Time, name string) time.Duration {
		q := plainQuery
		q.Avoid = []string{map[string]string{"e00": "e01", "e01": "e00"}[name]}
		c, ok := p.Pick(now, q)
		if !ok || c.Upstream.Name != name {
			t.Fatalf("picked %q", c.Upstream.Name)
		}
		return c.Estimate
	}
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(plainView())
	p.RecordLoad(begin, "e00", vane.Load{Slowdown: 1})
	usual := estimate(p, begin, "e00")
	p.RecordLoad(begin, "e00", vane.Load{Slowdown: 2.5})
	is.True(estimate(p, begin, "e00") > usual*12/5)
	half := begin.Add(300 * time.Millisecond)
	is.True(estimate(p, half, "e00") > usual*3/2 && estimate(p, half, "e00") < usual*2)
	later := begin.Add(600 * time.Millisecond)
	is.Equal(estimate(p, later, "e00"), estimate(p, later, "e01"))
	for range 100 {
		p.RecordLoad(later, "e00", vane.Load{Slowdown: 1.5})
	}
	p.RecordLoad(later, "e00", vane.Load{Slowdown: 1}) // quick at the moment
	is.Equal(estimate(p, later, "e00"), estimate(p, later, "e01"))
	p.RecordLoad(later, "e01", vane.Load{Slowdown: 90}) // nonsense counts as 4
	is.True(estimate(p, later, "e01") < 4*usual+time.Millisecond)
}

// Guards against the ejection of upstreams whose machines are slow. One that states nothing
// about its machine is ejected as before.
func TestSlowIsNotFailed(t *testing.T) {
	const limit = 1200 * time.Millisecond
	for _, tt := range []struct {
		name     string
		slowdown float64
		estimate time.Duration
		ejected  time.Duration // time after which the upstream is ejected
	}{
		{"no slowdown stated", 0, 500 * time.Millisecond, 1200 * time.Millisecond},
		{"usual", 1, 170 * time.Millisecond, 1200 * time.Millisecond},
		{"much work", 1, 500 * time.Millisecond, 2000 * time.Millisecond},
		{"more work", 2.5, 900 * time.Millisecond, 2400 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := sched.New("dc0", &cache{})
			p.Update(plainView())
			p.RecordLoad(begin, "e00", vane.Load{Slowdown: tt.slowdown})
			p.Begin(begin, plainQuery, sched.Pick{Upstream: plainView().Upstreams["e00"], Estimate: tt.estimate})
			is.Equal(len(p.SilentUpstreams(begin.Add(tt.ejected), limit)), 0)
			l := p.SilentUpstreams(begin.Add(tt.ejected+time.Millisecond), limit)
			is.Equal(len(l), 1)
			is.Equal(l[0].Name, "e00")
			is.True(p.ResolveSilent(begin.Add(tt.ejected+time.Millisecond), l[0], nil, limit))
		})
	}
}

// Guards against rates that are learned from answers that do not show how long work takes.
func TestOnlyMeasuredAnswersAreLearned(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(plainView())
	send := func(i int, took time.Duration, measured bool) {
		now := begin.Add(time.Duration(i) * time.Second)
		c, _ := p.Pick(now, plainQuery)
		a := p.Begin(now, plainQuery, c)
		if !measured {
			p.SkipSample(a)
		}
		p.FirstByte(now.Add(took), a)
		p.FirstByte(now.Add(3*took), a) // further bytes
		p.End(now.Add(took), a)
	}
	for i := range 40 {
		send(i, time.Millisecond, false) // errors
	}
	is.Equal(p.TakeRateChanges(), nil)
	for i := range 40 {
		send(100+i, 60*time.Millisecond, true)
	}
	l := p.TakeRateChanges()
	is.Equal(len(l), 1)
	is.Equal(l[0].After.WorkMS, 60.0)
	is.Equal(p.TakeRateChanges(), nil)
}

// Guards against a flood of questions for the load.
func TestLoadChecksAreLimited(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(plainView())
	c, _ := p.Pick(begin, plainQuery)
	is.True(!p.NeedsLoadCheck(begin, c)) // no slowdown is stated
	for range 50 {
		p.RecordLoad(begin, c.Upstream.Name, vane.Load{Slowdown: 2})
	}
	is.True(!p.NeedsLoadCheck(begin, c)) // the report is recent
	later := begin.Add(time.Second)
	short := c
	short.Estimate = 8 * time.Millisecond
	is.True(!p.NeedsLoadCheck(later, short))
	c, _ = p.Pick(later, plainQuery)
	n := 0
	for range 500 {
		if p.NeedsLoadCheck(later, c) {
			n++
		}
	}
	is.Equal(n, 40)
	later = later.Add(time.Second)
	is.True(p.NeedsLoadCheck(later, c))
	p.LoadCheckFailed(later, c.Upstream.Name)
	is.True(!p.NeedsLoadCheck(later.Add(4*time.Second), c))
	is.True(p.NeedsLoadCheck(later.Add(5*time.Second), c))
}
