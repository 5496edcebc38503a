package sched_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// Guards against engines that are ejected because their queues are long: all nodes then
// leave them at once, and overload the others. An engine is ejected if requests wait, it
// sends nothing at all, and it does not answer a check or has no work.
func TestSilentEngines(t *testing.T) {
	const limit = 1200 * time.Millisecond
	for _, tt := range []struct {
		name     string
		load     *vane.Load // that the check finds; nil if the engine does not answer it
		answered bool       // the engine answers a request during the check
		ejected  bool
	}{
		{"no answer to the check", nil, false, true},
		{"busy", &vane.Load{Running: 12, Waiting: 3}, false, false},
		{"without work", &vane.Load{}, false, true},
		{"answers during the check", nil, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := sched.New("dc0", &cache{})
			p.Update(view(2, same(1)))
			for i := range 40 {
				c, _ := p.Pick(begin, query(i, i))
				p.Begin(begin, query(i, i), c)
			}
			p.Observe(begin.Add(time.Second), "e00", vane.ResponseMeta{})
			at := begin.Add(1500 * time.Millisecond)
			l := p.SilentUpstreams(at, limit)
			is.Equal(len(l), 1)
			is.Equal(l[0].Name, "e01")
			is.Equal(len(p.SilentUpstreams(at.Add(100*time.Millisecond), limit)), 0) // a check is under way
			if tt.answered {
				p.Observe(at.Add(50*time.Millisecond), "e01", vane.ResponseMeta{})
			}
			at = at.Add(200 * time.Millisecond)
			is.Equal(p.ResolveSilent(at, l[0], tt.load, limit), tt.ejected)
			used := false
			for i := range 200 {
				c, ok := p.Pick(at, query(i, 1000+i))
				is.True(ok)
				p.Begin(at, query(i, 1000+i), c)
				used = used || c.Upstream.Name == "e01"
			}
			is.Equal(used, !tt.ejected)
		})
	}
}

// A result of a check says nothing about the process that replaced the checked one.
func TestCheckOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	v := view(1, same(1))
	p.Update(v)
	c, _ := p.Pick(begin, query(1, 1))
	p.Begin(begin, query(1, 1), c)
	l := p.SilentUpstreams(begin.Add(2*time.Second), time.Second)
	is.Equal(len(l), 1)
	u := v.Upstreams["e00"]
	u.Incarnation++
	v = view(1, same(1))
	v.Upstreams["e00"] = u
	p.Update(v)
	is.True(!p.ResolveSilent(begin.Add(2*time.Second), l[0], nil, time.Second))
}

// A request that waits longer than estimated shows that the engine is further behind than
// this node knows, so that the next request goes elsewhere.
func TestDelayedRequestsRaiseTheEstimate(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	p.Update(view(2, same(1)))
	q := shortQuery(1, 1)
	first, _ := p.Pick(begin, q)
	p.Begin(begin, q, first)
	at := begin.Add(900 * time.Millisecond)
	next, _ := p.Pick(at, shortQuery(1, 2))
	is.True(next.Upstream.Name != first.Upstream.Name)
	is.True(next.Estimate < 300*time.Millisecond)
}

