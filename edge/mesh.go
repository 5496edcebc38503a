package edge

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/weight"
)

// Durations and limits of the communication with the other nodes.
const (
	updateRepeatTime       = 1500 * time.Millisecond // updates are repeated for this long, since datagrams get lost
	leavingRepeatTime      = 5 * time.Second         // covers two messages of a node of a large site
	unresponsiveRepeatTime = 300 * time.Millisecond  // enough for one or two messages
	maxCrashReports        = 64                      // pending crash reports; further ones are dropped
	joinRetryDelay         = 500 * time.Millisecond  // before a failed write of the node's record is retried
	rejoinSpread           = time.Second             // all nodes write their records again within this time after a restore
	peerSilenceLimit       = 15 * time.Second        // records of nodes silent for longer are removed
	peerCleanupInterval    = 5 * time.Second         // between two checks of the records
)

// pendingUpdates holds the updates that the next messages carry. It is safe for
// concurrent use.
type pendingUpdates struct {
	mu           sync.Mutex
	engines      map[string]repeated[mesh.EngineUpdate]
	crashes      []repeated[mesh.CrashReport]
	unresponsive map[string]time.Time             // by upstream: time until which its failure is reported
	leaving      map[mesh.UpstreamStart]time.Time // by upstream and incarnation: time until which its leaving is reported
	partCrashes  []repeated[crash.PartCrash]
	partClears   map[uint64]time.Time // by part: time until which its clearance is reported
	convictions  map[uint64]repeated[crash.Conviction]
}

// repeated is an update and the time until which messages repeat it.
type repeated[T any] struct {
	value T
	until time.Time
}

// newPendingUpdates returns an empty set.
func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{
		engines: make(map[string]repeated[mesh.EngineUpdate]), unresponsive: make(map[string]time.Time), leaving: make(map[mesh.UpstreamStart]time.Time),
		partClears: make(map[uint64]time.Time), convictions: make(map[uint64]repeated[crash.Conviction]),
	}
}

// addEngine adds an update about an engine. It replaces the previous one of that
// engine.
func (n *pendingUpdates) addEngine(u mesh.EngineUpdate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engines[u.Upstream] = repeated[mesh.EngineUpdate]{u, time.Now().Add(updateRepeatTime)}
}

// addUnresponsive reports an upstream that does not respond to this node.
func (n *pendingUpdates) addUnresponsive(upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive[upstream] = time.Now().Add(unresponsiveRepeatTime)
}

// addLeaving reports an upstream that said that it is leaving.
func (n *pendingUpdates) addLeaving(u vane.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[mesh.UpstreamStart{Upstream: u.Name, Incarnation: u.Incarnation}] = time.Now().Add(leavingRepeatTime)
}

// addCrash adds a crash report. It is dropped if too many are pending.
func (n *pendingUpdates) addCrash(r crash.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.crashes) < maxCrashReports {
		n.crashes = append(n.crashes, repeated[mesh.CrashReport]{mesh.CrashReport{
			Workspace: r.Request.Workspace, Fingerprint: r.Request.Fingerprint, Upstream: r.Upstream, Incarnation: r.Incarnation,
		}, time.Now().Add(updateRepeatTime)})
	}
}

// fill adds the pending updates to a message and removes the expired ones.
func (n *pendingUpdates) fill(now time.Time, m *mesh.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, e := range n.engines {
		if now.After(e.until) {
			delete(n.engines, name)
			continue
		}
		m.Engines = append(m.Engines, e.value)
	}
	for name, until := range n.unresponsive {
		if now.After(until) {
			delete(n.unresponsive, name)
			continue
		}
		m.Unresponsive = append(m.Unresponsive, name)
	}
	for u, until := range n.leaving {
		if now.After(until) {
			delete(n.leaving, u)
			continue
		}
		m.Extension.Leaving = append(m.Extension.Leaving, u)
	}
	remaining := n.crashes[:0]
	for _, c := range n.crashes {
		if now.Before(c.until) {
			remaining = append(remaining, c)
			m.Crashes = append(m.Crashes, c.value)
		}
	}
	n.crashes = remaining
	n.fillParts(now, m)
}

// compose fills in the next message to the other nodes.
func (n *Node) compose(now time.Time, m *mesh.Message) {
	m.Ready, m.Leaving = n.isReady(), n.isLeaving()
	m.InFlight = n.placer.InFlight()
	m.Extension.Prefill = n.placer.Prefill()
	m.Work = composeWork(n.handler.Work())
	m.QuotaSpent, m.QuotaLevels = n.quota.publish(now)
	if n.mesh.IsPromptWatcher() {
		m.WeightsAges = n.weightsAges()
	} else {
		m.QuotaLevels = nil // a starting node needs the levels from only a few others
	}
	if fence, ok := n.leases.Holds(0); ok {
		m.Fence = fence
	}
	m.PromptParts = n.placer.TakeCacheUpdates()
	m.StoreOK, m.Extension.StoreFailing = n.mirror.Reachable() && n.mesh.IsPromptWatcher(), n.mirror.Failing()
	m.Extension.WallMS = time.Now().UnixMilli()
	n.rollouts.fill(m)
	n.composeRates(m)
	n.pendingUpdates.fill(now, m)
	n.composeConvictions(now, m)
	n.coldStarts.fill(clock.BootTime(), m)
}

