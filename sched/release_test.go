package sched_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// twoReleases returns a view of n upstreams, every second one of which has release v2.
func twoReleases(n int, mutate func(*vane.Upstream)) *mirror.View {
	v := view(n, same(1))
	for name, u := range v.Upstreams {
		u.Release = "v1"
		if int(name[2]-'0')%2 == 1 {
			u.Release = "v2"
		}
		mutate(&u)
		v.Upstreams[name] = u
	}
	return v
}

func TestReleaseGetsItsShare(t *testing.T) {
	const requests = 2000
	leaving := func(release string) func(*vane.Upstream) {
		return func(u *vane.Upstream) {
			if u.Release == release {
				u.State = vane.UpstreamLeaving
			}
		}
	}
	for _, tt := range []struct {
		name     string
		share    sched.ReleaseShare
		mutate   func(*vane.Upstream)
		min, max float64 // bounds on the fraction of the requests that go to v2
		served   bool    // all requests have an upstream; else only those that go to v2
	}{
		{"small share", sched.ReleaseShare{Release: "v2", Share: 0.05}, func(*vane.Upstream) {}, 0.03, 0.07, true},
		{"half", sched.ReleaseShare{Release: "v2", Share: 0.5}, func(*vane.Upstream) {}, 0.46, 0.54, true},
		{"all", sched.ReleaseShare{Release: "v2", Share: 1}, func(*vane.Upstream) {}, 1, 1, true},
		{"faulty", sched.ReleaseShare{Release: "v2", Faulty: true}, func(*vane.Upstream) {}, 0, 0, true},
		{"no other upstream left", sched.ReleaseShare{Release: "v2", Share: 0.05}, leaving("v1"), 0.03, 0.07, false},
		{"no other upstream left, proven", sched.ReleaseShare{Release: "v2", Share: 0.5}, leaving("v1"), 1, 1, true},
		{"no upstream of the release", sched.ReleaseShare{Release: "v2", Share: 1}, leaving("v2"), 0, 0, true},
		{"faulty, no other upstream left", sched.ReleaseShare{Release: "v2", Faulty: true}, leaving("v1"), 0, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, other := sched.New("dc0", &cache{}), sched.New("dc1", &cache{})
			for _, x := range []*sched.Placer{p, other} {
				x.Update(twoReleases(10, tt.mutate))
				x.SetReleaseShares(map[string]sched.ReleaseShare{"llm": tt.share})
			}
			n := 0
			for i := range requests {
				q := query(i%50, i)
				q.ID = fmt.Sprint("request-", i)
				c, ok := p.Pick(begin, q)
				if !ok {
					is.True(!tt.served)
					continue
				}
				is.True(tt.served || c.Upstream.Release == "v2" && tt.max > 0)
				if c.Upstream.Release == "v2" {
					n++
				}
				q.Avoid = []string{c.Upstream.Name}
				again, ok := other.Pick(begin, q)
				is.True(ok)
				is.Equal(again.Upstream.Release, c.Upstream.Release) // another attempt at another node
			}
			got := float64(n) / requests
			is.True(got >= tt.min && got <= tt.max)
		})
	}
}

// TestReplacedServersAreNotLimited checks that a new release without a roll-out is used
// like any other.
func TestReplacedServersAreNotLimited(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(twoReleases(10, func(*vane.Upstream) {}))
	p.SetReleaseShares(map[string]sched.ReleaseShare{"other": {Release: "v2"}})
	used := map[string]bool{}
	for i := range 500 {
		c, ok := p.Pick(begin, query(i, i))
		is.True(ok)
		used[c.Upstream.Release] = true
	}
	is.Equal(len(used), 2)
}

func TestInFlightElsewhere(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(twoReleases(10, func(*vane.Upstream) {}))
	p.SetReleaseShares(map[string]sched.ReleaseShare{"llm": {Release: "v2", Faulty: true}})
	c, ok := p.Pick(begin, query(1, 1))
	is.True(ok)
	att := p.Begin(begin, query(1, 1), c)
	p.SetPeerInFlight("n2", map[string]int{"e02": 3, "e03": 5})
	is.Equal(p.InFlightElsewhere("llm", "v2"), 4)
	p.End(begin, att)
	is.Equal(p.InFlightElsewhere("llm", "v2"), 3)
}
