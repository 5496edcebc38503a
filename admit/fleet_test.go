package admit_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// load describes a replay.
type load struct {
	nodes, upstreams int
	role             vane.UpstreamRole
	slots, queue     int
	work             time.Duration // time of a request at an upstream: at all of an engine, at one slot of a plain service
	base             time.Duration // time from the end of the work until the answer begins
	assumed          float64       // ratio of the work that nodes assume to the real one; 1 if zero
	objective, limit time.Duration
	rate             float64 // requests per second
	factor           float64 // of the rate between from and to
	from, to, end    time.Duration
	workspaces       func(r *rand.Rand, burst bool) string // 1 if nil
	rank             func(workspace string) int
	direct           bool           // without package admit, as before
	noReports        bool           // messages don't reach the other nodes
	fault            func(f *fleet) // schedules faults
}

// outcome counts how the requests ended.
type outcome struct {
	total, onTime, late, refused, twice, failed int
	heldMax                                     time.Duration // longest time after which a request was refused that was never sent
	waited                                      int
	held                                        int // refused after more than an eighth of the objective
}

// value is the worth of the answers; lateWorth is that of a late one.
func (o outcome) value() float64 { return float64(o.onTime) + lateWorth*float64(o.late) }

const lateWorth = 0.3

func (o outcome) String() string {
	return fmt.Sprintf("%d: %d on time, %d late, %d refused (%d twice), %d held, %d failed, %d waited; value %.0f", o.total, o.onTime, o.late, o.refused, o.twice, o.held, o.failed, o.waited, o.value())
}

// event is a call at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleet is a model of nodes and upstreams on virtual time. The nodes decide with the real
// placer and controller. Upstreams serve their queues by rank and arrival: an engine one
// prompt at a time, a plain service as many requests as it has slots. Nodes hear of each
// other 0.25 to 2 s late. A refused caller returns once, to another node, after Retry-After.
type fleet struct {
	load
	now     time.Duration
	pending events
	seq     int
	rnd     *rand.Rand
	nodes   []*modelNode
	ups     map[string]*modelUpstream
	view    *mirror.View
	all     outcome
	by      map[string]*outcome // by workspace
}

var start = time.Unix(9000, 0)

func (f *fleet) time() time.Time { return start.Add(f.now) }

func (f *fleet) at(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.pending, event{max(d, f.now), f.seq, run})
}

// call is a request of a caller, over all its attempts.
type call struct {
	f         *fleet
	id        string
	workspace string
	rank      int
	subject   int           // of the prompt
	begin     time.Duration // first arrival
	arrived   time.Duration // last arrival
	deadline  time.Duration
	returned  bool
	ended     bool
	node      *modelNode
	sends     int
	avoid     []string
	ticket    *admit.Ticket
	attempt   *sched.Attempt
	up        *modelUpstream
	sentAt    time.Duration
	assumed   time.Duration // expected time until the answer
}

type modelNode struct {
	f       *fleet
	name    string
	placer  *sched.Placer
	admit   *admit.Controller
	waiting map[*admit.Ticket]*call
	ticking bool
	credit  float64 // retries
	down    bool
}

type modelUpstream struct {
	f       *fleet
	name    string
	running int
	active  map[*call]bool
	queue   []*call
	down    bool
	epoch   int
}

type noStore struct{}

func (noStore) Holds(string, string) bool { return false }
func (noStore) Addr() (string, bool)      { return "", false }

const tokensPerMS = 90 // assumed by package sched

// replay runs a load and returns what became of its requests.
func replay(l load, seed uint64) *fleet {
	f := &fleet{load: l, rnd: rand.New(rand.NewPCG(seed, 1)), ups: make(map[string]*modelUpstream), by: make(map[string]*outcome)}
	f.view = &mirror.View{Upstreams: map[string]vane.Upstream{}, Peers: map[string]vane.PeerRecord{}}
	for i := range l.upstreams {
		name := fmt.Sprintf("u%02d", i)
		f.ups[name] = &modelUpstream{f: f, name: name, active: make(map[*call]bool)}
		f.view.Upstreams[name] = vane.Upstream{Name: name, Service: "s", Slots: l.slots, Role: l.role, DataCentre: "dc", Incarnation: 1, Addr: name}
	}
	for i := range l.nodes {
		f.view.Peers[fmt.Sprintf("n%02d", i)] = vane.PeerRecord{}
	}
	for i := range l.nodes {
		f.addNode(fmt.Sprintf("n%02d", i))
	}
	if l.fault != nil {
		l.fault(f)
	}
	for _, t := range l.arrivals(seed) {
		f.at(t, f.arrive)
	}
	for len(f.pending) > 0 {
		e := heap.Pop(&f.pending).(event)
		if e.at > l.end+l.limit {
			break
		}
		f.now = e.at
		e.run()
	}
	return f
}

