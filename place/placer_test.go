package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/place"
	"mustardvane.org/vane/prefix"
)

// epoch is the time at which each test begins.
var epoch = time.Unix(1_000_000, 0)

// engines returns n live upstreams.
func engines(n int) []vane.Upstream {
	ups := make([]vane.Upstream, 0, n)
	for i := range n {
		ups = append(ups, vane.Upstream{Name: fmt.Sprintf("engine-%d", i), Role: vane.RoleEngine, Model: "m", Version: "v1", Incarnation: 1, Slots: 16})
	}
	return ups
}

// query returns a query whose prompt has the given hashes as shared levels.
func query(hashes ...uint64) vane.Query {
	q := vane.Query{Model: "m"}
	for i, h := range hashes {
		q.Prompt.Levels = append(q.Prompt.Levels, vane.Level{Hash: h, Tokens: (i + 1) * prefix.DefaultPieceTokens})
	}
	q.Prompt.SharedLevels = len(hashes)
	q.Prompt.Tokens = q.Prompt.SharedTokens() + 100
	return q
}

// choice returns the name of the upstream that a new placer picks.
func choice(ups []vane.Upstream, q vane.Query) string {
	p := place.New()
	p.Update(epoch, ups)
	pick, _ := p.Pick(epoch, q)
	return pick.Upstream.Name
}

func TestFreshRoutersAgree(t *testing.T) {
	is := is.New(t)
	ups := engines(20)
	shuffled := append([]vane.Upstream(nil), ups...)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for h := range uint64(200) {
		q := query(h%7, h)
		is.Equal(choice(ups, q), choice(shuffled, q))
	}
}

// TestJoinAndLeaveMoveLittle checks that the first choice changes for at most a share of
// 1/n + 0.1 of the prefixes when an upstream joins n others.
func TestJoinAndLeaveMoveLittle(t *testing.T) {
	const prompts = 4000
	for _, n := range []int{8, 20, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			before, after := place.New(), place.New()
			before.Update(epoch, engines(n))
			after.Update(epoch, engines(n+1))
			moved := 0
			for h := range uint64(prompts) {
				q := query(h*0x9e3779b97f4a7c15, h*0xbf58476d1ce4e5b9)
				a, _ := before.Pick(epoch, q)
				b, _ := after.Pick(epoch, q)
				if a.Upstream.Name != b.Upstream.Name {
					moved++
				}
			}
			share := float64(moved) / prompts
			t.Logf("n %d: %.3f moved", n, share)
			is.True(share <= 1/float64(n)+0.10)
		})
	}
}

func TestPrefixesSpreadEvenly(t *testing.T) {
	is := is.New(t)
	const prompts, n = 8000, 20
	p := place.New()
	p.Update(epoch, engines(n))
	count := map[string]int{}
	for h := range uint64(prompts) {
		pick, ok := p.Pick(epoch, query(h*0x9e3779b97f4a7c15, h*0xbf58476d1ce4e5b9))
		is.True(ok)
		count[pick.Upstream.Name]++
	}
	is.Equal(len(count), n) // every upstream is chosen
	for _, c := range count {
		is.True(c < 3*prompts/n) // and none far more often than others
	}
}