// maxWeightsAges is the number of newest weights of a model whose ages are sent. Engines
// seldom serve older ones.
const maxWeightsAges = 4

// weightsAges returns how long ago this node learned of the newest weights. It leaves out ages
// from records until other nodes have confirmed the wall clock, since a lower age does not
// replace one that is too high.
func (n *Node) weightsAges() []mesh.WeightsAge {
	var out []mesh.WeightsAge
	now := clock.BootTime()
	_, confirmed := n.mirror.WallOffset()
	for model, w := range n.mirror.View().Weights {
		for _, h := range w.History[max(0, len(w.History)-maxWeightsAges):] {
			if !h.Bound && (confirmed || !h.Record) {
				out = append(out, mesh.WeightsAge{Model: model, Weights: h.Number, AgeMS: now.Sub(h.Since).Milliseconds(), Seen: h.Seen})
			}
		}
	}
	return out
}

// receive applies a message from another node.
func (n *Node) receive(now time.Time, m *mesh.Message) {
	at := clock.BootTime() // the clock of the placer
	n.placer.SetPeerLoad(at, m.Name, m.InFlight, m.Extension.Prefill)
	n.placer.SetPeerWork(m.Name, peerWork(m.Work))
	n.placer.ApplyCacheUpdates(m.PromptParts)
	n.receiveRates(m)
	n.quota.receive(now, m)
	n.rollouts.receive(now, m)
	for _, e := range m.Engines {
		n.placer.RecordWeights(e.Upstream, e.Weights)
		if e.LoadingMS != 0 {
			left := min(e.LoadingMS, int(weight.MaxLoadTime.Milliseconds()))
			n.placer.SetLoading(e.Upstream, at.Add(time.Duration(left)*time.Millisecond))
		}
	}
	for _, a := range m.WeightsAges {
		n.mirror.MergeAge(a.Model, a.Weights, time.Duration(a.AgeMS)*time.Millisecond, a.Seen)
	}
	for _, u := range m.Extension.Leaving {
		if n.placer.MarkLeaving(u.Upstream, u.Incarnation) {
			n.log.Info("upstream leaves, says another node", "upstream", u.Upstream, "incarnation", u.Incarnation, "peer", m.Name)
		}
	}
	for _, name := range m.Unresponsive {
		n.placer.RecordPeerFailure(at, name)
	}
	if m.Fence > 0 {
		n.leases.Hint(0, m.Fence)
	}
	for _, c := range m.Crashes {
		n.crash.Add(crash.Report{Request: crash.RequestKey{Workspace: c.Workspace, Fingerprint: c.Fingerprint}, Upstream: c.Upstream, Incarnation: c.Incarnation})
	}
	n.receiveParts(now, m)
	n.coldStarts.receive(at, m)
}

// composeWork returns the work of this node as messages carry it. A node without requests
// sends an entry without a service, since others take a node that sends none for one of an
// older build, of whose work they know nothing.
func composeWork(work map[string]admit.Report) []mesh.ServiceWork {
	if len(work) == 0 {
		return []mesh.ServiceWork{{}}
	}
	out := make([]mesh.ServiceWork, 0, len(work))
	for service, w := range work {
		out = append(out, mesh.ServiceWork{Service: service, Outstanding: w.Outstanding.Milliseconds(), Waiting: w.Waiting.Milliseconds(), Demand: float32(w.Demand)})
	}
	return out
}

// maxPeerWorkMS is the largest work that a node can have, in milliseconds of one upstream: an
// hour.
const maxPeerWorkMS = 3_600_000

// peerWork returns the work that another node reports, by service. Values that can't be true are
// left out.
func peerWork(l []mesh.ServiceWork) map[string]admit.Report {
	out := make(map[string]admit.Report, len(l))
	for _, w := range l {
		if w.Outstanding < 0 || w.Waiting < 0 || w.Outstanding > maxPeerWorkMS || w.Waiting > maxPeerWorkMS || !(w.Demand >= 0 && w.Demand <= math.MaxInt32) {
			continue
		}
		out[w.Service] = admit.Report{Outstanding: time.Duration(w.Outstanding) * time.Millisecond, Waiting: time.Duration(w.Waiting) * time.Millisecond, Demand: float64(w.Demand)}
	}
	return out
}

// wantsLease reports whether this node should hold the lease on weight orders. The
// current holder keeps it; otherwise it goes to the first node by name that reaches the
// store.
func (n *Node) wantsLease() bool {
	if n.isLeaving() {
		return false
	}
	if _, ok := n.leases.Holds(0); ok {
		return true
	}
	if !n.mirror.Reachable() || !n.mesh.IsPromptWatcher() {
		return false
	}
	for _, p := range n.mesh.Peers() {
		if !p.Alive || p.Leaving {
			continue
		}
		if p.Fence > 0 || p.StoreOK && p.Name < n.settings.Node {
			return false
		}
	}
	return n.mirror.View().Config != nil
}

