package sched

import (
	"math"
	"time"

	vane "mustardvane.org/vane"
)

// Limits for reserving engines for short prompts. An engine computes prompts between
// the tokens of its streams, so that a stream pauses while the engine computes a long
// prompt.
const (
	shortPromptTokens  = 2048            // length up to which a prompt is short: half the prompt tokens that an engine computes between two tokens of its streams
	reservedFill       = 0.7             // share of an engine's slots that short prompts fill before another engine is reserved
	minReserved        = 4               // smallest number of reserved engines; with fewer, the failure of one would break too many streams
	maxReservedShare   = 0.5             // largest share of the usable engines that is reserved
	minLongShare       = 0.02            // share of the engines' prefill rate that long prompts must use before any engine is reserved
	shortAverageTime   = 4 * time.Second // time constant of the average number of running short prompts
	wrongPoolCost      = 0.25            // cost of a short prompt at an engine that is not reserved, and of a long one at a reserved engine
	reservationHashKey = "short prompts" // hashed with an engine's name to give its rank in the order of reservation
)

// short reports whether the request has a short prompt. A prompt of unknown length
// (PromptTokens is zero) is not short.
func (q Query) short() bool { return q.PromptTokens > 0 && q.PromptTokens <= shortPromptTokens }

// runningAverage is an exponentially weighted average of the number of running requests.
type runningAverage struct {
	running   int
	mean      float64
	updatedAt time.Time // time to which mean applies
}

// advance updates the average to now.
func (a *runningAverage) advance(now time.Time) {
	if d := now.Sub(a.updatedAt); !a.updatedAt.IsZero() && d > 0 {
		keep := math.Exp(-float64(d) / float64(shortAverageTime))
		a.mean = keep*a.mean + (1-keep)*float64(a.running)
	}
	a.updatedAt = now
}

// add changes the number of running requests by n, which is negative if requests end.
func (a *runningAverage) add(now time.Time, n int) {
	a.advance(now)
	a.running += n
}

// reservedRank returns the highest rank of the usable engines of the service that are
// reserved for short prompts, or -1 if none are reserved. Each node multiplies its own
// load by the number of nodes and reserves engines in order of rank, so that all nodes
// reserve about the same engines. None are reserved while hardly any prompts are long.
// The caller must hold p.mu.
func (p *Placer) reservedRank(now time.Time, q Query) float64 {
	p.shortRunning.advance(now)
	usable, slots := 0, 0
	for _, u := range p.byService[q.Service] {
		if u.Role == vane.RoleEngine && u.usable(now) && !u.isCold(now) && !p.excludesDataCentre(q, u.DataCentre) {
			usable, slots = usable+1, slots+u.Slots
		}
	}
	nodes := p.storeLink.nodes
	if slots == 0 || p.longPrefill.perMS(now)*nodes < minLongShare*p.rates.Engine(q.Service).PrefillPerMS*float64(usable) {
		return -1
	}
	each := reservedFill * float64(slots) / float64(usable)
	n := math.Ceil(p.shortRunning.mean * nodes / each)
	n = min(n, math.Floor(maxReservedShare*float64(usable)))
	if n < minReserved {
		return -1
	}
	rank := -1.0
	for _, u := range p.byService[q.Service] {
		if n > 0 && u.Role == vane.RoleEngine && u.usable(now) && !u.isCold(now) && !p.excludesDataCentre(q, u.DataCentre) {
			rank, n = u.rank, n-1
		}
	}
	return rank
}