func TestUnusableUpstreamsAreNotChosen(t *testing.T) {
	q := query(1, 2)
	first := choice(engines(4), q)
	for _, tt := range []struct {
		name   string
		change func(p *place.Placer, ups []vane.Upstream, q *vane.Query)
	}{
		{"leaving on the list", func(p *place.Placer, ups []vane.Upstream, _ *vane.Query) {
			for i := range ups {
				if ups[i].Name == first {
					ups[i] = ups[i].WithState(vane.UpstreamLeaving)
				}
			}
			p.Update(epoch, ups)
		}},
		{"draining by its own report", func(p *place.Placer, _ []vane.Upstream, _ *vane.Query) {
			p.RecordLoad(epoch, first, vane.Load{Draining: true})
		}},
		{"draining, then a report without it", func(p *place.Placer, _ []vane.Upstream, _ *vane.Query) {
			p.RecordLoad(epoch, first, vane.Load{Draining: true})
			p.RecordLoad(epoch.Add(time.Second), first, vane.Load{})
		}},
		{"failed a moment ago", func(p *place.Placer, _ []vane.Upstream, _ *vane.Query) { p.RecordFailure(epoch, first) }},
		{"excluded by the query", func(_ *place.Placer, _ []vane.Upstream, q *vane.Query) { q.Exclude = []string{first} }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, ups, q := place.New(), engines(4), q
			p.Update(epoch, ups)
			tt.change(p, ups, &q)
			pick, ok := p.Pick(epoch, q)
			is.True(ok)
			is.True(pick.Upstream.Name != first)
		})
	}
}

// TestCacheEntriesEndWithProcessAndVersion checks that nothing counts as cached any more
// after an engine was restarted or has loaded other weights.
func TestCacheEntriesEndWithProcessAndVersion(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(u vane.Upstream) vane.Upstream
		want   int
	}{
		{"same process", func(u vane.Upstream) vane.Upstream { return u }, 2 * prefix.DefaultPieceTokens},
		{"restarted", func(u vane.Upstream) vane.Upstream { return u.WithIncarnation(2) }, 0},
		{"new weights", func(u vane.Upstream) vane.Upstream { u.Version = "v2"; return u }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ups, q := engines(2), query(1, 2)
			second := ups[0]
			if choice(ups, q) == second.Name {
				second = ups[1]
			}
			p := place.New()
			p.Update(epoch, ups)
			pick := vane.Pick{Upstream: second}
			p.RecordSent(epoch, q, pick)
			p.RecordDone(epoch, q, pick, vane.Outcome{TimeToFirstToken: time.Millisecond, CachedTokens: 0})
			is.Equal(p.CachedTokens(epoch.Add(time.Second), tt.change(second), q.Prompt), tt.want)
		})
	}
}

// TestHotPrefixSpreadsAndShrinks checks that a prefix with many requests in flight is sent
// to further upstreams, and to its first choice again after these requests have ended.
func TestHotPrefixSpreadsAndShrinks(t *testing.T) {
	is := is.New(t)
	p := place.New()
	p.Update(epoch, engines(8))
	q := query(1, 2)
	first := choice(engines(8), q)
	used := map[string]bool{}
	var sent []vane.Pick
	for range 200 {
		pick, _ := p.Pick(epoch, q)
		p.RecordSent(epoch, q, pick)
		used[pick.Upstream.Name] = true
		sent = append(sent, pick)
	}
	is.True(len(used) > 2) // the prefix was sent to further upstreams
	for _, pick := range sent {
		p.RecordDone(epoch, q, pick, vane.Outcome{TimeToFirstToken: time.Millisecond, CachedTokens: 8000})
	}
	pick, _ := p.Pick(epoch.Add(time.Second), q)
	is.Equal(pick.Upstream.Name, first) // the prefix is back at its first choice
}

func TestLastResort(t *testing.T) {
	is := is.New(t)
	p, ups := place.New(), engines(2)
	p.Update(epoch, ups)
	p.RecordFailure(epoch, ups[0].Name)
	p.RecordFailure(epoch, ups[1].Name)
	_, ok := p.Pick(epoch, query(1))
	is.True(ok) // a failed upstream is chosen if there is no other
	p.RecordLoad(epoch, ups[0].Name, vane.Load{Draining: true})
	pick, ok := p.Pick(epoch, query(1))
	is.True(ok)
	is.Equal(pick.Upstream.Name, ups[1].Name)
	p.RecordLoad(epoch, ups[1].Name, vane.Load{Draining: true})
	_, ok = p.Pick(epoch, query(1))
	is.True(!ok) // an upstream that is draining is never chosen
}
