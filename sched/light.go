package sched

import (
	"math"
	"time"

	vane "mustardvane.org/vane"
)

// Bounds of keeping requests with short prompts apart. An engine computes prompts
// between the tokens of its streams, so that a stream pauses while long prompts are
// computed beside it.
const (
	lightPrompt = 2048            // tokens; half of the piece that engines compute between two tokens
	lightFill   = 0.7             // of an engine's slots that requests with short prompts take before one more engine is set apart
	lightLeast  = 4               // engines; the failure of one of fewer would break too many streams
	lightMost   = 0.5             // of the engines that are set apart at most
	longLeast   = 0.02            // of the engines' speed that long prompts take, for short ones to be kept apart
	lightSpan   = 4 * time.Second // over which the number of running requests is averaged
	apartShare  = 0.25            // lost by a request among those of the other kind
	lightRank   = "short prompts" // names the order in which engines are set apart
)

// light says whether a request has a short prompt.
func (q Query) light() bool { return q.PromptTokens > 0 && q.PromptTokens <= lightPrompt }

// lightLoad is the average number of this node's running requests with short prompts.
type lightLoad struct {
	running int
	mean    float64
	at      time.Time
}

// settle brings the average up to now.
func (l *lightLoad) settle(now time.Time) {
	if d := now.Sub(l.at); !l.at.IsZero() && d > 0 {
		keep := math.Exp(-float64(d) / float64(lightSpan))
		l.mean = keep*l.mean + (1-keep)*float64(l.running)
	}
	l.at = now
}

// change notes that requests begin or end.
func (l *lightLoad) change(now time.Time, n int) {
	l.settle(now)
	l.running += n
}

// apart returns up to which rank usable engines of a service are set apart for
// requests with short prompts; all nodes have about the same number in mind, and
// take the engines in the same order. There is none as long as no prompts are long.
func (p *Placer) apart(now time.Time, q Query) float64 {
	p.light.settle(now)
	usable, slots := 0, 0
	for _, u := range p.bySvc[q.Service] {
		if u.Role == vane.RoleEngine && u.usable(now) {
			usable, slots = usable+1, slots+u.Slots
		}
	}
	nodes := p.store.nodes
	if slots == 0 || p.long.perMS(now)*nodes < longLeast*prefillPerMS*float64(usable) {
		return -1
	}
	each := lightFill * float64(slots) / float64(usable)
	n := math.Ceil(p.light.mean * nodes / each)
	n = min(n, math.Floor(lightMost*float64(usable)))
	if n < lightLeast {
		return -1
	}
	rank := -1.0
	for _, u := range p.bySvc[q.Service] {
		if n > 0 && u.Role == vane.RoleEngine && u.usable(now) {
			rank, n = u.rank, n-1
		}
	}
	return rank
}
