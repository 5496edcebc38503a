package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=Action,Cause -linecomment -output=enums_string.go

// Action is what happens to a request.
type Action int

// The actions.
const (
	Send   Action = iota // send
	Wait                 // wait
	Refuse               // refuse
)

// Cause is the cause of a refusal.
type Cause int

// The causes of refusals.
const (
	CauseNone      Cause = iota // none
	CauseNoneLeft               // no_upstream
	CauseBacklog                // backlog
	CauseUpstreams              // upstreams_full
	CauseDeadline               // deadline
)

// Request describes a request.
type Request struct {
	ID        string
	Service   string
	Workspace string        // empty if the request has none
	Kind      string        // such as the name of the route
	Rank      int           // 0 is the most urgent
	Work      time.Duration // time for which the request occupies an upstream
	Objective time.Duration // time within which the answer should begin
	Deadline  time.Time     // the request is of no use to the caller afterwards
	Again     bool          // an upstream has refused the request as full
	Waited    bool          // the request was started before, but no upstream could take it; see [Controller.PutBack]
}

// Room is what a node knows of a service. All work is work that has not been answered.
type Room struct {
	InService  float64       // upstreams that serve requests, full ones included, weighted by their speed
	Usable     int           // upstreams that take requests now
	Own, Peers time.Duration // outstanding work of this node's requests and, as last reported, of those of other nodes
	Waiting    time.Duration // work that waits at other nodes, as last reported
	PeerDemand float64       // work that arrives at the other nodes, in upstreams
	Nodes      int           // number of nodes, including this one
	Reporting  int           // number of other nodes that report their demand
	Base       time.Duration // time to an answer's begin at an idle upstream, without the request's own work
	Ordered    bool          // the upstreams serve their queues by rank
	Parallel   time.Duration // outstanding work for each upstream that delays no other, since slots run it at once
}

// Report is what a node tells the others of the work of a service.
type Report struct {
	Outstanding time.Duration // work of sent requests that have not been answered
	Waiting     time.Duration // work of waiting requests
	Demand      float64       // arriving work, in upstreams
}

// Decision is the decision on a request.
type Decision struct {
	Action     Action
	Cause      Cause         // for Refuse
	Ticket     *Ticket       // for Wait
	RetryAfter time.Duration // for Refuse
	Assumed    time.Duration // for Send: expected time until the answer begins, for Observe
	Predicted  time.Duration // expected time until the answer begins
	Share      float64       // this node's share of the upstreams; zero if the request is sent at once
}

// Refused is a ticket that will not be started.
type Refused struct {
	*Ticket
	Cause      Cause
	RetryAfter time.Duration
}

// Grants are the tickets that a call of Next decided on.
type Grants struct {
	Started []*Ticket
	Refused []Refused
}

// Parameters of the decisions. Those without a reason in terms of callers were chosen by the
// replays, whose results change little around them.
const (
	onTimeFill        = 0.8                    // share of the objective that is planned for; the rest covers the deviation of single requests from the mean
	calmShare         = 0.8                    // share of the planned time up to which a backlog is no reason to hold or refuse requests
	minPlanShare      = 0.25                   // least share of the objective that is planned for work, for services whose base time is near the objective
	waitShare         = 0.2                    // longest wait of a request that is on time, as a share of the planned time; a wait far below the objective is no worse than a refusal
	limitedTime       = time.Second            // time for which a node sends no more than its rate after a request waited or was refused; what others send is known up to two seconds late
	lateShare         = 0.1                    // share of the rate that late requests get while others are on time; late answers have 0.12 to 0.46 of the worth
	lateLeftShare     = 0.5                    // share of the time left within which a late request must be expected to be answered
	returnedLeftShare = 0.6                    // the same for callers that return, for whom another refusal is worse
	returnedShare     = 0.9                    // a caller that states less than this share of the longest limit of its kind has spent the rest before
	retryShare        = 1.0 / 3                // share of the time left that callers honour as Retry-After
	minRetryAfter     = 50 * time.Millisecond  // shortest Retry-After
	defaultTarget     = 500 * time.Millisecond // objective of a request that states none
	demandTime        = 4 * time.Second        // time constant of the demand and of the recent work of flows; some ten requests at a node of a large site
	minShareOfMean    = 0.5                    // least share of the upstreams, as a multiple of an equal one
)

