package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/sched"
)

// replay sends prompts of many subjects through the placers of many nodes, which hear
// each other's news late, and counts what the engines have to do.
type replay struct {
	nodes, engines, subjects int
	rate                     int           // prompts a second
	newsEvery                time.Duration // between messages of a node
	last                     time.Duration
}

// sent is a prompt that an engine got.
type sent struct {
	at     time.Duration
	tokens int
}

// outcome is what a replay led to.
type outcome struct {
	crowded float64 // share of prompts at engines that were busy for over half of the time around it
	again   float64 // tokens of shared parts computed again, per prompt
}

// run replays the load in virtual time.
func (r replay) run() outcome {
	rng := rand.New(rand.NewPCG(11, 12))
	var nodes []*sched.Placer
	for i := range r.nodes {
		p := sched.New(fmt.Sprintf("dc%d", i%3), &cache{down: true})
		p.Update(view(r.engines, same(1)))
		nodes = append(nodes, p)
	}
	type open struct {
		p  *sched.Placer
		tk *sched.Attempt
	}
	ends := make(map[time.Duration][]open)
	work := make(map[string][]sent)
	read := make(map[string]map[string]bool) // parts that engines computed, by part
	var out outcome
	const tick = time.Millisecond
	n, again := 0, 0
	for at := time.Duration(0); at < r.last; at += tick {
		now := begin.Add(at)
		for _, e := range ends[at] {
			e.p.FirstByte(now, e.tk)
			e.p.End(now, e.tk)
		}
		for i, p := range nodes {
			if (at+time.Duration(i)*7*tick)%r.newsEvery == 0 {
				news := p.TakeCacheUpdates()
				for j, o := range nodes {
					if j != i {
						o.ApplyCacheUpdates(news)
					}
				}
			}
		}
		for n < int(float64(r.rate)*at.Seconds()) {
			p := nodes[rng.IntN(r.nodes)]
			q := query(rng.IntN(r.subjects), n)
			q.ID = fmt.Sprint(n)
			n++
			c, ok := p.Pick(now, q)
			if !ok {
				continue
			}
			tk := p.Begin(now, q, c)
			e := c.Upstream.Name
			work[e] = append(work[e], sent{at, c.UncachedTokens})
			for _, part := range q.Shared() {
				if read[part.ID] == nil {
					read[part.ID] = make(map[string]bool)
				}
				if c.FetchFrom == "" && len(read[part.ID]) > 0 && !read[part.ID][e] {
					again += part.Tokens
				}
				read[part.ID][e] = true
			}
			done := at + 150*tick
			ends[done] = append(ends[done], open{p, tk})
		}
	}
	const window, perMS = 300 * time.Millisecond, 93.6
	busy := 0
	for _, l := range work {
		for _, x := range l {
			sum := 0
			for _, y := range l {
				if y.at > x.at-window && y.at < x.at+window {
					sum += y.tokens
				}
			}
			if float64(sum) > perMS*float64(window.Milliseconds()) {
				busy++
			}
		}
	}
	out.crowded, out.again = float64(busy)/float64(n), float64(again)/float64(n)
	return out
}

// Load: prompts of thousands of subjects at eighty nodes before 140 engines, right
// after new weights, when nobody holds any part. All prompts together take less than
// a third of the engines' speed.
func TestManyNodesSpreadPrompts(t *testing.T) {
	is := is.New(t)
	out := replay{nodes: 80, engines: 140, subjects: 3300, rate: 520, newsEvery: 500 * time.Millisecond, last: 4 * time.Second}.run()
	t.Logf("%+v", out)
	is.True(out.crowded < 0.2)
}
