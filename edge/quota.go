package edge

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/front"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/quota"
)

// Times and counts of the questions to the owners of workspaces.
const (
	ownerTimeout   = 100 * time.Millisecond // several times the round trip between data centres and the time slice of a slow host
	ownerPause     = time.Second            // time for which an owner that did not answer is not asked
	minOwnedSite   = 12                     // number of nodes from which on workspaces have owners; the parts of fewer nodes suffice for most requests
	ownersAsked    = 2                      // number of owners that may be asked about a workspace
	ownersInterval = time.Second            // between two looks for the nodes that may be owners
	standstill     = 500 * time.Millisecond // time between two ticks from which on this node has stood still and its levels are outdated
	catchUp        = 300 * time.Millisecond // time after a standstill within which the messages of the other nodes are applied
	maxDenial      = 500 * time.Millisecond // longest time for which the owner is not asked again after a refusal
)

// limiter admits requests within the quotas of workspaces. What this node's own part does
// not cover, the workspace's owner decides. Its methods are safe for concurrent use.
type limiter struct {
	node        string
	linkMbps    float64
	onNearLimit func() // called under mu when a workspace without an owner is near its rate
	ask         func(ctx context.Context, node string, question []byte) ([]byte, error)
	nodes       func() []mesh.Peer // the other nodes
	leaving     func() bool        // whether this node is stopping
	asked       *prometheus.CounterVec
	log         *slog.Logger

	mu         sync.Mutex
	buckets    *quota.Buckets
	candidates []quota.Candidate
	lookedAt   time.Time            // time of the last look for candidates
	owners     map[string][]string  // by workspace, as far as computed for the candidates
	pausedTill map[string]time.Time // by node: end of the time for which it is not asked
	denials    map[string]denial    // by workspace
	tickedAt   time.Time            // time of the last tick on a clock that counts suspension
	resumedAt  time.Time            // time on that clock at which the latest standstill ended
}

// denial is the owner's latest refusal.
type denial struct {
	units float64
	until time.Time
}

var _ front.Limiter = (*limiter)(nil)

// newLimiter returns the limiter of the node with the given name, without limits for any
// workspace. It asks no owners until ask and nodes are set.
func newLimiter(node string, linkMbps float64, onNearLimit func(), r prometheus.Registerer, log *slog.Logger) *limiter {
	l := &limiter{
		node: node, linkMbps: linkMbps, log: log, buckets: quota.New(time.Now(), quota.WithSeed(xxhash.Sum64String(node))), onNearLimit: onNearLimit,
		nodes: func() []mesh.Peer { return nil }, leaving: func() bool { return false },
		owners: make(map[string][]string), pausedTill: make(map[string]time.Time), denials: make(map[string]denial), tickedAt: clock.BootTime(),
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_quota_owner_questions_total", Help: "Questions to the owners of workspaces, by outcome.",
		}, []string{"outcome"}),
	}
	r.MustRegister(l.asked)
	return l
}

// unitsQuestion asks a workspace's owner to admit a request.
type unitsQuestion struct {
	Workspace string  `msgpack:"workspace"`
	Units     float64 `msgpack:"units"`
}

// unitsAnswer is the owner's answer.
type unitsAnswer struct {
	Admitted bool  `msgpack:"admitted"`
	WaitMS   int64 `msgpack:"wait_ms"` // time after which the request may be admitted
}

// Take implements front.Limiter.
func (l *limiter) Take(ws string, units float64) (time.Duration, bool) {
	now := time.Now()
	owners, wait, done, ok := l.takeLocally(now, ws, units)
	if done {
		return wait, ok
	}
	for _, owner := range owners {
		wait, ok, err := l.askOwner(owner, ws, units)
		switch {
		case err != nil:
			l.asked.WithLabelValues("unanswered").Inc()
			l.pause(owner, ws, err)
			continue
		case ok:
			l.asked.WithLabelValues("admitted").Inc()
		default:
			l.asked.WithLabelValues("refused").Inc()
			l.mu.Lock()
			l.denials[ws] = denial{units, now.Add(min(wait, maxDenial))}
			l.mu.Unlock()
		}
		return wait, ok
	}
	return l.takeWithoutOwner(ws, units)
}

// pause keeps an owner that did not answer from being asked for some time.
func (l *limiter) pause(owner, ws string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !now.Before(l.pausedTill[owner]) {
		l.log.Warn("owner of a workspace does not answer", "peer", owner, "workspace", ws, "paused_ms", ownerPause.Milliseconds(), "err", err.Error())
	}
	l.pausedTill[owner] = now.Add(ownerPause)
}

// takeLocally decides on a request if no other node has to be asked. Otherwise done is
// false, and owners are the nodes to ask in turn.
func (l *limiter) takeLocally(now time.Time, ws string, units float64) (owners []string, wait time.Duration, done, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	owners = l.reachableOwners(now, ws)
	switch {
	case !l.buckets.Limits(ws):
		return nil, 0, true, true
	case len(owners) == 0:
		return nil, 0, false, false
	case owners[0] == l.node:
		wait, ok = l.buckets.TakeAsOwner(now, ws, units)
		return nil, wait, true, ok
	}
	if wait, ok = l.buckets.TakeOwnPart(now, ws, units); ok {
		return nil, 0, true, true
	}
	if d := l.denials[ws]; units >= d.units && now.Before(d.until) {
		return nil, d.until.Sub(now), true, false
	}
	return owners, 0, false, false
}