// Controller decides for all services of one node. It is not safe for concurrent use.
type Controller struct {
	services map[string]*service
}

// New returns a controller without requests.
func New() *Controller { return &Controller{services: make(map[string]*service)} }

func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = newService()
		c.services[name] = s
	}
	return s
}

// plan holds the figures of one decision, in milliseconds.
type plan struct {
	rate     float64 // work per millisecond that this node may send while the backlog is long
	all      float64 // work that all upstreams do per millisecond
	target   float64 // time to the answer's begin that is planned for, without the base time
	delay    float64 // expected time that a request sent now spends waiting at an upstream
	share    float64 // this node's share of the upstreams
	limited  bool    // the node sends no more than its rate
	left     float64 // part of the rate that more urgent requests leave
	overload bool    // more work arrives than the upstreams do
	fullness float64 // see service.fullness; 1 without overload
	spare    float64 // part of the rate that late requests get; all if the upstreams can't answer any in time
	reserve  float64 // tokens that are kept for more urgent requests
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// plan returns the figures for a request of the given rank.
func (s *service) plan(now time.Time, room Room, objective time.Duration, rank int) plan {
	k := s.correction()
	p := plan{share: s.share(now, room), all: room.InService / k, fullness: 1}
	p.target = max(onTimeFill*ms(objective)-k*ms(room.Base), minPlanShare*ms(objective), k*ms(room.Parallel))
	own := ms(room.Own) + s.granted
	peers := ms(room.Peers) + silentWeight*own*room.silent()
	p.delay = (1-ownWeight)*(own+peers)/p.all + ownWeight*own/(p.all*p.share)
	p.delay = max(0, p.delay-k*ms(room.Parallel))
	p.limited = p.delay > calmShare*p.target || now.Sub(s.limited) < limitedTime
	p.rate = p.all * p.share * p.drain()
	if p.spare = lateShare; k*ms(room.Base) >= ms(objective) {
		p.spare = 1
	}
	if s.demand.at(now)+room.PeerDemand > p.all {
		p.overload, p.fullness = true, s.fullness(now)
		p.rate *= fullRate + (1-fullRate)*p.fullness
	}
	urgent, equal := s.demandOf(now, rank)
	p.left = max(minLeft, 1-urgent/p.rate)
	p.reserve = (1 - p.left) * reserveShare * p.most()
	if d := s.demand.at(now); room.Ordered && d > 0 {
		p.delay *= min(1, (urgent+equal)/d) // upstreams let the others wait
	}
	return p
}

// Parameters of the precedence of urgent requests.
const (
	minLeft      = 0.05 // least part of the rate that is left to a rank, so that none starves
	burstReserve = 0.5  // share of the tokens that is reserved for flows with their usual rates
	reserveShare = 0.8  // share of the tokens that is reserved if urgent requests need all of the rate
)

// ownWeight is the weight of what the own outstanding work tells of the delay. It is exact,
// but a small sample; that of the other nodes is known late.
const ownWeight = 0.2

// silentWeight is the outstanding work of a node that reports nothing, as a ratio of this
// node's. It is less than 1, since a node must not hold requests because it is the only one
// that has any.
const silentWeight = 0.5

// silent returns the number of other nodes that report nothing, such as those of older builds.
func (r Room) silent() float64 { return max(0, float64(r.Nodes-1-r.Reporting)) }

// drain returns the work that is sent as a ratio of what the upstreams do, so that the
// backlog gets shorter if it is near the planned time. The backlog is known late, so that
// the ratio differs little from 1.
func (p plan) drain() float64 {
	const fastest, atTarget, slowest = 1.1, 0.9, 0.6
	return min(fastest, max(slowest, fastest-(fastest-atTarget)*(p.delay/p.target-calmShare)/(1-calmShare)))
}

// share returns this node's share of the upstreams by the arriving work. Nodes that report
// nothing count like this one.
func (s *service) share(now time.Time, room Room) float64 {
	n := float64(max(1, room.Nodes))
	own := s.lagged(now)
	peers := room.PeerDemand + own*room.silent()
	if own+peers <= 0 {
		return 1 / n
	}
	return max(own/(own+peers), minShareOfMean/n)
}

// Offer decides on a request that arrived or that an upstream refused as full.
func (c *Controller) Offer(now time.Time, r Request, room Room) Decision {
	s := c.service(r.Service)
	s.meanKnown = false
	if r.Objective <= 0 {
		r.Objective = defaultTarget
	}
	work := ms(r.Work)
	switch {
	case r.Again:
		s.recordFull(now)
	case !r.Waited:
		s.demand.add(now, work)
		s.byRank(r.Rank).add(now, work)
		s.prune(now)
	}
	left := r.Deadline.Sub(now)
	if room.InService <= 0 {
		return Decision{Action: Refuse, Cause: CauseNoneLeft, RetryAfter: retryAfter(r.ID, left, 0, true)}
	}
	p := s.plan(now, room, r.Objective, r.Rank)
	s.refill(now, p)
	f := s.flow(now, r)
	if f.bursts(now, work) {
		p.reserve = max(p.reserve, burstReserve*p.most())
	}
	full := room.Usable == 0
	returned := !r.Again && !r.Waited && f.returned(left)
	if !full && (!p.limited || s.tokens > p.reserve && !returned && duration(p.delay+work) < left) && !s.isWaiting(r.Rank) {
		s.spend(now, f, p, work, false)
		return Decision{Action: Send, Assumed: s.assumed(p, work, room), Predicted: duration(p.delay+work) + room.Base}
	}
	t := &Ticket{Request: r, arrived: now, work: work, flow: f, deadline: r.Deadline.Add(-room.Base)}
	wait := s.ahead(now, t) / (p.rate * p.left)
	d := Decision{Action: Wait, Ticket: t, Share: p.share, Predicted: duration(p.delay+wait+work) + room.Base}
	if !returned && p.delay+wait <= p.target && wait <= waitShare*p.target*p.fullness && d.Predicted < left {
		s.push(t, false)
		return d
	}
	if d.Predicted = s.latePredicted(p, t, room); d.Predicted <= lateWithin(left, returned) {
		s.push(t, true)
		return d
	}
	cause := CauseBacklog
	if full {
		cause = CauseUpstreams
	}
	s.limited = now
	return Decision{Action: Refuse, Cause: cause, Share: p.share, Predicted: d.Predicted, RetryAfter: retryAfter(r.ID, left, p.delay+wait-calmShare*p.target, p.overload)}
}

// latePredicted returns the expected time until a late request is answered.
func (s *service) latePredicted(p plan, t *Ticket, room Room) time.Duration {
	return duration(p.delay+(s.lateAhead(t)+t.work)/(p.spare*p.rate*p.left)) + room.Base
}

// lateWithin returns the time within which a late request must be expected to be answered.
func lateWithin(left time.Duration, returned bool) time.Duration {
	if returned {
		return time.Duration(returnedLeftShare * float64(left))
	}
	return time.Duration(lateLeftShare * float64(left))
}

// fullness returns 1 if no upstream refused a request as full lately, and less the more did.
// A request that waits and is then refused by an upstream costs its caller more than one that
// is refused on arrival, so that less is sent and waits are shorter.
func (s *service) fullness(now time.Time) float64 {
	return min(1, s.full+fullIncrease*now.Sub(s.fullAt).Seconds())
}

// recordFull records that an upstream refused a request as full.
func (s *service) recordFull(now time.Time) {
	s.full, s.fullAt = fullDecrease*s.fullness(now), now
}

// Parameters of the reaction to full upstreams.
const (
	fullRate     = 0.8 // ratio of the rate while upstreams refuse many requests
	fullDecrease = 0.9 // for each refusal
	fullIncrease = 0.2 // per second
)

// Next decides on the waiting requests of a service. The returned tickets no longer wait.
func (c *Controller) Next(now time.Time, service string, room Room) Grants {
	s, ok := c.services[service]
	if !ok || s.waiting == 0 {
		return Grants{}
	}
	var g Grants
	s.meanKnown = false
	s.expire(now, room, &g)
	if room.Usable == 0 || room.InService <= 0 {
		return g
	}
	for {
		t, p := s.first(now, room)
		if t == nil {
			return g
		}
		s.start(now, t, p, room)
		g.Started = append(g.Started, t)
	}
}

// Begin records that a started request was sent, so that the next Room includes it, or that
// it will not be sent. Further calls have no effect.
func (c *Controller) Begin(t *Ticket) {
	if t.granted {
		t.granted = false
		c.service(t.Service).granted -= t.work
	}
}

// PutBack records that no upstream could take a started request, such as if those of its
// regions are full. What it was charged is given back.
func (c *Controller) PutBack(now time.Time, t *Ticket) {
	if !t.granted {
		return
	}
	c.Begin(t)
	s := c.service(t.Service)
	s.tokens += t.spent
	s.lateTokens += t.spentLate
	t.flow.usage.add(now, -t.work)
}

// Cancel withdraws a waiting request. It returns false if it no longer waits.
func (c *Controller) Cancel(t *Ticket) bool {
	if !t.queued {
		return false
	}
	c.service(t.Service).remove(t)
	return true
}

// Observe corrects the assumed work. It takes the time from sending a request until the
// answer began, and what was assumed for it.
func (c *Controller) Observe(service string, took, assumed time.Duration) {
	if took <= 0 || assumed <= 0 {
		return
	}
	s := c.service(service)
	s.took += (ms(took) - s.took) * observeWeight
	s.expected += (ms(assumed) - s.expected) * observeWeight
}

// correction returns the ratio of the time that work takes to what was assumed. Averages over
// the same requests are compared, so that single ones matter little. It does not correct
// upwards: while a backlog grows, answers take longer than expected since it is known late,
// and requests must not be refused for that.
func (s *service) correction() float64 {
	return max(minCorrection, min(maxCorrection, (s.took+priorMS)/(s.expected+priorMS)))
}

// assumed returns the expected time until the answer begins, without the correction.
func (s *service) assumed(p plan, work float64, room Room) time.Duration {
	return duration(p.delay/s.correction()+work) + room.Base
}

// Parameters of the correction of the assumed work.
const (
	observeWeight = 1.0 / 32
	minCorrection = 0.25
	maxCorrection = 1   // with 1.5, requests waited and were refused at 0.6 of a plain service's capacity
	priorMS       = 1.0 // keeps the ratio at 1 while nothing has been observed
)

// Waiting returns the work of the waiting requests of a service and their number.
func (c *Controller) Waiting(service string) (time.Duration, int) {
	s, ok := c.services[service]
	if !ok {
		return 0, 0
	}
	return duration(s.work), s.waiting
}

// Demand returns the work that arrives for a service, in upstreams.
func (c *Controller) Demand(now time.Time, service string) float64 {
	s, ok := c.services[service]
	if !ok {
		return 0
	}
	return s.demand.at(now)
}

// Services returns the names of the services with requests in the last seconds.
func (c *Controller) Services(now time.Time) []string {
	var out []string
	for name, s := range c.services {
		if s.waiting > 0 || s.demand.at(now) > minDemand {
			out = append(out, name)
		}
	}
	return out
}

// minDemand is the demand in upstreams below which a service counts as unused.
const minDemand = 1e-6

// retryAfter returns when a refused caller should return: once the excess has been worked
// off, or as late as it may while more arrives than is served. The times are spread by a
// hash of the request, so that returning callers form no second burst.
func retryAfter(id string, left time.Duration, excess float64, overload bool) time.Duration {
	const bits = 53
	spread := float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
	longest := retryShare * float64(left)
	d := float64(duration(max(0, excess)))*(1+spread) + spread*float64(minRetryAfter)
	if overload {
		d = longest * (1 + spread) / 2
	}
	return max(minRetryAfter, time.Duration(min(d, longest)))
}
