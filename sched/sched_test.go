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

// cache is a cache store with a settable content.
type cache struct {
	held map[string]bool
	down bool
}

func (c *cache) Holds(salt, part string) bool { return c.held[salt+"/"+part] }
func (c *cache) Addr() (string, bool)         { return "store:1", !c.down }

// view returns n engines, spread over three data centres, that serve the weights.
func view(n int, weights func(i int) uint64, named ...mirror.WeightsVersion) *mirror.View {
	v := &mirror.View{Upstreams: map[string]vane.Upstream{}, Weights: map[string]mirror.Weights{}}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		v.Upstreams[name] = vane.Upstream{
			Name: name, Addr: name + ":1", DataCentre: fmt.Sprintf("dc%d", i%3), Role: vane.RoleEngine,
			Service: "llm", Model: "m", Weights: weights(i), Slots: 64, Incarnation: 1,
		}
	}
	if len(named) > 0 {
		last := named[len(named)-1]
		v.Weights["m"] = mirror.Weights{NamedWeights: vane.NamedWeights{Model: "m", Number: last.Number}, Since: last.Since, History: named}
	}
	return v
}

func same(w uint64) func(int) uint64 { return func(int) uint64 { return w } }

// query returns a request with two shared parts and one of its own.
func query(subject, own int) sched.Query {
	return sched.Query{
		Service: "llm", Model: "m", PromptTokens: 9000, Bytes: 18000, Objective: 500 * time.Millisecond,
		Parts: []vane.Part{{ID: "root", Tokens: 2500}, {ID: fmt.Sprintf("s%d", subject), Tokens: 3800}, {ID: fmt.Sprintf("o%d", own), Tokens: 2700}},
	}
}

// A part that nobody holds is computed at one engine, the same for all nodes.
func TestNodesAgreeOnTheHomeOfNewParts(t *testing.T) {
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

// A part that the store holds is fetched by an engine of the own data centre.
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
		tk := p.Begin(now, query(s, s), pick)
		p.FirstByte(now, tk)
		p.End(now, tk)
	}
}

// Each part is to be saved once, however many requests use it meanwhile.
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

// Load: thousands of subjects under a common first part, and no subject asked for
// twice before new weights come. The first part is computed by one engine; the others
// fetch it.
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
		tk := p.Begin(now, q, c)
		p.FirstByte(now, tk)
		p.End(now, tk)
	}
	is.Equal(computed, 1)
}

// Load: a common first part that all engines hold, asked for by hundreds of requests a
// second. Each engine's link carries one transfer at a time, so that the requests take
// turns among the sources, of the own data centre where there are some.
func TestSourcesTakeTurns(t *testing.T) {
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
		tk := p.Begin(now, q, c)
		p.FirstByte(now, tk)
		p.End(now, tk)
	}
	for source, n := range used {
		if n > requests/4 {
			t.Fatalf("%d of %d requests fetch from %s", n, requests, source)
		}
	}
}

// Load: subjects come again within seconds, and the engines' memory holds half of them.
// A request goes to an idle engine that holds its parts, also in another data centre,
// rather than having them copied to one of its own.
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
			q.Avoid = append(q.Avoid, fmt.Sprintf("e%02d", i)) // those of the node's data centre
		}
		first, ok := p.Pick(now, q)
		is.True(ok)
		tk := p.Begin(now, q, first)
		p.FirstByte(now, tk)
		p.End(now, tk)
		again, ok := p.Pick(now.Add(300*time.Millisecond), query(s, subjects+s))
		is.True(ok)
		if again.Upstream.Name != first.Upstream.Name {
			copied++
		}
	}
	is.True(copied <= subjects/10)
}

// With the store down, an engine that holds the parts is asked instead.
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

// Workspaces behind a wall never share a salt, nor do weights.
func TestSaltsKeepWallsAndWeightsApart(t *testing.T) {
	is := is.New(t)
	seen := map[string]string{}
	for w := uint64(1); w < 4; w++ {
		for _, wall := range []string{"", "a", "b"} {
			p := sched.New("dc0", &cache{})
			p.Update(view(3, same(w)))
			q := query(1, 1)
			q.CacheScope = wall
			c, ok := p.Pick(begin, q)
			is.True(ok)
			is.Equal(c.Weights, w)
			id := fmt.Sprintf("%s/%d", wall, w)
			other, used := seen[c.Salt]
			is.True(!used || other == id)
			seen[c.Salt] = id
		}
	}
	is.Equal(len(seen), 9)
}

// Engines past the limit of their weights get nothing, even if that means that the
// request is refused.
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

// Right after weights were named, few engines have them: those get as much as they
// can answer in time, and the others the rest.
func TestNewWeightsAreNotOverrun(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(view(18, func(i int) uint64 { return uint64(1 + i/15) }, mirror.WeightsVersion{Number: 1, Since: begin.Add(-time.Hour)}, mirror.WeightsVersion{Number: 2, Since: begin}))
	count := map[uint64]int{}
	now := begin.Add(3 * time.Second)
	for i := range 120 { // a burst without a single answer
		c, ok := p.Pick(now, query(i, i))
		is.True(ok)
		count[c.Weights]++
		p.Begin(now, query(i, i), c)
	}
	is.True(count[2] >= 9)  // each of the three has work for its objective
	is.True(count[1] >= 60) // the rest is not queued behind them
}

// A loading engine and one that failed are left out until they are back.
func TestSetAside(t *testing.T) {
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

// Requests at an engine that fell silent set it aside; those at an engine that
// answers others do not.
func TestSilentEngines(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(view(2, same(1)))
	for i := range 40 {
		c, _ := p.Pick(begin, query(i, i))
		p.Begin(begin, query(i, i), c)
	}
	p.Observe(begin.Add(time.Second), "e00", vane.AnswerMeta{})
	is.Equal(p.EjectSilent(begin.Add(1500*time.Millisecond), 1200*time.Millisecond), []string{"e01"})
}

// An answer of another upstream at the address is no sign of life of the one that was
// meant: another node's word that it is gone counts.
func TestAnswerOfAnotherUpstreamIsNoSignOfLife(t *testing.T) {
	for _, tt := range []struct {
		name  string
		wrong bool
		aside bool
	}{
		{"its own answer", false, false},
		{"another upstream's", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := sched.New("dc0", &cache{})
			p.Update(view(1, same(1)))
			p.Observe(begin, "e00", vane.AnswerMeta{NotRun: true, Wrong: tt.wrong})
			p.RecordPeerFailure(begin.Add(10*time.Millisecond), "e00")
			_, ok := p.Pick(begin.Add(20*time.Millisecond), query(1, 1))
			is.Equal(!ok, tt.aside)
		})
	}
}

// The counts of requests in flight return to zero whatever the order of events.
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
	for _, tk := range open {
		p.End(begin.Add(3*time.Second), tk)
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
