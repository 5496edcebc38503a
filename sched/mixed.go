package sched

import (
	"math"
	"time"

	vane "mustardvane.org/vane"
)

// Limits for services that get long and short prompts. An engine computes prompts between
// the tokens of its streams, so that a stream pauses while the engine computes a long
// prompt, and a short prompt waits until it is computed.
const (
	shortPromptTokens = 2048             // length up to which a prompt is short: half a chunk, so that it pauses the streams of an engine for half a chunk at most
	mixedWindow       = 10 * time.Second // time since the last prompt of a kind during which a service gets that kind; at two of a kind in a second, a node of a large site sees no gap as long
	workTime          = 10 * time.Second // time constant of the averages of computed prompt tokens; nodes that see two prompts in a second then agree on the shares of the kinds to about a quarter
	runningTime       = 4 * time.Second  // time constant of the averages of running requests
	slotWeight        = 0.8              // weight of the need for slots, since requests that wait for their prompts hold slots that no other needs meanwhile; with 1, long prompts of engines with 16 slots are crowded, with 0.6 short ones of engines with 128
	minGroup          = 4                // smallest number of engines that a kind prefers; with fewer, the failure of one would break too many of its streams
	otherGroupCost    = 0.08             // cost of an engine that the other kind prefers, as much as waiting for the whole objective: the preference only decides while neither is late
	orderHashKey      = "short prompts"  // hashed with an engine's name to give its rank in the order in which short prompts prefer engines
)

// short reports whether the request has a short prompt. A prompt of unknown length
// (PromptTokens is zero) is not short.
func (q Query) short() bool { return q.PromptTokens > 0 && q.PromptTokens <= shortPromptTokens }

// kindLoad is the load that this node's requests of one kind cause at a service.
type kindLoad struct {
	at      time.Time      // time of the last request
	running runningAverage // requests in flight
	work    workAverage    // uncached prompt tokens
}

// begin records that a request with that many uncached prompt tokens is sent.
func (k *kindLoad) begin(now time.Time, tokens int) {
	k.at = now
	k.running.add(now, 1)
	k.work.add(now, tokens)
}

// engines returns the number of engines that all requests of this node need, if each
// computes prompts at the given rate and has so many slots: as many as compute the
// prompts, or have a slot for most of the requests, whichever is more.
func (k *kindLoad) engines(now time.Time, perMS, slots float64) float64 {
	k.running.advance(now)
	k.work.advance(now)
	return max(k.work.perMS/perMS, slotWeight*k.running.mean/slots)
}

// recent reports whether the service still gets requests of the kind.
func (k *kindLoad) recent(now time.Time) bool {
	return !k.at.IsZero() && now.Sub(k.at) < mixedWindow
}

// mix is the load of a service by kind.
type mix struct{ long, short kindLoad }

// mixed reports whether the service gets long and short prompts.
func (m *mix) mixed(now time.Time) bool {
	return m != nil && m.long.recent(now) && m.short.recent(now)
}

// kindOf returns the load of the kind of the request, or nil if the length of its prompt is
// not known. The caller must hold p.mu.
func (p *Placer) kindOf(q Query) *kindLoad {
	if q.PromptTokens <= 0 {
		return nil
	}
	m := p.mixes[q.Service]
	if m == nil {
		m = &mix{}
		p.mixes[q.Service] = m
	}
	if q.short() {
		return &m.short
	}
	return &m.long
}

// runningAverage is an exponentially weighted average of the number of running requests.
type runningAverage struct {
	running   int
	mean      float64
	updatedAt time.Time // time to which mean applies
}

// advance updates the average to now.
func (a *runningAverage) advance(now time.Time) {
	if d := now.Sub(a.updatedAt); !a.updatedAt.IsZero() && d > 0 {
		keep := math.Exp(-float64(d) / float64(runningTime))
		a.mean = keep*a.mean + (1-keep)*float64(a.running)
	}
	a.updatedAt = now
}

// add changes the number of running requests by n, which is negative if requests end.
func (a *runningAverage) add(now time.Time, n int) {
	a.advance(now)
	a.running += n
}

// workAverage is an exponentially weighted rate of prompt tokens.
type workAverage struct {
	perMS     float64
	updatedAt time.Time // time to which perMS applies
}

// advance updates the rate to now.
func (a *workAverage) advance(now time.Time) {
	if d := now.Sub(a.updatedAt); !a.updatedAt.IsZero() && d > 0 {
		a.perMS *= math.Exp(-float64(d) / float64(workTime))
	}
	a.updatedAt = now
}

// add records tokens.
func (a *workAverage) add(now time.Time, tokens int) {
	a.advance(now)
	a.perMS += float64(tokens) / float64(workTime.Milliseconds())
}

// shortRank returns the highest rank of the usable engines of the service that short
// prompts prefer; long prompts prefer the others. It returns -1 if there is no preference.
//
// The engines are divided in proportion to what the kinds need, so that both groups are
// equally busy. All nodes see the same mix of requests, and divide the engines in the same
// order, so that they agree without news of each other. The caller must hold p.mu.
func (p *Placer) shortRank(now time.Time, q Query) float64 {
	m := p.mixes[q.Service]
	if q.PromptTokens <= 0 || !m.mixed(now) {
		return -1
	}
	usable, slots := 0, 0
	for _, u := range p.byService[q.Service] {
		if p.dividesTo(now, q, u) {
			usable, slots = usable+1, slots+u.Slots
		}
	}
	if slots == 0 {
		return -1
	}
	each := float64(slots) / float64(usable)
	perMS := p.rates.Engine(q.Service).PrefillPerMS
	short, long := m.short.engines(now, perMS, each), m.long.engines(now, perMS, each)
	if short <= 0 || long <= 0 {
		return -1
	}
	n := int(math.Round(float64(usable) * short / (short + long)))
	if n < minGroup || usable-n < minGroup {
		return -1
	}
	rank := -1.0
	for _, u := range p.byService[q.Service] {
		if n > 0 && p.dividesTo(now, q, u) {
			rank, n = u.rank, n-1
		}
	}
	return rank
}

// dividesTo reports whether u is one of the engines that are divided between the kinds.
func (p *Placer) dividesTo(now time.Time, q Query, u *upstream) bool {
	return u.Role == vane.RoleEngine && u.usable(now) && !p.isLimited(now, q, u)
}

// groupCost returns the cost of u for a query whose kind may prefer other engines.
func (q Query) groupCost(u *upstream, shortRank float64) float64 {
	if q.prefers(u, shortRank) {
		return 0
	}
	return otherGroupCost
}

// prefers reports whether the kind of the query's prompt prefers u, where short prompts
// prefer engines up to shortRank. Without a preference it is true.
func (q Query) prefers(u *upstream, shortRank float64) bool {
	return shortRank < 0 || q.short() == (u.rank <= shortRank)
}