// Guards against prompts with the same parts that are computed with the old and the new
// weights at the same time, while engines load: each part then takes the memory and the
// computation of two engines.
func TestPartsAreUsedWithOneNumberOfWeights(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	at := begin.Add(4 * time.Second)
	p.Update(view(60, func(i int) uint64 { return 1 + uint64(i%4)/3 }, mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	kinds := map[int]map[uint64]bool{}
	for i := range 4000 {
		q := query(i%200, i)
		q.ID = strconv.Itoa(i)
		at = at.Add(time.Millisecond)
		c, ok := p.Pick(at, q)
		is.True(ok)
		a := p.Begin(at, q, c)
		p.FirstByte(at, a)
		p.End(at, a)
		if i < 2000 {
			continue // the rate of the requests is not known at first
		}
		if kinds[i%200] == nil {
			kinds[i%200] = map[uint64]bool{}
		}
		kinds[i%200][c.Weights] = true
	}
	both, newest := 0, 0
	for _, k := range kinds {
		if len(k) == 2 {
			both++
		} else if k[2] {
			newest++
		}
	}
	is.True(both <= 20) // those whose hashes are near the share, which moves with the rate
	is.True(newest > 0 && newest < 200)
}

// Guards against streams that hang until their callers give up because their engine's host
// was cut off. The engine of a stream without events is checked, and its requests that may
// be repeated or resumed are withdrawn when it is ejected; those that may not are left.
func TestStreamsOfASilentEngineAreWithdrawn(t *testing.T) {
	is := is.New(t)
	const limit = 1200 * time.Millisecond
	p := sched.New("dc0", &cache{})
	p.Update(view(1, same(1)))
	withdrawn := map[string]int{}
	var attempts []*sched.Attempt
	for i, tt := range []struct {
		id         string
		repeatable bool
		events     time.Duration // time of the last event; negative if there is none
	}{
		{"stream", true, 500 * time.Millisecond},
		{"stream that may not be resumed", false, 500 * time.Millisecond},
		{"waits", true, -1},
		{"was sent lately", true, -1},
	} {
		q := shortQuery(1, i)
		q.ID, q.Repeatable = tt.id, tt.repeatable
		at := begin
		if i == 3 {
			at = begin.Add(1500 * time.Millisecond)
		}
		c, ok := p.Pick(at, q)
		is.True(ok)
		a := p.Begin(at, q, c)
		p.OnExpire(a, func() { withdrawn[tt.id]++ })
		if tt.events >= 0 {
			p.FirstByte(begin.Add(100*time.Millisecond), a)
			p.Event(begin.Add(tt.events), a, true)
		}
		attempts = append(attempts, a)
	}
	at := begin.Add(500 * time.Millisecond)
	is.Equal(len(p.SilentUpstreams(at.Add(limit-time.Millisecond), limit)), 0) // the event was a sign of life
	at = at.Add(limit)
	l := p.SilentUpstreams(at, limit)
	is.Equal(len(l), 1)
	is.Equal(len(p.WithdrawSilent(at, "e00", limit)), 0) // not ejected yet
	is.True(p.ResolveSilent(at, l[0], nil, limit))
	is.Equal(len(p.WithdrawSilent(at, "e00", limit)), 2)
	is.Equal(len(p.WithdrawSilent(at, "e00", limit)), 0)
	is.Equal(withdrawn, map[string]int{"stream": 1, "waits": 1})
	for _, a := range attempts {
		p.End(at, a)
	}
	is.Equal(len(p.InFlight()), 0)
}

// Guards against the overload of the last engines with older weights: under high load,
// most requests kept away from the engines with the newest weights, and a few engines that
// had not loaded them yet got hundreds of requests a second.
func TestLastEnginesWithOldWeightsAreNotOverloaded(t *testing.T) {
	is := is.New(t)
	const engines, old, requests = 40, 4, 6000
	p := sched.New("dc0", &cache{down: true})
	at := begin.Add(4 * time.Second)
	p.Update(view(engines, func(i int) uint64 {
		if i < old {
			return 1
		}
		return 2
	}, mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	toOld := 0
	for i := range requests {
		q := query(i%400, i)
		q.ID = strconv.Itoa(i)
		at = at.Add(time.Millisecond) // 9,000 tokens in each ms; the engines compute 3,600
		c, ok := p.Pick(at, q)
		is.True(ok)
		a := p.Begin(at, q, c)
		p.FirstByte(at, a)
		p.End(at, a)
		if i >= requests/2 && c.Weights == 1 {
			toOld++
		}
	}
	is.True(toOld < requests/2*2*old/engines) // twice an equal share
}

// Guards against a panic, and against negative work, when an upstream is replaced under its
// name while one of its streams runs.
func TestStreamOutlivesTheEntryOfItsUpstream(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(view(1, same(1)))
	q := shortQuery(1, 1)
	c, ok := p.Pick(begin, q)
	is.True(ok)
	a := p.Begin(begin, q, c)
	waits := p.Begin(begin, q, c)
	p.FirstByte(begin, a)
	p.Event(begin, a, true)
	v := view(1, same(1))
	u := v.Upstreams["e00"]
	u.Incarnation++
	v.Upstreams["e00"] = u
	p.Update(v)
	p.Event(begin.Add(time.Second), a, true)
	p.FirstByte(begin.Add(time.Second), waits)
	p.End(begin.Add(time.Second), a)
	p.End(begin.Add(time.Second), waits)
	is.Equal(len(p.InFlight()), 0)
	is.True(p.Room(begin.Add(time.Second), q).Own >= 0)
	b := p.Begin(begin.Add(time.Second), q, sched.Pick{Upstream: u, Weights: 1, UncachedTokens: 100})
	is.Equal(p.InFlight(), map[string]int{"e00": 1})
	p.End(begin.Add(time.Second), b)
}

// A stream whose last event has no id can't go on elsewhere. It is not withdrawn, since its
// upstream may send the rest after all.
func TestStreamsThatCannotGoOnAreNotWithdrawn(t *testing.T) {
	is := is.New(t)
	const limit = 1200 * time.Millisecond
	p := sched.New("dc0", &cache{})
	p.Update(view(1, same(1)))
	q := shortQuery(1, 1)
	q.Repeatable = true
	c, _ := p.Pick(begin, q)
	a := p.Begin(begin, q, c)
	p.OnExpire(a, func() {})
	p.FirstByte(begin, a)
	p.Event(begin, a, false)
	at := begin.Add(2 * limit)
	is.True(p.ResolveSilent(at, p.SilentUpstreams(at, limit)[0], nil, limit))
	is.Equal(len(p.WithdrawSilent(at, "e00", limit)), 0)
}
