package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

var begin = time.Unix(8000, 0)

// cache is a cache store whose content is set by the test, by salt and part ID.
type cache struct {
	held map[string]bool
	down bool
}

func (c *cache) Holds(salt, part string) bool { return c.held[salt+"/"+part] }
func (c *cache) Addr() (string, bool)         { return "store:1", !c.down }

// view returns a view of n engines in three data centres. The engine i serves weights(i).
// history holds the announced versions of the weights, oldest first.
func view(n int, weights func(i int) uint64, history ...mirror.WeightsVersion) *mirror.View {
	v := &mirror.View{Upstreams: map[string]vane.Upstream{}, Weights: map[string]mirror.Weights{}}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		v.Upstreams[name] = vane.Upstream{
			Name: name, Addr: name + ":1", DataCentre: fmt.Sprintf("dc%d", i%3), Role: vane.RoleEngine,
			Service: "llm", Model: "m", Weights: weights(i), Slots: 64, Incarnation: 1,
		}
	}
	if len(history) > 0 {
		last := history[len(history)-1]
		v.Weights["m"] = mirror.Weights{TargetWeights: vane.TargetWeights{Model: "m", Version: last.Number}, Since: last.Since, History: history}
	}
	return v
}

// same returns a function for [view] with which all engines serve the weights w.
func same(w uint64) func(int) uint64 { return func(int) uint64 { return w } }

// query returns a request with two shared parts, one of them by subject, and one of its
// own.
func query(subject, own int) sched.Query {
	return sched.Query{
		Service: "llm", Model: "m", PromptTokens: 9000, Bytes: 18000, Objective: 500 * time.Millisecond,
		Parts: []vane.PromptPart{{ID: "root", Tokens: 2500}, {ID: fmt.Sprintf("s%d", subject), Tokens: 3800}, {ID: fmt.Sprintf("o%d", own), Tokens: 2700}},
	}
}

// A part that no cache holds is computed at one engine, and all nodes choose the same one.
func TestNodesAgreeOnTheEngineOfNewParts(t *testing.T) {
	is := is.New(t)
	for subject := range 50 {
		var first string
		for node := range 3 {
			p := sched.New(fmt.Sprintf("dc%d", node), &cache{})
			p.Update(view(18, same(1)))
			c, ok := p.Pick(begin, query(subject, node))
			is.True(ok)
			if node == 0 {
				first = c.Upstream.Name
			}
			is.Equal(c.Upstream.Name, first)
			is.True(c.SaveTo != "")
		}
	}
}

// A part that the cache store holds is fetched by an engine in the node's data centre.
func TestStoredPartsStayInTheDataCentre(t *testing.T) {
	is := is.New(t)
	c := &cache{held: map[string]bool{"|m|1/root": true}}
	for s := range 50 {
		c.held[fmt.Sprintf("|m|1/s%d", s)] = true
	}
	p := sched.New("dc1", c)
	p.Update(view(18, same(1)))
	for s := range 50 {
		now := begin.Add(time.Duration(s) * time.Second)
		pick, ok := p.Pick(now, query(s, s))
		is.True(ok)
		is.Equal(pick.Upstream.DataCentre, "dc1")
		is.Equal(pick.FetchFrom, "store:1")
		is.Equal(pick.SaveTo, "")
		a := p.Begin(now, query(s, s), pick)
		p.FirstByte(now, a)
		p.End(now, a)
	}
}

// Each part is saved once, even if several requests use it before the save is done.
func TestPartsAreSavedOnce(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc1", &cache{})
	p.Update(view(18, same(1)))
	saves := 0
	for i := range 20 {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		c, _ := p.Pick(now, query(7, i))
		if c.SaveTo != "" {
			saves++
		}
		p.Begin(now, query(7, i), c)
	}
	is.Equal(saves, 1)
}

