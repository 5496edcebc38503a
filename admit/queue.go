package admit

import (
	"math"
	"slices"
	"time"
)

// Ticket is a request that waits at the node.
type Ticket struct {
	Request
	arrived  time.Time
	deadline time.Time // latest time at which sending the request is of use
	work     float64   // milliseconds
	flow     *flow
	late     bool // the request is not expected to be answered within its objective
	queued   bool
	granted  bool // the request was started and has not been sent
	assumed  time.Duration

	spent, spentLate float64 // tokens charged at the start
}

// Assumed returns the expected time until the answer of a started request begins, for
// [Controller.Observe].
func (t *Ticket) Assumed() time.Duration { return t.assumed }

// Late reports whether the request was not expected to be answered within its objective.
func (t *Ticket) Late() bool { return t.late }

// Arrived returns the time at which the request began to wait.
func (t *Ticket) Arrived() time.Time { return t.arrived }

// flowKey identifies the requests that share a turn.
type flowKey struct {
	workspace, kind string
	shared          bool // the flow of all requests beyond maxFlows
}

// flow is the requests of one kind and workspace.
type flow struct {
	usage  average // work that was sent
	recent average // work that arrived
	usual  average // work that arrived over a longer time
	since  time.Time
	limit  time.Duration // longest recent time left of an arriving request
	queued float64       // work of the waiting requests that are not late, in milliseconds
}

// usualTime is the time constant of the usual work of a flow.
const usualTime = time.Minute

// weight returns the usual work of the flow per millisecond, at least half of the mean of
// all flows.
func (s *service) weight(now time.Time, f *flow) float64 {
	if !s.meanKnown {
		sum := 0.0
		for _, g := range s.flows {
			sum += g.usualAt(now)
		}
		s.mean, s.meanKnown = sum/float64(len(s.flows)), true
	}
	return max(f.usualAt(now), s.mean/2, minDemand)
}

// usualAt returns the usual work of the flow. The average is corrected for its short
// history.
func (f *flow) usualAt(now time.Time) float64 {
	known := 1 - math.Exp(-float64(now.Sub(f.since)+demandTime)/float64(usualTime))
	return f.usual.over(now, usualTime) / known
}

// bursts reports whether clearly more work of requests of the given size arrives than usual.
func (f *flow) bursts(now time.Time, work float64) bool {
	const ratio, deviations = 1.5, 2
	usual := f.usualAt(now) * ms(demandTime)
	return f.recent.at(now)*ms(demandTime) > ratio*usual+deviations*math.Sqrt(work*(usual+work))
}

// average is an exponentially weighted average of work per millisecond.
type average struct {
	mean float64
	last time.Time
}

func (a average) at(now time.Time) float64 { return a.over(now, demandTime) }

func (a average) over(now time.Time, constant time.Duration) float64 {
	return a.mean * math.Exp(-max(0, float64(now.Sub(a.last)))/float64(constant))
}

func (a *average) add(now time.Time, work float64) { a.addOver(now, work, demandTime) }

func (a *average) addOver(now time.Time, work float64, constant time.Duration) {
	a.mean = a.over(now, constant) + work/ms(constant)
	if now.After(a.last) {
		a.last = now
	}
}

// byRank returns the demand of a rank.
func (s *service) byRank(r int) *average {
	a, ok := s.demands[r]
	if !ok {
		a = &average{}
		s.demands[r] = a
	}
	return a
}

// demandOf returns the demand of the ranks that are more urgent than r, and of r.
func (s *service) demandOf(now time.Time, r int) (urgent, equal float64) {
	for other, a := range s.demands {
		switch {
		case other < r:
			urgent += a.at(now)
		case other == r:
			equal = a.at(now)
		}
	}
	return urgent, equal
}

// service is the state of one service.
type service struct {
	lag        float64 // demand as other nodes know it
	lagAt      time.Time
	demand     average          // arriving work
	demands    map[int]*average // arriving work by rank
	flows      map[flowKey]*flow
	mean       float64   // mean of the usual work of all flows at the decision
	meanKnown  bool      // mean was computed in this decision
	ranks      []rank    // sorted by rank
	waiting    int       // number of waiting requests
	work       float64   // their work
	granted    float64   // work of the started requests that have not been sent
	pruned     time.Time // time of the last removal of unused flows
	lateTokens float64   // the part of tokens for late requests
	tokens     float64   // work that may be sent at once although the backlog is long
	full       float64   // see fullness; applies to fullAt
	fullAt     time.Time // time of the last refusal by an upstream
	took       float64   // average time until answers began, in milliseconds
	expected   float64   // average of what was assumed for them
	filled     time.Time // time to which tokens applies
	limited    time.Time // last time at which a request waited or was refused
}

// rank holds the waiting requests of one rank.
type rank struct {
	rank   int
	onTime []*Ticket // in the order of arrival
	late   []*Ticket // in the order of their deadlines
}