func (f *fleet) addNode(name string) *modelNode {
	n := &modelNode{f: f, name: name, placer: sched.New("dc", noStore{}), admit: admit.New(), waiting: make(map[*admit.Ticket]*call), credit: 5}
	n.placer.Update(f.view)
	f.nodes = append(f.nodes, n)
	period := 500 * time.Millisecond
	f.at(f.now+time.Duration(f.rnd.Int64N(int64(period))), func() { n.report(period) })
	return n
}

// report sends a message to the other nodes.
func (n *modelNode) report(period time.Duration) {
	f := n.f
	if n.down {
		return
	}
	inFlight := n.placer.InFlight()
	w, _ := n.admit.Waiting("s")
	work := map[string]admit.Report{"s": {Outstanding: n.placer.Room(f.time(), sched.Query{Service: "s"}).Own, Waiting: w, Demand: n.admit.Demand(f.time(), "s")}}
	for _, o := range f.nodes {
		if o == n || f.noReports {
			continue
		}
		f.at(f.now+time.Duration(f.rnd.Int64N(int64(1500*time.Millisecond))), func() {
			o.placer.SetPeerInFlight(n.name, inFlight)
			o.placer.SetPeerWork(n.name, work)
			o.next()
		})
	}
	f.at(f.now+period, func() { n.report(period) })
}

// arrive brings a new request.
func (f *fleet) arrive() {
	c := &call{f: f, begin: f.now, deadline: f.now + f.limit, workspace: "w"}
	if f.workspaces != nil {
		c.workspace = f.workspaces(f.rnd, f.bursts(f.now))
	}
	if f.load.rank != nil {
		c.rank = f.load.rank(c.workspace)
	}
	c.subject = f.rnd.IntN(400)
	f.count(c, func(o *outcome) { o.total++ })
	f.at(c.deadline, c.expire)
	c.offer()
}

func (f *fleet) count(c *call, add func(*outcome)) {
	o, ok := f.by[c.workspace]
	if !ok {
		o = &outcome{}
		f.by[c.workspace] = o
	}
	add(o)
	add(&f.all)
}

// offer brings the request to a random node.
func (c *call) offer() {
	f := c.f
	if c.ended {
		return
	}
	f.seq++
	c.id, c.arrived, c.sends, c.avoid = fmt.Sprint("r", f.seq), f.now, 0, nil
	for c.node = nil; c.node == nil || c.node.down; {
		c.node = f.nodes[f.rnd.IntN(len(f.nodes))]
	}
	c.node.credit = min(20, c.node.credit+0.2)
	c.place(false)
}

func (c *call) query() sched.Query {
	q := sched.Query{ID: c.id, Service: "s", Objective: c.f.objective, Avoid: c.avoid}
	if c.f.role == vane.RoleEngine {
		assumed := cmp.Or(c.f.assumed, 1)
		q.PromptTokens = int(assumed * float64(c.f.work.Milliseconds()) * tokensPerMS)
		// Parts so small that they save no work. They spread the requests over equal engines.
		q.Parts = []vane.PromptPart{{ID: fmt.Sprint("subject", c.subject), Tokens: 1}, {ID: c.id, Tokens: q.PromptTokens - 1}}
	}
	return q
}