// takeWithoutOwner decides on a request of a workspace whose owners do not answer.
func (l *limiter) takeWithoutOwner(ws string, units float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	wait, ok := l.buckets.Take(now, ws, units)
	if l.buckets.NearLimit(now, ws) {
		l.onNearLimit()
	}
	return wait, ok
}

// reachableOwners returns the owners of a workspace up to this node, without those that
// did not answer lately. The caller must hold l.mu.
func (l *limiter) reachableOwners(now time.Time, ws string) []string {
	if now.Sub(l.lookedAt) >= ownersInterval {
		l.lookedAt = now
		l.lookForCandidates()
	}
	if len(l.candidates) < minOwnedSite {
		return nil
	}
	names, ok := l.owners[ws]
	if !ok {
		names = quota.Owners(ws, l.candidates, ownersAsked)
		l.owners[ws] = names
	}
	var out []string
	for _, name := range names {
		if now.Before(l.pausedTill[name]) || name == l.node && !l.mayOwn(now) {
			continue
		}
		if out = append(out, name); name == l.node {
			break
		}
	}
	return out
}

// lookForCandidates updates the nodes that may own workspaces: those that take requests.
// Hosts with wide links own more of them. The caller must hold l.mu.
func (l *limiter) lookForCandidates() {
	var found []quota.Candidate
	if !l.leaving() {
		found = append(found, quota.Candidate{Name: l.node, Weight: l.linkMbps})
	}
	for _, p := range l.nodes() {
		if p.Alive && p.Ready && !p.Leaving {
			found = append(found, quota.Candidate{Name: p.Name, Weight: p.LinkMbps})
		}
	}
	slices.SortFunc(found, func(a, b quota.Candidate) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(found, l.candidates) {
		l.candidates = found
		clear(l.owners)
	}
}

// askOwner asks a node to admit a request.
func (l *limiter) askOwner(owner, ws string, units float64) (time.Duration, bool, error) {
	if owner == l.node {
		l.mu.Lock()
		defer l.mu.Unlock()
		wait, ok := l.buckets.TakeAsOwner(time.Now(), ws, units)
		return wait, ok, nil
	}
	q, err := msgpack.Marshal(&unitsQuestion{ws, units})
	if err != nil {
		return 0, false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	asked := clock.BootTime()
	b, err := l.ask(ctx, owner, q)
	if err != nil {
		return 0, false, err
	}
	if d := clock.BootTime().Sub(asked); d > ownerTimeout {
		// This node stood still meanwhile. The units may have been admitted again since.
		return 0, false, vane.Errorf(vane.KindUnavailable, "edge.quota", "ask again", "the answer of node %s was read %s after the question", owner, d)
	}
	var a unitsAnswer
	if err := msgpack.Unmarshal(b, &a); err != nil {
		return 0, false, vane.Errorf(vane.KindInternal, "edge.quota", "report this as a bug", "can't decode the answer of node %s", owner).WithCause(err)
	}
	return time.Duration(a.WaitMS) * time.Millisecond, a.Admitted, nil
}

// answer decides on the request of another node, which takes this one for the workspace's
// owner. It returns nil, for no answer, if this node can't decide: when it has just
// started, or while it catches up after it stood still.
func (l *limiter) answer(now time.Time, question []byte) []byte {
	var q unitsQuestion
	if err := msgpack.Unmarshal(question, &q); err != nil || !(q.Units > 0) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mayOwn(now) || !l.buckets.Limits(q.Workspace) {
		return nil
	}
	var a unitsAnswer
	wait, ok := l.buckets.TakeAsOwner(now, q.Workspace, q.Units)
	a.Admitted, a.WaitMS = ok, (wait + time.Millisecond - 1).Milliseconds()
	b, err := msgpack.Marshal(&a)
	if err != nil {
		return nil
	}
	return b
}

// mayOwn reports whether the levels of this node are good enough to decide for all nodes.
// The caller must hold l.mu.
func (l *limiter) mayOwn(now time.Time) bool {
	boot := clock.BootTime()
	return boot.Sub(l.tickedAt) <= standstill && !boot.Before(l.resumedAt.Add(catchUp)) && l.buckets.LevelsReliable(now)
}

// tick is called every tickPeriod, so that a standstill of this node is noticed.
func (l *limiter) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.BootTime()
	if now.Sub(l.tickedAt) > standstill {
		l.resumedAt = now
	}
	l.tickedAt = now
}

// Return implements front.Limiter.
func (l *limiter) Return(ws string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Refund(ws, units)
}

// update takes the limits of the workspaces and the names of the other nodes from the
// view.
func (l *limiter) update(v *mirror.View, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if v.Config != nil {
		limits := make(map[string]quota.Limit)
		for _, t := range v.Config.Workspaces() {
			limits[t.Workspace] = quota.Limit{Rate: t.Quota.Rate, Burst: t.Quota.Burst}
		}
		l.buckets.SetLimits(now, limits)
	}
	var names []string
	for name := range v.Peers {
		if name != self {
			names = append(names, name)
		}
	}
	l.buckets.SetPeers(now, names)
	l.buckets.SetInterval(mesh.MaxInterval(len(names)))
}

// publish returns the quota counters for the next message to the other nodes. levels is
// nil until they are reliable.
func (l *limiter) publish(now time.Time) (spent, levels map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets.LevelsReliable(now) {
		levels = l.buckets.Levels(now)
	}
	return l.buckets.Admitted(), levels
}

// receive applies the quota counters of another node.
func (l *limiter) receive(now time.Time, m *mesh.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Receive(now, m.Name, m.Boot, m.QuotaSpent, m.QuotaLevels)
}