func newService() *service {
	return &service{demands: make(map[int]*average), flows: make(map[flowKey]*flow)}
}

// maxFlows is the largest number of flows of a service with a turn of their own; all others
// share one. It bounds the time of a decision, which takes the mean of all flows, and the
// memory.
const maxFlows = 256

// flow returns the flow of a request, and counts the request unless an upstream refused it.
func (s *service) flow(now time.Time, r Request) *flow {
	k := flowKey{workspace: r.Workspace, kind: r.Kind}
	f, ok := s.flows[k]
	if !ok && len(s.flows) >= maxFlows {
		k = flowKey{shared: true}
		f, ok = s.flows[k]
	}
	if !ok {
		f = &flow{since: now}
		s.flows[k] = f
	}
	if !r.Again && !r.Waited {
		f.recent.add(now, ms(r.Work))
		f.usual.addOver(now, ms(r.Work), usualTime)
	}
	return f
}

// prune removes the flows without recent work if there are many.
func (s *service) prune(now time.Time) {
	if len(s.flows) < maxFlows || now.Sub(s.pruned) < demandTime {
		return
	}
	s.pruned = now
	for k, f := range s.flows {
		if f.queued == 0 && f.usual.over(now, usualTime) < minDemand {
			delete(s.flows, k)
		}
	}
}

// returned reports whether the caller has spent part of its time before, and records its
// time left. A caller that returns after a refusal states less time than an equal new one of
// its workspace. Callers of other workspaces may have other limits.
func (f *flow) returned(left time.Duration) bool {
	if left >= f.limit {
		f.limit = left
		return false
	}
	const decay = 0.999 // by a third in some 400 requests with less time, so that a changed limit is learned
	f.limit = time.Duration(decay * float64(f.limit))
	return float64(left) < returnedShare*float64(f.limit)
}

// at returns the waiting requests of a rank, which it adds if necessary.
func (s *service) at(r int) *rank {
	i, ok := slices.BinarySearchFunc(s.ranks, r, func(e rank, r int) int { return e.rank - r })
	if !ok {
		s.ranks = slices.Insert(s.ranks, i, rank{rank: r})
	}
	return &s.ranks[i]
}

// isWaiting reports whether a request that is as urgent as r waits.
func (s *service) isWaiting(r int) bool {
	for _, e := range s.ranks {
		if e.rank <= r && len(e.onTime) > 0 {
			return true
		}
	}
	return false
}

// turn returns the recent work of a flow, and work more, as a ratio of its usual work. The
// flow with the lowest ratio goes next.
func (s *service) turn(now time.Time, f *flow, more float64) float64 {
	return (f.usage.at(now) + more/ms(demandTime)) / s.weight(now, f)
}

// ahead returns the work of the waiting requests that go before t if it is on time.
func (s *service) ahead(now time.Time, t *Ticket) float64 {
	sum := 0.0
	for _, e := range s.ranks {
		if e.rank < t.Rank {
			sum += work(e.onTime)
		}
		if e.rank != t.Rank || len(e.onTime) == 0 {
			continue
		}
		queued := make(map[*flow]float64)
		for _, o := range e.onTime {
			queued[o.flow] += o.work
		}
		mine := s.turn(now, t.flow, queued[t.flow])
		for f, n := range queued {
			if f != t.flow {
				n = min(n, max(0, mine-s.turn(now, f, 0))*s.weight(now, f)*ms(demandTime))
			}
			sum += n
		}
	}
	return sum
}

// lateAhead returns the work of the waiting requests that go before t if it is late.
func (s *service) lateAhead(t *Ticket) float64 {
	sum := 0.0
	for _, e := range s.ranks {
		for _, o := range e.late {
			if e.rank < t.Rank || e.rank == t.Rank && !o.deadline.After(t.deadline) {
				sum += o.work
			}
		}
	}
	return sum
}

func work(l []*Ticket) float64 {
	sum := 0.0
	for _, t := range l {
		sum += t.work
	}
	return sum
}

// push adds a ticket.
func (s *service) push(t *Ticket, late bool) {
	t.queued = true
	s.waiting++
	s.work += t.work
	s.limited = t.arrived
	e := s.at(t.Rank)
	if !late {
		e.onTime = append(e.onTime, t)
		t.flow.queued += t.work
		return
	}
	e.pushLate(t)
}

func (e *rank) pushLate(t *Ticket) {
	t.late = true
	i, _ := slices.BinarySearchFunc(e.late, t, func(a, b *Ticket) int { return a.deadline.Compare(b.deadline) })
	e.late = slices.Insert(e.late, i, t)
}

