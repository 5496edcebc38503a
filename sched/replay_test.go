package sched_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// replay sends requests through the placers of several nodes to a model of engines, in
// virtual time, and compares the estimates with the times to the first token.
type replay struct {
	nodes, upstreams int
	prefill, baseMS  float64       // of the engines: prompt tokens per millisecond, and time to the first token without them
	long, short      float64       // requests per second and engine
	workMS           float64       // service time of the upstreams of a plain service; zero for engines
	perSecond        float64       // requests to a plain service per second
	slowEvery        int           // one of so many upstreams works 2.5 times slower at a time; zero for none
	cacheTokens      int           // memory of an engine for shared parts
	duration         time.Duration // results are taken from the second half
}

// Pattern of the load: the rate is twice as high for two seconds in eight, and other
// upstreams are slow after each turn.
const (
	burstEvery  = 8 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 2.0
	slowTurn    = 600 * time.Millisecond
)

// server is the model of one upstream. Prompts are computed one after the other, requests
// of a plain service by slots in parallel.
type server struct {
	index    int
	freeAt   time.Duration // end of the computation of all prompts
	slotFree []time.Duration
	running  int
	begins   []time.Duration // times at which the requests without a first token begin
	parts    map[string]time.Duration
	size     int
	served   int
}

// replayed is the result of one request.
type replayed struct {
	estimate, actual, objective float64 // milliseconds
	late, slow                  bool    // slow: the upstream was slow when the request was sent
}

// slowdown returns the slowdown of the server at the time.
func (r replay) slowdown(s *server, at time.Duration) float64 {
	if r.slowEvery > 0 && (s.index+int(at/slowTurn)*3)%r.slowEvery == 0 {
		return 2.5
	}
	return 1
}

// work returns the time at which work that takes ms at the usual speed ends.
func (r replay) work(s *server, from time.Duration, ms float64) time.Duration {
	left := ms * float64(time.Millisecond)
	for {
		next := (from/slowTurn + 1) * slowTurn
		f := r.slowdown(s, from)
		if float64(next-from) >= left*f {
			return from + time.Duration(left*f)
		}
		left -= float64(next-from) / f
		from = next
	}
}

// send returns the times of the first token and of the end of a request.
func (r replay) send(s *server, at time.Duration, q sched.Query, c sched.Pick, servers map[string]*server) (first, end time.Duration) {
	at += time.Millisecond
	if r.workMS > 0 {
		i := slices.Index(s.slotFree, slices.Min(s.slotFree))
		begin := max(at, s.slotFree[i])
		s.slotFree[i] = r.work(s, begin, r.workMS)
		s.begins = append(s.begins, begin)
		return s.slotFree[i], s.slotFree[i]
	}
	tokens := q.PromptTokens - s.cached(q, c, servers)
	for _, p := range q.Shared() {
		s.store(p, at, r.cacheTokens)
	}
	begin := max(at, s.freeAt)
	s.freeAt = r.work(s, begin, float64(tokens)/r.prefill+0.3*float64(s.running))
	s.begins = append(s.begins, begin)
	first = r.work(s, s.freeAt, r.baseMS)
	out := 7
	if q.PromptTokens < 2000 {
		out = 42
	}
	return first, r.work(s, first, 5*float64(out))
}

