package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/ramp"
	"mustardvane.org/vane/sched"
)

// Durations that concern cold upstreams.
const (
	smallSiteAge     = 5 * time.Second        // age up to which the list of nodes counts; a watch of the store takes up to 2 s, twice in a row
	largeSiteAge     = 40 * time.Second       // the same for relaxed watches, which take 15 s, pause for up to 4.4 s, and may be some seconds late
	coldCheckPeriod  = time.Second            // shortest time between two health checks of an upstream that failed
	outageCheck      = time.Second            // the same for all upstreams while the store does not answer
	outageBegin      = time.Second            // time without the store after which upstreams are checked
	coldTakeover     = 2 * time.Second        // time after which each node checks an upstream itself if it hears nothing from the one that should
	smallSiteTransit = 200 * time.Millisecond // time that a message may take, in a small site
	largeSiteTransit = 500 * time.Millisecond // the same in a large site, for urgent messages
	maxColdReport    = 10 * time.Minute       // longest remaining cold time that is taken from another node
)

// coldReport is what this node tells the others about an upstream.
type coldReport struct {
	until time.Time // end of the cold time
	at    time.Time // when this was found
}

// coldStarts keeps the limiter for cold upstreams up to date and checks upstreams that may be
// cold. It does nothing unless the configuration states a cold start.
type coldStarts struct {
	n        *Node
	ramp     *ramp.Ramp
	prober   vane.ColdProber // nil if the platform has none
	requests prometheus.Counter
	checks   prometheus.Counter

	mu          sync.Mutex
	active      bool
	storeLost   time.Time            // since when the store does not answer; zero if it does
	checkedAt   map[string]time.Time // last health check, by upstream
	doubtSince  map[string]time.Time // since when it has been unknown whether the upstream is cold
	checking    map[string]bool
	outstanding map[string]repeated[coldReport] // reports to the other nodes
}

var _ sched.ColdLimiter = (*coldStarts)(nil)

// newColdStarts returns the cold starts of a node. The node's other parts may still be
// missing.
func newColdStarts(n *Node) *coldStarts {
	c := &coldStarts{
		n: n, ramp: ramp.New(n.settings.Node, ramp.Bounds{Over: n.settings.ColdOver, Slack: n.settings.ColdSlack}),
		requests:  prometheus.NewCounter(prometheus.CounterOpts{Name: "vane_cold_requests_total", Help: "Requests sent to cold upstreams."}),
		checks:    prometheus.NewCounter(prometheus.CounterOpts{Name: "vane_cold_checks_total", Help: "Health checks for the cold time of upstreams."}),
		checkedAt: make(map[string]time.Time), doubtSince: make(map[string]time.Time), checking: make(map[string]bool), outstanding: make(map[string]repeated[coldReport]),
	}
	c.prober, _ = n.adapter.Control.(vane.ColdProber)
	n.registry.MustRegister(c.requests, c.checks)
	return c
}

// Allows implements sched.ColdLimiter.
func (c *coldStarts) Allows(now time.Time, upstream string, perS float64) bool {
	return c.ramp.Allows(now, upstream, perS)
}

// Spend implements sched.ColdLimiter.
func (c *coldStarts) Spend(now time.Time, upstream string) {
	c.ramp.Spend(now, upstream)
	c.requests.Inc()
}

// tick passes the registered nodes to the limiter, and begins the checks that are due.
func (c *coldStarts) tick(ctx context.Context, now time.Time) {
	ups := c.n.placer.ColdUpstreams(now)
	c.mu.Lock()
	c.active = len(ups) > 0
	c.mu.Unlock()
	if len(ups) == 0 {
		return
	}
	c.updateMembers(now)
	for _, u := range c.due(now, ups) {
		go c.check(ctx, u)
	}
	known := make(map[string]bool, len(ups))
	for _, u := range ups {
		known[u.Name] = true
	}
	c.ramp.Keep(func(name string) bool { return known[name] })
}

// updateMembers passes the registered nodes to the limiter.
func (c *coldStarts) updateMembers(now time.Time) {
	if c.n.isLeaving() {
		c.ramp.Stop()
	}
	asOf := c.n.mirror.CompleteAsOf(mirror.NodeStatePrefix) // first, so that the view is not older
	version := c.n.mirror.Versions().NodeState
	v := c.n.mirror.View()
	if c.n.mirror.Versions().NodeState != version {
		return // the version would not be that of the view; the next tick follows soon
	}
	maxAge := smallSiteAge
	if c.n.mesh.IsLargeSite() {
		maxAge = largeSiteAge
	}
	c.ramp.SetMembers(now, ramp.Members{Names: slices.Collect(maps.Keys(v.Peers)), Version: version, AsOf: asOf, MaxAge: maxAge})
}

