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
	Estimate   time.Duration // expected time to the answer's begin at the best upstream; zero if not known
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
	Predicted  time.Duration // expected time until the answer begins; zero if the request is sent in calm
	Share      float64       // this node's share of the upstreams; zero if the request is sent in calm
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

// Parameters of the decisions.
const (
	onTimeFill     = 0.8                    // share of the objective that is planned for; the rest covers the deviation of single requests from the mean
	windowShare    = 0.5                    // share of the planned time that requests spend at upstreams; they wait at the node for the rest, where the order can still change
	calmShare      = 0.25                   // share of the planned time up to which the known backlog counts as none
	minPlanShare   = 0.25                   // least share of the objective that is planned for work, for services whose base time is near the objective
	lateShare      = 0.25                   // share of the work that late requests get while others are on time; late answers have 0.12 to 0.46 of the worth
	lateLeftShare  = 0.5                    // share of the time left within which a late request must be expected to be answered
	returnedShare  = 0.9                    // a caller that states less than this share of the longest limit of its kind has spent the rest before
	retryShare     = 1.0 / 3                // share of the time left that callers honour as Retry-After
	minRetryAfter  = 50 * time.Millisecond  // shortest Retry-After
	defaultTarget  = 500 * time.Millisecond // objective of a request that states none
	demandTime     = 4 * time.Second        // time constant of the demand and of the recent work of flows; some ten requests at a node of a large site
	minShareOfMean = 0.5                    // least share of the upstreams, as a multiple of an equal one
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
	rate   float64 // work that this node's share of the upstreams does per millisecond
	all    float64 // work that all upstreams do per millisecond
	target float64 // time to the answer's begin that is planned for, without the base time
	own    float64 // outstanding work of this node, including that of granted tickets
	fleet  float64 // known outstanding work of all nodes
	share  float64 // this node's share of the upstreams
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (s *service) plan(now time.Time, room Room, objective time.Duration) plan {
	if objective <= 0 {
		objective = defaultTarget
	}
	p := plan{share: s.share(now, room), own: ms(room.Own) + s.granted}
	p.all = room.InService * s.stretch
	p.rate = p.all * p.share
	p.target = max(onTimeFill*ms(objective)-ms(room.Base), minPlanShare*ms(objective))
	p.fleet = p.own + ms(room.Peers)
	return p
}

// calm reports whether the known backlog of all nodes is so short that it delays nothing.
func (p plan) calm(work float64) bool { return p.fleet+work <= calmShare*p.target*p.all }

// mayHold reports whether work more may be outstanding at this node. In addition to its window, a
// node uses its share of the room that the others are known to leave. A node may always
// have one request outstanding.
func (p plan) mayHold(work float64) bool {
	if p.own == 0 || p.calm(work) {
		return true
	}
	window := windowShare * p.target
	free := max(0, window*p.all-p.fleet)
	return p.own+work <= window*p.rate+2*p.share*free
}

// share returns this node's share of the upstreams by the arriving work. Nodes that report
// nothing, such as those of older builds, count like this one.
func (s *service) share(now time.Time, room Room) float64 {
	n := float64(max(1, room.Nodes))
	own := s.demand.at(now)
	peers := room.PeerDemand + own*max(0, n-1-float64(room.Reporting))
	if own+peers <= 0 {
		return 1 / n
	}
	return max(own/(own+peers), minShareOfMean/n)
}

// Offer decides on a request that arrived or that an upstream refused as full.
func (c *Controller) Offer(now time.Time, r Request, room Room) Decision {
	s := c.service(r.Service)
	work := ms(r.Work)
	if !r.Again {
		s.demand.add(now, work)
		s.prune(now)
	}
	left := r.Deadline.Sub(now)
	if room.InService <= 0 {
		return Decision{Action: Refuse, Cause: CauseNoneLeft, RetryAfter: retryAfter(r.ID, left, 0, true)}
	}
	p := s.plan(now, room, r.Objective)
	f := s.flow(r)
	full := room.Usable == 0 || room.Estimate >= left
	if !full && !s.isWaiting(r.Rank) && !(r.Again && !p.calm(work)) && p.mayHold(work) {
		f.usage.add(now, work)
		return Decision{Action: Send}
	}
	t := &Ticket{Request: r, arrived: now, work: work, flow: f, deadline: r.Deadline.Add(-room.Base)}
	ahead := s.ahead(now, t)
	predicted := min((p.own+ahead+work)/p.rate, (p.fleet+ms(room.Waiting)+ahead+work)/p.all)
	d := Decision{Action: Wait, Ticket: t, Share: p.share, Predicted: duration(predicted) + room.Base}
	overload := s.demand.at(now)+room.PeerDemand > p.all
	if predicted <= p.target && d.Predicted < left {
		s.push(t, false)
		return d
	}
	returned := s.returned(r.Kind, left)
	d.Predicted = duration((p.own+s.lateAhead(t)+work)/(lateShare*p.rate)) + room.Base
	if (returned || !overload) && float64(d.Predicted) <= lateLeftShare*float64(left) {
		s.push(t, true)
		return d
	}
	cause := CauseBacklog
	if full {
		cause = CauseUpstreams
	}
	s.limited = now
	return Decision{Action: Refuse, Cause: cause, Share: p.share, Predicted: d.Predicted, RetryAfter: retryAfter(r.ID, left, predicted-p.target, overload)}
}

// Next decides on the waiting requests of a service. The returned tickets no longer wait.
func (c *Controller) Next(now time.Time, service string, room Room) Grants {
	s, ok := c.services[service]
	if !ok || s.waiting == 0 {
		return Grants{}
	}
	var g Grants
	s.expire(now, room, &g)
	if room.Usable == 0 || room.InService <= 0 {
		return g
	}
	for {
		t := s.first(now)
		if t == nil {
			return g
		}
		if p := s.plan(now, room, t.Objective); !p.mayHold(t.work) {
			return g
		}
		s.start(now, t)
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

// Cancel withdraws a waiting request. It returns false if it no longer waits.
func (c *Controller) Cancel(t *Ticket) bool {
	if !t.queued {
		return false
	}
	c.service(t.Service).remove(t)
	return true
}

// Observe corrects the assumed capacity by the time that an upstream took to begin the
// answer of a request since it was sent. Late answers lower it, at most once per objective;
// answers in time raise it while requests wait or are refused.
func (c *Controller) Observe(now time.Time, service string, took, objective time.Duration) {
	s := c.service(service)
	switch {
	case float64(took) > onTimeFill*float64(objective):
		if now.Sub(s.slowed) > objective && now.Sub(s.limited) < limitedTime {
			s.stretch, s.slowed = max(minStretch, s.stretch*stretchDecrease), now
		}
	case now.Sub(s.limited) < limitedTime:
		s.stretch = min(maxStretch, s.stretch+stretchIncrease)
	default:
		s.stretch += (1 - s.stretch) * stretchIncrease
	}
}

// Parameters of the correction of the capacity.
const (
	minStretch      = 0.25
	maxStretch      = 4.0
	stretchDecrease = 0.9
	stretchIncrease = 0.02
	limitedTime     = time.Second // time for which a node counts as limited after a request waited or was refused
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