// cached returns the shared tokens that the server holds or fetches.
func (s *server) cached(q sched.Query, c sched.Pick, servers map[string]*server) int {
	tokens := 0
	for _, p := range q.Shared() {
		_, held := s.parts[p.ID]
		for _, o := range servers {
			if _, there := o.parts[p.ID]; there && c.FetchFrom == o.addr() {
				held = true
			}
		}
		if !held {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// store adds a part to the server's cache, which drops the parts used least recently.
func (s *server) store(p vane.PromptPart, at time.Duration, limit int) {
	if _, ok := s.parts[p.ID]; !ok {
		s.size += p.Tokens
	}
	s.parts[p.ID] = at
	for s.size > limit {
		oldest := p.ID
		for id, used := range s.parts {
			if used < s.parts[oldest] || used == s.parts[oldest] && id < oldest {
				oldest = id
			}
		}
		delete(s.parts, oldest)
		s.size -= partTokens(oldest)
	}
}

// addr returns the address of the upstream in [view].
func (s *server) addr() string { return fmt.Sprintf("e%02d:1", s.index) }

// partTokens returns the size of a shared part of the replayed prompts.
func partTokens(id string) int {
	switch id[0] {
	case 'r':
		return 2500
	case 's':
		return 3800
	}
	return 198
}

// load returns the load that the server states.
func (r replay) load(s *server, at time.Duration) vane.ResponseMeta {
	s.begins = slices.DeleteFunc(s.begins, func(b time.Duration) bool { return b <= at })
	m := vane.ResponseMeta{HasLoad: true, Load: vane.Load{Running: s.running - len(s.begins), Waiting: len(s.begins)}}
	if r.slowEvery > 0 {
		m.Load.Slowdown = r.slowdown(s, at)
	}
	return m
}

// view returns the upstreams.
func (r replay) view() *mirror.View {
	v := view(r.upstreams, same(1))
	for name, u := range v.Upstreams {
		if r.workMS > 0 {
			u.Role, u.Service, u.Model, u.Weights, u.Slots = vane.RoleService, "plain", "", 0, 6
		}
		v.Upstreams[name] = u
	}
	for i := range r.nodes {
		if v.Peers == nil {
			v.Peers = make(map[string]vane.PeerRecord)
		}
		v.Peers[fmt.Sprint("n", i)] = vane.PeerRecord{}
	}
	return v
}

// query returns a request of a random kind.
func (r replay) query(rng *rand.Rand, n int) sched.Query {
	q := sched.Query{ID: fmt.Sprint(n), Service: "plain", Bytes: 900, Objective: time.Duration(10*r.workMS) * time.Millisecond}
	if r.workMS > 0 {
		return q
	}
	q.Service, q.Model = "llm", "m"
	if rng.Float64() < r.long/(r.long+r.short) {
		q.PromptTokens, q.Bytes, q.Objective = 9190, 18000, 800*time.Millisecond
		q.Parts = []vane.PromptPart{{ID: "root", Tokens: 2500}, {ID: fmt.Sprintf("s%d", rng.IntN(25*r.upstreams)), Tokens: 3800}, {ID: fmt.Sprintf("o%d", n), Tokens: 2890}}
	} else {
		q.PromptTokens, q.Objective = 826, 500*time.Millisecond
		q.Parts = []vane.PromptPart{{ID: fmt.Sprintf("n%d", rng.IntN(20)), Tokens: 198}, {ID: fmt.Sprintf("p%d", n), Tokens: 628}}
	}
	return q
}

// replayRun is the state of a run.
type replayRun struct {
	replay
	rng     *rand.Rand
	nodes   []*sched.Placer
	servers map[string]*server
	events  map[time.Duration][]replayEvent // by the millisecond in which they are handled
	results []replayed
	checks  int // load checks
}

// replayEvent is called with the virtual time at.
type replayEvent struct {
	at time.Duration
	f  func(now time.Time)
}

const replayTick = time.Millisecond

// run returns the results of the second half, the highest number of requests at one upstream
// in relation to the mean, and the number of load checks.
func (r replay) run() (results []replayed, most float64, checks int) {
	x := &replayRun{replay: r, rng: rand.New(rand.NewPCG(21, 22)), servers: make(map[string]*server), events: make(map[time.Duration][]replayEvent)}
	for i := range r.nodes {
		p := sched.New(fmt.Sprintf("dc%d", i%3), &cache{down: true})
		p.Update(r.view())
		x.nodes = append(x.nodes, p)
	}
	for i := range r.upstreams {
		x.servers[fmt.Sprintf("e%02d", i)] = &server{index: i, parts: make(map[string]time.Duration), slotFree: make([]time.Duration, 6)}
	}
	rate := (r.long + r.short) * float64(r.upstreams)
	if r.workMS > 0 {
		rate = r.perSecond
	}
	next := time.Duration(0)
	for at := time.Duration(0); at < r.duration; at += replayTick {
		l := x.events[at]
		delete(x.events, at)
		slices.SortStableFunc(l, func(a, b replayEvent) int { return cmp.Compare(a.at, b.at) })
		for _, e := range l {
			e.f(begin.Add(e.at))
		}
		x.exchange(at)
		for next <= at {
			burst := 1.0
			if at%burstEvery < burstLength {
				burst = burstFactor
			}
			next += time.Duration(x.rng.ExpFloat64() / rate / burst * float64(time.Second))
			x.request(at)
		}
	}
	sum := 0
	for _, s := range x.servers {
		most, sum = max(most, float64(s.served)), sum+s.served
	}
	return x.results[len(x.results)/2:], most * float64(r.upstreams) / float64(sum), x.checks
}

// exchange passes on the messages of the nodes that are due, each half a second.
func (x *replayRun) exchange(at time.Duration) {
	for i, p := range x.nodes {
		if (at+time.Duration(i)*70*replayTick)%(500*replayTick) != 0 {
			continue
		}
		updates, inFlight := p.TakeCacheUpdates(), p.InFlight()
		for j, o := range x.nodes {
			if j != i {
				o.ApplyCacheUpdates(updates)
				o.SetPeerInFlight(fmt.Sprint("n", i), inFlight)
			}
		}
	}
}

// request places and sends a request.
func (x *replayRun) request(at time.Duration) {
	now := begin.Add(at)
	p := x.nodes[x.rng.IntN(len(x.nodes))]
	q := x.query(x.rng, len(x.results))
	c, ok := p.Pick(now, q)
	if !ok {
		return
	}
	for k := 0; k < 2 && p.NeedsLoadCheck(now, c); k++ {
		x.checks++
		p.RecordLoad(now, c.Upstream.Name, x.load(x.servers[c.Upstream.Name], at).Load)
		c, _ = p.Pick(now, q)
	}
	a := p.Begin(now, q, c)
	s := x.servers[c.Upstream.Name]
	first, end := x.send(s, at, q, c, x.servers)
	s.running++
	if at >= x.duration/2 {
		s.served++
	}
	x.results = append(x.results, replayed{
		estimate: float64(c.Estimate) / float64(time.Millisecond), actual: float64(first-at) / float64(time.Millisecond),
		objective: float64(q.Objective.Milliseconds()), late: first-at > q.Objective, slow: x.slowdown(s, at) > 1,
	})
	x.on(first, func(now time.Time) {
		p.Observe(now, c.Upstream.Name, x.load(s, first))
		p.FirstByte(now, a)
	})
	x.on(end, func(now time.Time) {
		s.running--
		p.End(now, a)
	})
}

// on has f called at the time.
func (x *replayRun) on(at time.Duration, f func(now time.Time)) {
	k := at.Truncate(replayTick) + replayTick
	x.events[k] = append(x.events[k], replayEvent{at, f})
}

// replayErrors returns the median and the 90th percentile of the errors of the estimates as
// shares of the objective, and the share of late answers.
func replayErrors(l []replayed) (median, p90, late float64) {
	var e []float64
	for _, x := range l {
		e = append(e, math.Abs(x.estimate-x.actual)/x.objective)
		if x.late {
			late++
		}
	}
	slices.Sort(e)
	return e[len(e)/2], e[len(e)*9/10], late / float64(len(l))
}

// Guards against estimates that are wrong by a constant factor where upstreams work at
// other speeds than those that the rates were first measured on. The load is that of one
// engine of a site of 60.
func TestEstimatesFollowTheUpstreams(t *testing.T) {
	for _, tt := range []struct {
		name        string
		replay      replay
		median, p90 float64 // bounds on the error as a share of the objective
	}{
		{"36.1 tokens/ms", replay{prefill: 36.1, baseMS: 90, long: 1.5, short: 2.1}, 0.04, 0.15},
		{"36.1 tokens/ms, base 30 ms", replay{prefill: 36.1, baseMS: 30, long: 1.5, short: 2.1}, 0.04, 0.15},
		{"93.6 tokens/ms", replay{prefill: 93.6, baseMS: 90, long: 3.7, short: 1.9}, 0.04, 0.15},
		{"93.6 tokens/ms, base 30 ms", replay{prefill: 93.6, baseMS: 30, long: 3.7, short: 1.9}, 0.04, 0.15},
		{"112 tokens/ms", replay{prefill: 112, baseMS: 90, long: 4.6, short: 4.4}, 0.04, 0.15},
		{"112 tokens/ms, base 30 ms", replay{prefill: 112, baseMS: 30, long: 4.6, short: 4.4}, 0.04, 0.15},
		{"work of 15 ms", replay{workMS: 15, upstreams: 3, perSecond: 400}, 0.02, 0.05},
		{"work of 60 ms", replay{workMS: 60, upstreams: 3, perSecond: 100}, 0.02, 0.05},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := tt.replay
			r.nodes, r.duration, r.cacheTokens = 6, 40*time.Second, 70_000
			r.upstreams = max(r.upstreams, 12*int(min(1, r.prefill)))
			l, _, _ := r.run()
			median, p90, late := replayErrors(l)
			t.Logf("%d requests: median %.3f, 90th percentile %.3f, late %.3f", len(l), median, p90, late)
			is.True(median < tt.median)
			is.True(p90 < tt.p90)
		})
	}
}

// Guards against requests that go to machines that are slow at the moment although others
// are not, against nodes that all choose the same quick upstream, and against questions at
// sites whose machines work as usual. 15 % of the upstreams are 2.5 times slower, and others
// take their turn every 600 ms.
func TestSlowMachinesAreAvoided(t *testing.T) {
	for _, tt := range []struct {
		name   string
		replay replay
		slow   float64 // largest share of the requests that are sent to a slow upstream; 1 of 7 is slow
		checks bool    // upstreams are asked for their load
	}{
		{"36.1 tokens/ms", replay{prefill: 36.1, baseMS: 60, long: 1.5, short: 2.1, slowEvery: 7}, 0.1, true},
		{"112 tokens/ms", replay{prefill: 112, baseMS: 60, long: 4.6, short: 4.4, slowEvery: 7}, 0.1, true},
		{"no slow machines", replay{prefill: 36.1, baseMS: 60, long: 1.5, short: 2.1, slowEvery: 1_000_000}, 0.01, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := tt.replay
			r.nodes, r.upstreams, r.duration, r.cacheTokens = 28, 28, 24*time.Second, 70_000
			l, most, checks := r.run()
			slow, ms := 0.0, 0.0
			for _, x := range l {
				if ms += x.actual; x.slow {
					slow++
				}
			}
			median, p90, late := replayErrors(l)
			n := float64(len(l))
			t.Logf("%.0f requests: sent to slow upstreams %.3f, largest load %.2f, load checks %d, mean %.1f ms, late %.4f, error of the estimate %.3f, %.3f",
				n, slow/n, most, checks, ms/n, late, median, p90)
			is.True(slow/n < tt.slow)
			is.True(most < 2.2) // the largest load of an upstream in relation to the mean
			is.Equal(checks > 0, tt.checks)
		})
	}
}