// maintainRecord writes the node's record to the store, and writes it again if it is
// removed. It also removes the records of nodes that have been silent for long.
func (n *Node) maintainRecord(ctx context.Context, ready func()) error {
	ready()
	if !n.writeRecord(ctx) {
		return nil
	}
	for {
		lost := false
		select {
		case <-n.rejoin:
			clock.Sleep(ctx, rand.N(rejoinSpread))
			lost = true
		case <-time.After(clock.Jitter(peerCleanupInterval)):
			n.removeSilentPeers(ctx)
		case <-ctx.Done():
			return nil
		}
		if (lost && !n.isLeaving() || n.recordMissing()) && !n.writeRecord(ctx) {
			return nil
		}
	}
}

// writeRecord writes the node's record and retries until it succeeds. It returns false
// if ctx ends first.
func (n *Node) writeRecord(ctx context.Context) bool {
	for {
		err := n.putRecord(ctx)
		if err == nil {
			n.log.Info("joined", "boot", n.mesh.Boot())
			n.mesh.SendNow()
			return true
		}
		n.log.Warn("node record not written; will retry", "err", err.Error())
		if !clock.Sleep(ctx, clock.Jitter(joinRetryDelay)) {
			return false
		}
	}
}

// putRecord writes the node's record. It replaces one of an earlier start, whose boot number
// stays below that of this start.
func (n *Node) putRecord(ctx context.Context) error {
	return putRecord(ctx, n.storeClient, n.mesh, n.record)
}

// putRecord writes the record that record returns for the boot number of m. See [Node.putRecord].
func putRecord(ctx context.Context, st vane.Store, m *mesh.Mesh, record func(boot uint64) vane.PeerRecord) error {
	key := mirror.PeerKey(record(0).Name)
	put := func(version, boot uint64) error {
		value, err := json.Marshal(record(boot))
		if err != nil {
			return vane.Errorf(vane.KindInternal, "edge.join", "report this as a bug", "can't encode the node record").WithCause(err)
		}
		_, err = st.Put(ctx, key, version, value)
		return err
	}
	err := put(0, m.Boot())
	if vane.KindOf(err) != vane.KindConflict {
		return err
	}
	o, err := st.Get(ctx, key)
	if err != nil {
		return err
	}
	boot := m.Boot()
	var old vane.PeerRecord
	if err := json.Unmarshal(o.Value, &old); err == nil && old.Boot > boot { // a malformed record is replaced
		boot = m.RaiseBoot(old.Boot)
	}
	return put(o.Version, boot)
}

// recordMissing reports whether the record of this running node is gone. That happens
// when the node was cut off for so long that another node removed the record.
func (n *Node) recordMissing() bool {
	if n.isLeaving() || !n.mirror.Reachable() {
		return false
	}
	v := n.mirror.View()
	_, ok := v.Peers[n.settings.Node]
	return !ok && v.Config != nil
}

// overwrite creates an object, or replaces it whatever its version.
func (n *Node) overwrite(ctx context.Context, key string, value []byte) error {
	_, err := n.storeClient.Put(ctx, key, 0, value)
	if vane.KindOf(err) == vane.KindConflict {
		var o vane.Object
		if o, err = n.storeClient.Get(ctx, key); err == nil {
			_, err = n.storeClient.Put(ctx, key, o.Version, value)
		}
	}
	return err
}

// removeSilentPeers removes the records of nodes that have been silent for long. Only
// the lease holder does so, and only once it has run long enough to have heard all
// nodes.
func (n *Node) removeSilentPeers(ctx context.Context) {
	if _, ok := n.leases.Holds(0); !ok {
		return
	}
	for _, name := range silentPeers(time.Now(), clock.BootTime().Sub(n.startedAt), n.mesh.Peers()) {
		n.removeRecord(ctx, name)
	}
}

// silentPeers returns the names of the nodes that have been silent for long. It returns none if
// this node has not run for long enough to have heard them. The uptime must not be taken from
// the wall clock: when that was set forward, a node that had just started removed the records
// of all nodes that it had not heard yet.
func silentPeers(now time.Time, uptime time.Duration, peers []mesh.Peer) []string {
	if uptime < peerSilenceLimit {
		return nil
	}
	var out []string
	for _, p := range peers {
		if now.Sub(p.LastHeard) > peerSilenceLimit {
			out = append(out, p.Name)
		}
	}
	return out
}

// removeOwnRecord removes this node's record.
func (n *Node) removeOwnRecord(ctx context.Context) { n.removeRecord(ctx, n.settings.Node) }

// removeRecord deletes the record of a node. A record that is already gone is not an
// error.
func (n *Node) removeRecord(ctx context.Context, name string) {
	key := mirror.PeerKey(name)
	o, err := n.storeClient.Get(ctx, key)
	if err == nil {
		err = n.storeClient.Delete(ctx, key, o.Version)
	}
	if err != nil && vane.KindOf(err) != vane.KindNotFound {
		n.log.Warn("removing the record of a node failed", "peer", name, "err", err.Error())
		return
	}
	n.log.Info("record of a node removed", "peer", name)
}