// Guards against computing a common first part at many engines. The prompts of thousands of
// subjects begin with the same part, and no subject occurs twice before new weights are
// loaded. One engine computes the first part; the others fetch it.
func TestCommonFirstPartIsFetched(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	p.Update(view(18, same(1)))
	computed := 0
	for s := range 60 {
		now := begin.Add(time.Duration(s) * 300 * time.Millisecond)
		q := query(s, s)
		c, ok := p.Pick(now, q)
		is.True(ok)
		if c.UncachedTokens == q.PromptTokens {
			computed++
			is.Equal(c.FetchFrom, "")
		}
		a := p.Begin(now, q, c)
		p.FirstByte(now, a)
		p.End(now, a)
	}
	is.Equal(computed, 1)
}

// Guards against fetching a common first part from one engine only, when all engines hold
// it and hundreds of requests per second need it. An engine's link carries one transfer at
// a time, so that the requests must spread over the engines that hold the part, in the
// same data centre if possible.
func TestFetchesSpreadOverHolders(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	p.Update(view(18, same(1)))
	used := map[string]int{}
	const requests = 600
	for s := range requests {
		now := begin.Add(time.Duration(s) * 300 * time.Millisecond)
		q := query(s, s)
		q.ID = fmt.Sprint("r", s)
		c, ok := p.Pick(now, q)
		is.True(ok)
		used[c.FetchFrom]++
		a := p.Begin(now, q, c)
		p.FirstByte(now, a)
		p.End(now, a)
	}
	for source, n := range used {
		if n > requests/4 {
			t.Fatalf("%d of %d requests fetch from %s", n, requests, source)
		}
	}
}

// Guards against copies of parts that fill the engines' memory, which holds only half of the
// subjects, while each subject returns within seconds. A request goes to an idle
// engine that holds its parts, even in another data centre, rather than to an engine in
// the node's data centre that would have to copy them.
func TestIdleHolderIsPreferredToACopy(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	p.Update(view(18, same(1)))
	copied := 0
	const subjects = 60
	for s := range subjects {
		now := begin.Add(time.Duration(s) * time.Second)
		q := query(s, s)
		for i := 0; i < 18; i += 3 {
			q.Avoid = append(q.Avoid, fmt.Sprintf("e%02d", i)) // the engines in the node's data centre
		}
		first, ok := p.Pick(now, q)
		is.True(ok)
		a := p.Begin(now, q, first)
		p.FirstByte(now, a)
		p.End(now, a)
		again, ok := p.Pick(now.Add(300*time.Millisecond), query(s, subjects+s))
		is.True(ok)
		if again.Upstream.Name != first.Upstream.Name {
			copied++
		}
	}
	is.True(copied <= subjects/10)
}

// While the cache store does not answer, parts are fetched from an engine that holds them.
func TestFetchFromEngines(t *testing.T) {
	is := is.New(t)
	a, b := sched.New("dc0", &cache{down: true}), sched.New("dc0", &cache{down: true})
	a.Update(view(18, same(1)))
	b.Update(view(18, same(1)))
	c, _ := a.Pick(begin, query(1, 1))
	a.Begin(begin, query(1, 1), c)
	b.ApplyCacheUpdates(a.TakeCacheUpdates())
	q := query(1, 2)
	q.Avoid = []string{c.Upstream.Name}
	d, ok := b.Pick(begin, q)
	is.True(ok)
	is.Equal(d.FetchFrom, c.Upstream.Addr)
}

// Different cache scopes, and different weights, have different salts.
func TestSaltsSeparateScopesAndWeights(t *testing.T) {
	is := is.New(t)
	seen := map[string]string{}
	for w := uint64(1); w < 4; w++ {
		for _, scope := range []string{"", "a", "b"} {
			p := sched.New("dc0", &cache{})
			p.Update(view(3, same(w)))
			q := query(1, 1)
			q.CacheScope = scope
			c, ok := p.Pick(begin, q)
			is.True(ok)
			is.Equal(c.Weights, w)
			id := fmt.Sprintf("%s/%d", scope, w)
			other, used := seen[c.Salt]
			is.True(!used || other == id)
			seen[c.Salt] = id
		}
	}
	is.Equal(len(seen), 9)
}