// place decides what happens to the request at its node.
func (c *call) place(again bool) {
	n, f := c.node, c.f
	now := f.time()
	pick, ok := n.placer.Pick(now, c.query())
	if f.direct {
		if !ok {
			c.refuse(300 * time.Millisecond)
			return
		}
		c.send(pick)
		return
	}
	room := n.placer.Room(now, sched.Query{Service: "s"})
	work := n.placer.Work(pick)
	if !ok && (room.Usable > 0 || room.InService <= float64(len(c.avoid))) {
		c.refuse(300 * time.Millisecond)
		return
	}
	d := n.admit.Offer(now, admit.Request{
		ID: c.id, Service: "s", Workspace: c.workspace, Kind: "k", Rank: c.rank, Work: work, Objective: f.objective,
		Deadline: start.Add(c.deadline), Again: again,
	}, room)
	switch d.Action {
	case admit.Send:
		c.assumed = d.Assumed
		c.send(pick)
	case admit.Wait:
		f.count(c, func(o *outcome) { o.waited++ })
		c.ticket = d.Ticket
		n.waiting[d.Ticket] = c
		n.next()
		n.tick()
	case admit.Refuse:
		c.refuse(d.RetryAfter)
	}
}

// tick decides on the waiting requests every 10 ms while there are any.
func (n *modelNode) tick() {
	if n.ticking {
		return
	}
	n.ticking = true
	n.f.at(n.f.now+10*time.Millisecond, func() {
		n.ticking = false
		if n.next(); len(n.waiting) > 0 {
			n.tick()
		}
	})
}

func (n *modelNode) next() {
	if len(n.waiting) == 0 || n.down {
		return
	}
	g := n.admit.Next(n.f.time(), "s", n.placer.Room(n.f.time(), sched.Query{Service: "s"}))
	for _, t := range g.Started {
		c := n.waiting[t]
		delete(n.waiting, t)
		c.ticket = nil
		pick, ok := n.placer.Pick(n.f.time(), c.query())
		n.admit.Begin(t)
		c.assumed = t.Assumed()
		if !ok {
			c.place(true)
			continue
		}
		c.send(pick)
	}
	for _, r := range g.Refused {
		c := n.waiting[r.Ticket]
		delete(n.waiting, r.Ticket)
		c.ticket = nil
		c.refuse(r.RetryAfter)
	}
}

// refuse makes the caller return once.
func (c *call) refuse(after time.Duration) {
	f := c.f
	held := f.now - c.arrived
	f.count(c, func(o *outcome) {
		o.refused++
		if c.sends == 0 {
			o.heldMax = max(o.heldMax, held)
		}
		if held > f.objective/8 {
			o.held++
		}
	})
	if c.returned {
		c.ended = true
		f.count(c, func(o *outcome) { o.twice++ })
		return
	}
	c.returned = true
	f.at(f.now+min(after, (c.deadline-f.now)/3), c.offer)
}

// send sends the request to an upstream.
func (c *call) send(p sched.Pick) {
	f := c.f
	c.sends++
	c.attempt = c.node.placer.Begin(f.time(), c.query(), p)
	c.sentAt = f.now
	u := f.ups[p.Upstream.Name]
	f.at(f.now+time.Millisecond, func() { u.receive(c) })
}

func (u *modelUpstream) receive(c *call) {
	f := u.f
	if c.ended {
		return
	}
	n := c.node
	if u.down {
		n.placer.RecordFailure(f.time(), u.name)
		c.retry(u)
		return
	}
	if u.running >= u.limit() && len(u.queue) >= f.load.queue {
		n.placer.Observe(f.time(), u.name, u.meta())
		n.placer.MarkFull(f.time(), u.name)
		c.retry(u)
		return
	}
	c.up = u
	u.queue = append(u.queue, c)
	slices.SortStableFunc(u.queue, func(a, b *call) int { return cmp.Compare(a.rank, b.rank) })
	u.serve()
}

func (u *modelUpstream) meta() vane.ResponseMeta {
	return vane.ResponseMeta{HasLoad: true, Load: vane.Load{Running: u.running, Waiting: len(u.queue)}, Slots: u.f.slots}
}