// remove removes a ticket that waits.
func (s *service) remove(t *Ticket) {
	t.queued = false
	s.waiting--
	s.work -= t.work
	e := s.at(t.Rank)
	same := func(o *Ticket) bool { return o == t }
	if t.late {
		e.late = slices.DeleteFunc(e.late, same)
	} else {
		e.onTime = slices.DeleteFunc(e.onTime, same)
		t.flow.queued -= t.work
	}
	if s.waiting == 0 {
		s.work, s.ranks = 0, nil // without rounding errors
	}
}

// expire refuses the tickets that can't be served before their limits, and moves those
// that missed their objective to the late ones.
func (s *service) expire(now time.Time, room Room, g *Grants) {
	for _, t := range s.all() {
		left := t.Deadline.Sub(now)
		switch {
		case room.InService <= 0:
			s.refuse(t, CauseNoneLeft, retryAfter(t.ID, left, 0, true), g)
		case !now.Before(t.deadline):
			s.refuse(t, CauseDeadline, minRetryAfter, g)
		case !t.late && now.Sub(t.arrived) > t.Objective:
			e := s.at(t.Rank)
			e.onTime = slices.DeleteFunc(e.onTime, func(o *Ticket) bool { return o == t })
			t.flow.queued -= t.work
			e.pushLate(t)
		}
	}
}

func (s *service) refuse(t *Ticket, c Cause, after time.Duration, g *Grants) {
	s.remove(t)
	g.Refused = append(g.Refused, Refused{Ticket: t, Cause: c, RetryAfter: after})
}

// all returns the waiting tickets.
func (s *service) all() []*Ticket {
	out := make([]*Ticket, 0, s.waiting)
	for _, e := range s.ranks {
		out = append(append(out, e.onTime...), e.late...)
	}
	return out
}

// first returns the ticket that goes next, with the plan for it, or nil if none may go now.
func (s *service) first(now time.Time, room Room) (*Ticket, plan) {
	for i := range s.ranks {
		if e := &s.ranks[i]; len(e.onTime) > 0 {
			t := s.nextTurn(now, e.onTime)
			p := s.plan(now, room, t.Objective, t.Rank)
			if s.refill(now, p); !p.limited || s.tokens > p.reserve {
				return t, p
			}
		}
	}
	for i := range s.ranks {
		if e := &s.ranks[i]; len(e.late) > 0 {
			p := s.plan(now, room, e.late[0].Objective, e.rank)
			if s.refill(now, p); !p.limited || s.lateTokens > 0 || s.tokens >= p.most() {
				return e.late[0], p
			}
		}
	}
	return nil, plan{}
}

// nextTurn returns the first ticket of the flow whose turn it is.
func (s *service) nextTurn(now time.Time, l []*Ticket) *Ticket {
	best := l[0]
	turn := s.turn(now, best.flow, 0)
	seen := map[*flow]bool{best.flow: true}
	for _, t := range l[1:] {
		if seen[t.flow] {
			continue
		}
		seen[t.flow] = true
		if n := s.turn(now, t.flow, 0); n < turn {
			best, turn = t, n
		}
	}
	return best
}

// start removes a ticket that is to be sent and counts its work.
func (s *service) start(now time.Time, t *Ticket, p plan, room Room) {
	s.remove(t)
	tokens, late := s.tokens, s.lateTokens
	s.spend(now, t.flow, p, t.work, t.late)
	t.spent, t.spentLate = tokens-s.tokens, late-s.lateTokens
	t.granted, t.assumed = true, s.assumed(p, t.work, room)
	s.granted += t.work
}

// lagged returns the demand as the other nodes know it: about a second late. With their
// demand of that time it gives shares whose sum is 1 also while the demand changes.
func (s *service) lagged(now time.Time) float64 {
	d := s.demand.at(now)
	if s.lagAt.IsZero() {
		s.lag = d
	}
	s.lag += (d - s.lag) * (1 - math.Exp(-max(0, float64(now.Sub(s.lagAt)))/float64(time.Second)))
	s.lagAt = now
	return s.lag
}

// refill adds the work that may be sent since the last call, up to a part of the planned
// time.
func (s *service) refill(now time.Time, p plan) {
	most := p.most()
	more := p.rate * max(0, ms(now.Sub(s.filled)))
	s.tokens = min(most, s.tokens+(1-lateShare)*more)
	s.lateTokens = min(most, s.lateTokens+lateShare*more)
	s.filled = now
}

// most is the largest number of tokens.
func (p plan) most() float64 { return tokenShare * p.target * p.rate }

// tokenShare is the part of the planned time whose work a node may send at once.
const tokenShare = 0.25

// spend counts the work of a request that is sent.
func (s *service) spend(now time.Time, f *flow, p plan, work float64, late bool) {
	f.usage.add(now, work)
	least := -p.most()
	if late && s.lateTokens > 0 {
		s.lateTokens = max(s.lateTokens-work, least)
		return
	}
	s.tokens = max(s.tokens-work, least)
}