// Engines whose weights were replaced too long ago get no requests, even if that means
// that a request is refused.
func TestWeightsLimit(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{}, sched.WithWeightsLimit(12*time.Second))
	p.Update(view(18, func(i int) uint64 { return uint64(1 + i/15) }, mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	for i := range 60 {
		now := begin.Add(11 * time.Second).Add(time.Duration(i) * time.Millisecond)
		c, ok := p.Pick(now, query(i, i))
		is.True(ok)
		is.Equal(c.Weights, uint64(2))
		p.Begin(now, query(i, i), c)
	}
	p.Update(view(4, same(1), mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	_, ok := p.Pick(begin.Add(5*time.Second), query(1, 1))
	is.True(ok)
	p.Update(view(3, same(1), mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	_, ok = p.Pick(begin.Add(11500*time.Millisecond), query(1, 1))
	is.True(!ok)
}

// Right after new weights are announced, few engines serve them. These get as many
// requests as they can answer in time, and the other engines get the rest.
func TestEnginesWithNewWeightsAreNotOverloaded(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(view(18, func(i int) uint64 { return uint64(1 + i/15) }, mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	count := map[uint64]int{}
	now := begin.Add(3 * time.Second)
	for i := range 120 { // a burst during which no answer arrives
		c, ok := p.Pick(now, query(i, i))
		is.True(ok)
		count[c.Weights]++
		p.Begin(now, query(i, i), c)
	}
	is.True(count[2] >= 9)  // each of the three gets as much work as it can do within the objective
	is.True(count[1] >= 60) // the other requests do not wait for them
}

// An engine gets no requests while it loads weights, nor for a while after a failure.
func TestLoadingAndFailedEnginesGetNoRequests(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(view(3, same(1)))
	p.SetLoading("e00", begin.Add(5*time.Second))
	p.RecordFailure(begin, "e01")
	for i := range 10 {
		c, ok := p.Pick(begin, query(i, i))
		is.True(ok)
		is.Equal(c.Upstream.Name, "e02")
	}
	p.RecordFailure(begin, "e02")
	_, ok := p.Pick(begin, query(1, 1))
	is.True(!ok)
	c, ok := p.Pick(begin.Add(2*time.Second), query(1, 1))
	is.True(ok)
	is.True(c.Upstream.Name != "e00")
}

// An answer from another upstream at the same address does not show that the intended one
// is alive. A failure that another node reports therefore ejects it, which an answer of
// its own would prevent.
func TestAnswerOfAnotherUpstreamIsNoSignOfLife(t *testing.T) {
	for _, tt := range []struct {
		name    string
		wrong   bool
		ejected bool
	}{
		{"its own answer", false, false},
		{"another upstream's", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := sched.New("dc0", &cache{})
			p.Update(view(1, same(1)))
			p.Observe(begin, "e00", vane.ResponseMeta{NotRun: true, WrongUpstream: tt.wrong})
			p.RecordPeerFailure(begin.Add(10*time.Millisecond), "e00")
			_, ok := p.Pick(begin.Add(20*time.Millisecond), query(1, 1))
			is.Equal(!ok, tt.ejected)
		})
	}
}

// The numbers of requests in flight return to zero for any order of events.
func TestCountsReturnToZero(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	p := sched.New("dc0", &cache{})
	p.Update(view(6, same(1)))
	var open []*sched.Attempt
	for i := range 2000 {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		if c, ok := p.Pick(now, query(i%20, i)); ok && r.IntN(2) == 0 {
			open = append(open, p.Begin(now, query(i%20, i), c))
		}
		if len(open) > 0 {
			j := r.IntN(len(open))
			switch r.IntN(3) {
			case 0:
				p.FirstByte(now, open[j])
			case 1:
				p.End(now, open[j])
				p.End(now, open[j])
			}
		}
	}
	for _, a := range open {
		p.End(begin.Add(3*time.Second), a)
	}
	is.Equal(len(p.InFlight()), 0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 140, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := sched.New("dc0", &cache{})
			p.Update(view(n, same(1)))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := p.Pick(begin, query(i%400, i)); !ok {
					b.Fatal("no pick")
				}
			}
		})
	}
}