// crash ends the upstream for a time. Its requests are sent to others, if any are left.
func (u *modelUpstream) crash(d time.Duration) {
	f := u.f
	lost := u.queue
	for c := range u.active {
		lost = append(lost, c)
	}
	slices.SortFunc(lost, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	u.down, u.queue, u.running, u.active = true, nil, 0, make(map[*call]bool)
	u.epoch++
	f.at(f.now+d, func() { u.down = false })
	for _, c := range lost {
		if !c.ended {
			c.node.placer.RecordFailure(f.time(), u.name)
			c.retry(u)
		}
	}
}

// remove takes the upstream out of the list.
func (u *modelUpstream) remove() {
	f := u.f
	v := *f.view
	v.Upstreams = maps.Clone(v.Upstreams)
	delete(v.Upstreams, u.name)
	f.view = &v
	for _, n := range f.nodes {
		n.placer.Update(f.view)
		n.next()
	}
	u.crash(f.end)
}

// retry follows a refusal by an upstream.
func (c *call) retry(u *modelUpstream) {
	f := c.f
	c.node.placer.End(f.time(), c.attempt)
	c.attempt = nil
	c.avoid = append(c.avoid, u.name)
	if c.sends >= 4 || c.node.credit < 1 {
		c.refuse(300 * time.Millisecond)
		return
	}
	c.node.credit--
	c.place(true)
}

// limit is the number of requests that an upstream runs at once.
func (u *modelUpstream) limit() int {
	if u.f.role == vane.RoleEngine {
		return 1 // prompts are computed one after the other
	}
	return u.f.slots
}

func (u *modelUpstream) serve() {
	f := u.f
	for !u.down && u.running < u.limit() && len(u.queue) > 0 {
		c := u.queue[0]
		u.queue = u.queue[1:]
		u.active[c] = true
		u.running++
		took := f.work
		if f.role != vane.RoleEngine {
			took = time.Duration(float64(f.work) * (0.5 + f.rnd.Float64()))
		}
		epoch := u.epoch
		f.at(f.now+took, func() {
			if u.epoch != epoch {
				return
			}
			u.running--
			delete(u.active, c)
			f.at(f.now+f.base, func() { c.answer(u) })
			u.serve()
		})
	}
}

// answer ends the request with an answer.
func (c *call) answer(u *modelUpstream) {
	f := c.f
	if c.ended {
		return
	}
	c.ended = true
	n := c.node
	n.placer.Observe(f.time(), u.name, u.meta())
	n.placer.FirstByte(f.time(), c.attempt)
	n.placer.End(f.time(), c.attempt)
	n.admit.Observe("s", f.now-c.sentAt, c.assumed)
	f.count(c, func(o *outcome) {
		if f.now-c.begin <= f.objective {
			o.onTime++
		} else {
			o.late++
		}
	})
	n.next()
}

// expire ends the request at the caller's time limit.
func (c *call) expire() {
	if c.ended {
		return
	}
	c.ended = true
	c.f.count(c, func(o *outcome) { o.failed++ })
	c.leave()
}

// leave removes the request from its node and its upstream.
func (c *call) leave() {
	if c.ticket != nil {
		c.node.admit.Cancel(c.ticket)
		delete(c.node.waiting, c.ticket)
	}
	if c.attempt != nil {
		c.node.placer.End(c.f.time(), c.attempt)
	}
	if c.up != nil {
		c.up.queue = slices.DeleteFunc(c.up.queue, func(o *call) bool { return o == c })
	}
}

// arrivals returns the times at which callers arrive for the first time.
func (l load) arrivals(seed uint64) []time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var out []time.Duration
	for t := time.Duration(0); ; {
		rate := l.rate
		if l.bursts(t) {
			rate *= l.factor
		}
		if t += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)); t > l.end {
			return out
		}
		out = append(out, t)
	}
}

func (l load) bursts(t time.Duration) bool { return t >= l.from && t < l.to }

// bound returns a value that no order can exceed. The upstreams are taken for a single one
// of their total speed, which knows all arrivals and serves part of a request at no loss.
// For requests of equal work whose deadlines have the order of their arrivals, the most are
// answered in time if each one that would be late is left out; the same holds for the time
// limits. The worth of an answer in time is lateWorth for being answered and the rest for
// being in time, so that the two numbers bound the value.
func (l load) bound(seed uint64) float64 {
	each := l.work / time.Duration(l.upstreams)
	if l.role == vane.RoleService {
		each /= time.Duration(l.slots)
	}
	most := func(within time.Duration) float64 {
		n, free := 0, time.Duration(0)
		for _, t := range l.arrivals(seed) {
			if end := max(t, free) + each; end <= t+within {
				n, free = n+1, end
			}
		}
		return float64(n)
	}
	return (1-lateWorth)*most(l.objective-l.base) + lateWorth*most(l.limit-l.base)
}
