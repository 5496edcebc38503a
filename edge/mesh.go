package edge

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
)

// Times of the node's dealings with the others.
const (
	noteLife    = 1500 * time.Millisecond // news are repeated for so long, since datagrams get lost
	asideLife   = 300 * time.Millisecond  // one or two messages
	maxNotes    = 64
	joinRetry   = 500 * time.Millisecond
	forgetAfter = 15 * time.Second // records of nodes that were silent for so long are removed
	forgetEvery = 5 * time.Second
)

// notes are the news that the next messages carry.
type notes struct {
	mu      sync.Mutex
	engines map[string]timed[mesh.EngineNote]
	crashes []timed[mesh.CrashNote]
	aside   map[string]time.Time // upstreams that failed, and until when that is told
}

// timed is a piece of news and the time until which it is repeated.
type timed[T any] struct {
	what  T
	until time.Time
}

// newNotes returns an empty set.
func newNotes() *notes {
	return &notes{engines: make(map[string]timed[mesh.EngineNote]), aside: make(map[string]time.Time)}
}

// addEngine adds news of an engine; they replace older ones.
func (n *notes) addEngine(e mesh.EngineNote) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engines[e.Upstream] = timed[mesh.EngineNote]{e, time.Now().Add(noteLife)}
}

// addAside adds the news that an upstream does not answer this node.
func (n *notes) addAside(upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.aside[upstream] = time.Now().Add(asideLife)
}

// addCrash adds the news of a crash.
func (n *notes) addCrash(s crash.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.crashes) < maxNotes {
		n.crashes = append(n.crashes, timed[mesh.CrashNote]{mesh.CrashNote{
			Workspace: s.Name.Workspace, Fingerprint: s.Name.Fingerprint, Upstream: s.Upstream, Incarnation: s.Incarnation,
		}, time.Now().Add(noteLife)})
	}
}

// fill adds the news to a message.
func (n *notes) fill(now time.Time, m *mesh.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, e := range n.engines {
		if now.After(e.until) {
			delete(n.engines, name)
			continue
		}
		m.Engines = append(m.Engines, e.what)
	}
	for name, until := range n.aside {
		if now.After(until) {
			delete(n.aside, name)
			continue
		}
		m.Aside = append(m.Aside, name)
	}
	kept := n.crashes[:0]
	for _, c := range n.crashes {
		if now.Before(c.until) {
			kept = append(kept, c)
			m.Crashes = append(m.Crashes, c.what)
		}
	}
	n.crashes = kept
}

// compose fills the next message to the other nodes.
func (n *Node) compose(now time.Time, m *mesh.Message) {
	m.Ready, m.Leaving = n.isReady(), n.isLeaving()
	m.InFlight = n.placer.InFlight()
	m.Spent, m.Levels = n.quota.publish(now)
	if !n.mesh.IsPromptWatcher() {
		m.Levels = nil // a node that starts needs them from a few others only
	}
	if fence, ok := n.keeper.Holds(0); ok {
		m.Fence = fence
	}
	m.Reads = n.placer.TakeCacheUpdates()
	m.StoreOK = n.mirror.Reachable() && n.mesh.IsPromptWatcher()
	n.notes.fill(now, m)
}

// receive takes a message of another node.
func (n *Node) receive(now time.Time, m *mesh.Message) {
	n.placer.SetPeerInFlight(m.Name, m.InFlight)
	n.placer.ApplyCacheUpdates(m.Reads)
	n.quota.receive(now, m)
	for _, e := range m.Engines {
		n.placer.RecordWeights(e.Upstream, e.Weights)
		if e.LoadingMS != 0 {
			n.placer.SetLoading(e.Upstream, now.Add(time.Duration(e.LoadingMS)*time.Millisecond))
		}
	}
	for _, name := range m.Aside {
		n.placer.RecordPeerFailure(now, name)
	}
	if m.Fence > 0 {
		n.keeper.Hint(0, m.Fence)
	}
	for _, c := range m.Crashes {
		n.crash.Add(crash.Report{Name: crash.Name{Workspace: c.Workspace, Fingerprint: c.Fingerprint}, Upstream: c.Upstream, Incarnation: c.Incarnation})
	}
}

