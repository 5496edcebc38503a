package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/sched"
)

// estimator returns a placer of a site with one engine, whose service got prompts of the
// given kinds, and a function that returns the estimate for a short prompt at a time.
func estimator(t *testing.T, long bool) (*sched.Placer, func(after time.Duration) time.Duration) {
	p := sched.New("dc0", &cache{down: true})
	p.Update(view(1, same(1)))
	send := func(q sched.Query) {
		c, ok := p.Pick(begin, q)
		is.New(t).True(ok)
		a := p.Begin(begin, q, c)
		p.FirstByte(begin, a)
		p.End(begin, a)
	}
	send(shortQuery(1, 1))
	if long {
		send(query(1, 2))
	}
	return p, func(after time.Duration) time.Duration {
		c, ok := p.Pick(begin.Add(after), shortQuery(1, 3))
		is.New(t).True(ok)
		return c.Estimate
	}
}

// Guards against estimates that leave out the prompts of other nodes, or count them as
// outstanding for as long as there is no newer message, which made all nodes avoid the
// same engines.
func TestPromptsOfPeersAreComputedMeanwhile(t *testing.T) {
	is := is.New(t)
	p, estimate := estimator(t, true)
	idle := estimate(0)
	one := map[string]int{"e00": 1}
	p.SetPeerLoad(begin, "n1", one, map[string]int{"e00": 9})
	p.SetPeerLoad(begin.Add(50*time.Millisecond), "n2", one, map[string]int{"e00": 9})
	early, later, last := estimate(50*time.Millisecond), estimate(100*time.Millisecond), estimate(2*time.Second)
	is.True(early-idle > 150*time.Millisecond) // 18,432 tokens are 205 ms at the initial rate
	is.True(early-later > 40*time.Millisecond)
	is.True(last-idle < 5*time.Millisecond)
	p.KeepPeersInFlight(func(node string) bool { return node == "n2" })
	is.True(early-estimate(50*time.Millisecond) > 50*time.Millisecond)
	p.KeepPeersInFlight(func(string) bool { return false })
	is.Equal(estimate(50*time.Millisecond), idle)
}

// Nodes of earlier builds tell only how many requests they have in flight. Their prompts
// are estimated from that, and not taken for none.
func TestPromptsOfEarlierBuildsAreEstimated(t *testing.T) {
	is := is.New(t)
	p, estimate := estimator(t, true)
	idle := estimate(0)
	inFlight := map[string]int{"e00": 10}
	p.SetPeerLoad(begin, "n1", inFlight, nil)
	untold := estimate(0)
	is.True(untold-idle > 50*time.Millisecond)
	p.SetPeerLoad(begin, "n1", inFlight, map[string]int{"e00": 1})
	told := estimate(0)
	is.True(told < untold)
	p.SetPeerLoad(begin, "n1", inFlight, nil) // none are outstanding any more
	is.True(estimate(0) < told)
}

// Guards against a peer that tells nonsense, which must not make an engine look busy for
// ever or free.
func TestNonsenseOfPeersIsIgnored(t *testing.T) {
	is := is.New(t)
	p, estimate := estimator(t, true)
	p.SetPeerLoad(begin, "n1", map[string]int{"e00": 1}, map[string]int{"e00": 1})
	told := estimate(time.Second)
	p.SetPeerLoad(begin, "n1", map[string]int{"e00": 1}, map[string]int{"e00": 1 << 40, "e01": -5, "x": 3})
	is.Equal(estimate(time.Second), told)
}

// A service that gets prompts of one kind is served as before: what peers tell does not
// matter, and there is no added pause.
func TestOneKindOfPrompts(t *testing.T) {
	is := is.New(t)
	p, estimate := estimator(t, false)
	p.SetPeerLoad(begin, "n1", map[string]int{"e00": 1}, nil)
	before := estimate(0)
	p.SetPeerLoad(begin, "n1", map[string]int{"e00": 1}, map[string]int{"e00": 9})
	is.Equal(estimate(0), before)
	c, _ := p.Pick(begin, query(1, 4))
	is.Equal(c.AddedPause, time.Duration(0))

	p, _ = estimator(t, true)
	c, _ = p.Pick(begin, query(1, 4))
	is.True(c.AddedPause > 0)
	c, _ = p.Pick(begin.Add(time.Minute), query(1, 4)) // short prompts have ceased
	is.Equal(c.AddedPause, time.Duration(0))
}

// The outstanding prompts of a node return to none when its requests have first tokens or
// end without one.
func TestPrefillReturnsToZero(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	p.Update(view(1, same(1)))
	var attempts []*sched.Attempt
	for i := range 2 {
		c, _ := p.Pick(begin, query(i, i))
		attempts = append(attempts, p.Begin(begin, query(i, i), c))
	}
	is.True(p.Prefill()["e00"] >= 9)
	p.FirstByte(begin, attempts[0])
	p.End(begin, attempts[0])
	p.End(begin, attempts[1])
	is.Equal(len(p.Prefill()), 0)
}
