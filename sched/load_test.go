package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/sched"
)

// simulation sends prompts of many subjects through the placers of many nodes, which get
// each other's cache updates late, and measures the load of the engines.
type simulation struct {
	nodes, engines, subjects int
	rate                     int           // prompts per second
	updateInterval           time.Duration // time between two cache updates of a node
	duration                 time.Duration
}

// sentPrompt is a prompt that was sent to an engine.
type sentPrompt struct {
	at     time.Duration
	tokens int // prompt tokens that the engine has to compute
}

// outcome is the result of a simulation.
type outcome struct {
	overloaded float64 // share of prompts whose engine computes prompts for over half of the time around it
	recomputed float64 // mean tokens of shared parts per prompt that another engine had computed before
}

// run runs the simulation in virtual time.
func (r simulation) run() outcome {
	rng := rand.New(rand.NewPCG(11, 12))
	var nodes []*sched.Placer
	for i := range r.nodes {
		p := sched.New(fmt.Sprintf("dc%d", i%3), &cache{down: true})
		p.Update(view(r.engines, same(1)))
		nodes = append(nodes, p)
	}
	type attempt struct {
		p *sched.Placer
		a *sched.Attempt
	}
	ending := make(map[time.Duration][]attempt)
	prompts := make(map[string][]sentPrompt)
	holders := make(map[string]map[string]bool) // engines that have each part, by part ID
	var out outcome
	const tick = time.Millisecond
	n, recomputed := 0, 0
	for at := time.Duration(0); at < r.duration; at += tick {
		now := begin.Add(at)
		for _, e := range ending[at] {
			e.p.FirstByte(now, e.a)
			e.p.End(now, e.a)
		}
		for i, p := range nodes {
			if (at+time.Duration(i)*7*tick)%r.updateInterval == 0 {
				updates := p.TakeCacheUpdates()
				for j, o := range nodes {
					if j != i {
						o.ApplyCacheUpdates(updates)
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
			a := p.Begin(now, q, c)
			e := c.Upstream.Name
			prompts[e] = append(prompts[e], sentPrompt{at, c.UncachedTokens})
			for _, part := range q.Shared() {
				if holders[part.ID] == nil {
					holders[part.ID] = make(map[string]bool)
				}
				if c.FetchFrom == "" && len(holders[part.ID]) > 0 && !holders[part.ID][e] {
					recomputed += part.Tokens
				}
				holders[part.ID][e] = true
			}
			done := at + 150*tick
			ending[done] = append(ending[done], attempt{p, a})
		}
	}
	const window, perMS = 300 * time.Millisecond, 93.6
	overloaded := 0
	for _, l := range prompts {
		for _, x := range l {
			sum := 0
			for _, y := range l {
				if y.at > x.at-window && y.at < x.at+window {
					sum += y.tokens
				}
			}
			if float64(sum) > perMS*float64(window.Milliseconds()) {
				overloaded++
			}
		}
	}
	out.overloaded, out.recomputed = float64(overloaded)/float64(n), float64(recomputed)/float64(n)
	return out
}

// Guards against nodes that send prompts to the same engines because they learn late what
// the others send. 80 nodes send prompts of thousands of subjects to 140 engines right
// after new weights, when no engine holds any part. All prompts together need less than a
// third of the engines' prefill rate. Fewer than a fifth of the prompts may go to an
// overloaded engine.
func TestManyNodesSpreadPrompts(t *testing.T) {
	is := is.New(t)
	out := simulation{nodes: 80, engines: 140, subjects: 3300, rate: 520, updateInterval: 500 * time.Millisecond, duration: 4 * time.Second}.run()
	t.Logf("%+v", out)
	is.True(out.overloaded < 0.2)
}