// wantsLease says whether this node should hold the lease on orders: the node that
// holds it keeps it; else the first one by name that reaches the store takes it.
func (n *Node) wantsLease() bool {
	if n.isLeaving() {
		return false
	}
	if _, ok := n.keeper.Holds(0); ok {
		return true
	}
	if !n.mirror.Reachable() || !n.mesh.IsPromptWatcher() {
		return false
	}
	for _, p := range n.mesh.Peers() {
		if !p.Alive || p.Leaving {
			continue
		}
		if p.Fence > 0 || p.StoreOK && p.Name < n.set.Node {
			return false
		}
	}
	return n.mirror.View().Config != nil
}

// join makes the node known in the store, again if its record is removed, and removes
// records of nodes that have been gone for long.
func (n *Node) join(ctx context.Context, ready func()) error {
	ready()
	key := mirror.PeerKey(n.set.Node)
	value, err := json.Marshal(n.record())
	if err != nil {
		return vane.Errorf(vane.KindInternal, "edge.join", "report the failure", "the record can't be encoded").WithCause(err)
	}
	if !n.writeRecord(ctx, key, value) {
		return nil
	}
	for clock.Sleep(ctx, clock.Jitter(forgetEvery)) {
		n.forget(ctx)
		if n.forgotten() && !n.writeRecord(ctx, key, value) {
			return nil
		}
	}
	return nil
}

// writeRecord writes the node's record until it stands. It returns false if ctx ends first.
func (n *Node) writeRecord(ctx context.Context, key string, value []byte) bool {
	for {
		err := n.write(ctx, key, value)
		if err == nil {
			n.log.Info("joined", "boot", n.boot)
			n.mesh.SendNow()
			return true
		}
		n.log.Warn("not joined yet", "err", err.Error())
		if !clock.Sleep(ctx, clock.Jitter(joinRetry)) {
			return false
		}
	}
}

// forgotten says whether the node's record is gone although it runs: it was cut off
// for so long that another node removed the record.
func (n *Node) forgotten() bool {
	if n.isLeaving() || !n.mirror.Reachable() {
		return false
	}
	v := n.mirror.View()
	_, ok := v.Peers[n.set.Node]
	return !ok && v.Config != nil
}

// write replaces an object whatever its version, or creates it.
func (n *Node) write(ctx context.Context, key string, value []byte) error {
	_, err := n.st.Put(ctx, key, 0, value)
	if vane.KindOf(err) == vane.KindConflict {
		var o vane.Object
		if o, err = n.st.Get(ctx, key); err == nil {
			_, err = n.st.Put(ctx, key, o.Version, value)
		}
	}
	return err
}

// forget removes the records of nodes that have been silent for long, if this node
// holds the lease.
func (n *Node) forget(ctx context.Context) {
	if _, ok := n.keeper.Holds(0); !ok {
		return
	}
	now := time.Now()
	if now.Sub(time.UnixMilli(int64(n.boot))) < forgetAfter {
		return
	}
	for _, p := range n.mesh.Peers() {
		if now.Sub(p.Heard) > forgetAfter {
			n.remove(ctx, p.Name)
		}
	}
}

// leave removes the node's own record.
func (n *Node) leave(ctx context.Context) { n.remove(ctx, n.set.Node) }

// remove deletes the record of a node.
func (n *Node) remove(ctx context.Context, name string) {
	key := mirror.PeerKey(name)
	o, err := n.st.Get(ctx, key)
	if err == nil {
		err = n.st.Delete(ctx, key, o.Version)
	}
	if err != nil && vane.KindOf(err) != vane.KindNotFound {
		n.log.Warn("record of a node not removed", "peer", name, "err", err.Error())
		return
	}
	n.log.Info("record of a node removed", "peer", name)
}
