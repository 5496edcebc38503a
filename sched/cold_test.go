package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/ramp"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/site"
)

// Figures of the service with a cold start.
const (
	coldStart = 3 * time.Second
	coldRate  = 10
	coldLimit = 1.5*coldRate + 5 // requests in any second
)

// coldView returns a view of n engines of a service with a cold start.
func coldView(n int) *mirror.View {
	v := view(n, same(1))
	v.Config = site.New(1, site.WithServices(vane.Service{Name: "llm", HealthPath: "/health", ColdStart: coldStart, ColdRate: coldRate}))
	return v
}

// coldUntil returns the view with an engine that is cold until the given time.
func coldUntil(v *mirror.View, name string, until time.Time) *mirror.View {
	u := v.Upstreams[name]
	u.ColdUntil = until
	v.Upstreams[name] = u
	return v
}

// coldFleet returns the placers of n nodes that know each other.
func coldFleet(n int) []*sched.Placer {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	var out []*sched.Placer
	for _, name := range names {
		r := ramp.New(name, ramp.Bounds{Over: 1.5, Slack: 5})
		r.SetMembers(begin, ramp.Members{Names: names, Version: 1, AsOf: begin, MaxAge: time.Minute})
		for _, other := range names {
			r.SetKnown(begin.Add(-ramp.Window), other, 1)
		}
		out = append(out, sched.New("dc0", &cache{down: true}, sched.WithColdLimiter(r)))
	}
	return out
}

// Guards against a crash of an engine that has just started in a site of 87 nodes: each node
// sends it a part of its 398 requests a second, and more than its part, since the engine is
// idle. The bound holds in each second, and the engine is used all the same. At a few nodes,
// each owner of the engine gets more requests than its share.
func TestColdEngineStaysWithinItsBound(t *testing.T) {
	for _, nodes := range []int{87, 3} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) { testColdEngine(t, nodes) })
	}
}

func testColdEngine(t *testing.T, nodes int) {
	is := is.New(t)
	const rate = 398
	fleet := coldFleet(nodes)
	for _, p := range fleet {
		p.Update(coldUntil(coldView(3), "e00", begin.Add(coldStart)))
	}
	type load struct {
		p    *sched.Placer
		a    *sched.Attempt
		at   time.Time
		name string
	}
	var running []load
	var cold []time.Time
	most, all := 0, 0
	for i := range 5 * rate {
		now := begin.Add(time.Duration(i) * time.Second / rate)
		for len(running) > 0 && now.Sub(running[0].at) > 400*time.Millisecond {
			running[0].p.End(now, running[0].a)
			running = running[1:]
		}
		if i%100 == 0 { // messages between the nodes
			for _, p := range fleet {
				inFlight := make(map[string]int)
				for _, r := range running {
					if r.p != p {
						inFlight[r.name]++
					}
				}
				p.SetPeerInFlight("others", inFlight)
			}
		}
		p := fleet[i*37%nodes]
		q := sched.Query{ID: fmt.Sprint(i), Service: "llm", Model: "m", PromptTokens: 826, Objective: 500 * time.Millisecond}
		c, ok := p.Pick(now, q)
		is.True(ok)
		is.True(p.Reserve(now, c))
		running = append(running, load{p, p.Begin(now, q, c), now, c.Upstream.Name})
		if c.Upstream.Name == "e00" && now.Before(begin.Add(coldStart)) {
			cold, all = append(cold, now), all+1
		}
		for len(cold) > 0 && now.Sub(cold[0]) >= time.Second {
			cold = cold[1:]
		}
		most = max(most, len(cold))
	}
	t.Logf("at most %d requests in a second, %d in %s", most, all, coldStart)
	is.True(most <= coldLimit)
	is.True(all > 0)
}

// Guards against requests to an upstream of which only the start is known, or that failed
// and may have been started again. ok says whether a node that owns nothing may send to it.
func TestUpstreamsThatMayBeCold(t *testing.T) {
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	for _, tt := range []struct {
		name string
		u    func(u *vane.Upstream)
		then func(p *sched.Placer)
		now  time.Duration
		ok   bool
	}{
		{"warm", nil, nil, 0, true},
		{"cold by its entry", func(u *vane.Upstream) { u.ColdUntil = at(time.Second) }, nil, 0, false},
		{"cold time is over", func(u *vane.Upstream) { u.ColdUntil = at(time.Second) }, nil, time.Second, true},
		{"started", func(u *vane.Upstream) { u.StartSeen = begin }, nil, coldStart - 1, false},
		{"started long ago", func(u *vane.Upstream) { u.StartSeen = begin }, nil, coldStart, true},
		{"cold by its health check", nil, func(p *sched.Placer) { p.RecordCold(begin, "e00", time.Second) }, time.Second - 1, false},
		{"failed", nil, func(p *sched.Placer) { p.RecordFailure(begin, "e00") }, time.Second, false},
		{"failed, says another node", nil, func(p *sched.Placer) { p.RecordPeerFailure(begin, "e00") }, time.Second, false},
		{"failed and is warm", nil, func(p *sched.Placer) {
			p.RecordFailure(begin, "e00")
			p.RecordCold(at(time.Second), "e00", 0)
		}, time.Second, true},
		{"was warm before it failed", nil, func(p *sched.Placer) {
			p.RecordFailure(begin, "e00")
			p.RecordCold(begin, "e00", 0)
		}, time.Second, false},
		{"failed long ago", nil, func(p *sched.Placer) { p.RecordFailure(begin, "e00") }, 10 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := sched.New("dc0", &cache{down: true})
			v := coldView(1)
			if u := v.Upstreams["e00"]; tt.u != nil {
				tt.u(&u)
				v.Upstreams["e00"] = u
			}
			p.Update(v)
			if tt.then != nil {
				tt.then(p)
			}
			_, ok := p.Pick(at(tt.now), query(1, 1))
			is.Equal(ok, tt.ok)
		})
	}
}

// Guards against refusals without a time to return while all upstreams are cold, and
// against a service without a cold start that is treated as one.
func TestRetryAfterOfColdUpstreams(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	v := coldView(2)
	p.Update(coldUntil(coldUntil(v, "e00", begin.Add(2*time.Second)), "e01", begin.Add(time.Second)))
	d, ok := p.RetryAfter(begin, "llm")
	is.True(ok)
	is.Equal(d, time.Second)
	p = sched.New("dc0", &cache{down: true})
	p.Update(coldUntil(view(1, same(1)), "e00", begin.Add(time.Second))) // its service states no cold start
	_, ok = p.Pick(begin, query(1, 1))
	is.True(ok)
}