// due returns the upstreams whose health check is to be called now.
func (c *coldStarts) due(now time.Time, ups []sched.ColdUpstream) []sched.ColdUpstream {
	if c.prober == nil {
		return nil
	}
	names := []string{c.n.settings.Node}
	for _, p := range c.n.mesh.Peers() {
		if p.Alive && !p.Leaving {
			names = append(names, p.Name)
		}
	}
	storeFails := c.n.mirror.Failing()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !storeFails:
		c.storeLost = time.Time{}
	case c.storeLost.IsZero():
		c.storeLost = now
	}
	outage := storeFails && now.Sub(c.storeLost) > outageBegin
	var out []sched.ColdUpstream
	for _, u := range ups {
		if !u.Unknown {
			delete(c.doubtSince, u.Name)
		} else if c.doubtSince[u.Name].IsZero() {
			c.doubtSince[u.Name] = now
		}
		if c.isDue(now, u, outage, names) && !c.checking[u.Name] {
			c.checking[u.Name], c.checkedAt[u.Name] = true, now
			out = append(out, u)
		}
	}
	return out
}

// isDue reports whether this node should check an upstream: after a failure, and regularly
// during an outage of the store, when its entry does not show it turning cold. The first live
// node in the order of the owners does so, and after a failure the others too if they hear
// nothing. The caller must hold mu.
func (c *coldStarts) isDue(now time.Time, u sched.ColdUpstream, outage bool, names []string) bool {
	period := coldCheckPeriod
	if !u.Unknown {
		period = outageCheck
	}
	if !u.InService || !u.Unknown && !outage || now.Sub(c.checkedAt[u.Name]) < period {
		return false
	}
	if first, _ := ramp.First(names, u.Name); first == c.n.settings.Node {
		return true
	}
	return u.Unknown && now.Sub(c.doubtSince[u.Name]) > coldTakeover
}

// check calls the health check of an upstream and tells the other nodes what it states, if
// that is news to them.
func (c *coldStarts) check(ctx context.Context, u sched.ColdUpstream) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.checking, u.Name)
	}()
	path := ""
	if cfg := c.n.mirror.View().Config; cfg != nil {
		if s, ok := cfg.Service(u.Service); ok {
			path = s.HealthPath
		}
	}
	if path == "" {
		return
	}
	c.checks.Inc()
	begun := clock.BootTime()
	left, known, err := c.prober.ColdLeft(ctx, u.Upstream, path)
	switch {
	case err != nil && u.Unknown:
		c.n.placer.RecordColdDoubt(clock.BootTime(), u.Name)
	case known:
		// The time left counts from the answer, which may be later than the call.
		left += clock.BootTime().Sub(begun)
		if left < coldCheckPeriod && !u.Cold && !u.Unknown {
			return
		}
		c.n.placer.RecordCold(begun, u.Name, left)
		c.report(u.Name, coldReport{until: begun.Add(left), at: begun})
		c.n.mesh.SendNow()
	}
	errText := ""
	if err != nil {
		errText = err.Error()
	}
	c.n.log.Info("cold time checked", "upstream", u.Name, "incarnation", u.Incarnation, "in_doubt", u.Unknown, "stated", known, "left_ms", left.Milliseconds(), "err", errText)
}

// report tells the other nodes about an upstream.
func (c *coldStarts) report(upstream string, r coldReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding[upstream] = repeated[coldReport]{r, r.at.Add(updateRepeatTime)}
}

// handleViewChange tells the other nodes that an upstream's entry shows that it has turned
// cold. Most nodes of a large site follow the entries with some delay, and some nodes may not
// reach the store.
func (c *coldStarts) handleViewChange(old, v *mirror.View) {
	if v.Config == nil || !c.n.mesh.IsPromptWatcher() {
		return
	}
	now := clock.BootTime()
	for name, u := range v.Upstreams {
		o, ok := old.Upstreams[name]
		if s, _ := v.Config.Service(u.Service); ok && s.ColdStart > 0 && u.ColdUntil.After(o.ColdUntil) && u.ColdUntil.After(now) && !o.ColdUntil.After(now) {
			c.report(name, coldReport{until: u.ColdUntil, at: now})
			c.n.mesh.SendNow()
		}
	}
}

// fill adds to a message what concerns cold upstreams.
func (c *coldStarts) fill(now time.Time, m *mesh.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return
	}
	m.Extension.NodesVersion = c.ramp.Version()
	for name, r := range c.outstanding {
		if now.After(r.until) {
			delete(c.outstanding, name)
			continue
		}
		m.Extension.Cold = append(m.Extension.Cold, mesh.ColdReport{
			Upstream: name, LeftMS: max(0, r.value.until.Sub(now).Milliseconds()), AgeMS: max(0, now.Sub(r.value.at).Milliseconds()),
		})
	}
}

// receive applies what a message says about cold upstreams.
func (c *coldStarts) receive(now time.Time, m *mesh.Message) {
	if m.Extension.NodesVersion > 0 {
		c.ramp.SetKnown(now, m.Name, m.Extension.NodesVersion)
	}
	transit := smallSiteTransit
	if c.n.mesh.IsLargeSite() {
		transit = largeSiteTransit
	}
	for _, r := range m.Extension.Cold {
		// A failure during the transit may be later than what the message tells.
		age := transit + time.Duration(min(max(0, r.AgeMS), maxColdReport.Milliseconds()))*time.Millisecond
		left := time.Duration(min(max(0, r.LeftMS), maxColdReport.Milliseconds())) * time.Millisecond
		if left > 0 {
			left += age
		}
		c.n.placer.RecordCold(now.Add(-age), r.Upstream, left)
	}
}
