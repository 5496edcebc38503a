package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/member"
	"mustardvane.org/vane/wire"
)

// Interval and timeout of synchronisation.
const (
	syncInterval    = 200 * time.Millisecond // time between two calls of Node.syncOnce
	snapshotTimeout = 2 * time.Second        // limit of fetching one peer's snapshot
)

// syncer is the service that fetches newer configurations from peers and passes on
// to peers which revision the platform confirmed.
type syncer struct{ node *Node }

// Run implements kernel.Service. It is ready after the first attempt to get a
// configuration and upstreams, whether or not it succeeded.
func (s *syncer) Run(ctx context.Context, ready func()) error {
	s.node.syncOnce(ctx)
	ready()
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.node.syncOnce(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// syncOnce performs one round of synchronisation: it passes the latest confirmation
// of the configuration on to peers, and fetches a snapshot if the node lacks the
// newest configuration, upstreams or members.
func (n *Node) syncOnce(ctx context.Context) {
	rev := n.config.Current().Revision
	if at, ok := n.config.LastConfirmed(); ok {
		n.peers.Do(func(st *member.State, _ time.Time) { st.ConfirmRevision(rev, at) })
	}
	info := n.peers.View().Info
	n.recordPause(info)
	n.recordNewerConfig(rev < info.Revision)
	if rev > 0 && rev >= info.Revision && n.directory.Loaded() && n.hasJoined() {
		return
	}
	for _, addr := range n.snapshotSources(info.RevisionSource) {
		if n.fetchSnapshot(ctx, addr, rev) {
			return
		}
	}
}

// recordPause records an event if the membership protocol found that this process
// did not run for a while.
func (n *Node) recordPause(info member.Info) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if info.Pauses > n.recordedPauses {
		n.recordedPauses = info.Pauses
		n.events.Record(vane.Event{Kind: vane.EventPaused, Subject: n.settings.Node.Name, Observed: info.LastPause.Seconds()})
	}
}

// hasJoined reports whether the node knows another member or has no seeds to join
// through.
func (n *Node) hasJoined() bool {
	return len(n.peers.View().Members) > 0 || len(n.settings.Peers.Seeds) == 0
}

// recordNewerConfig stores since when a newer configuration has been known, and
// records an event when it is first heard of. behind is false if none is known.
func (n *Node) recordNewerConfig(behind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !behind:
		n.newerConfigSince = time.Time{}
	case n.newerConfigSince.IsZero():
		n.newerConfigSince = time.Now()
		n.events.Record(vane.Event{Kind: vane.EventConfigStale, Subject: n.settings.Node.Name})
	}
}

// snapshotSources returns the addresses of up to 3 peers to ask for a snapshot: the
// one known to have the newest configuration, a random member, and seeds.
func (n *Node) snapshotSources(first string) []string {
	var out []string
	if first != "" {
		out = append(out, first)
	}
	if ms := n.peers.View().Members; len(ms) > 0 {
		if m := ms[rand.IntN(len(ms))]; m.Live() {
			out = append(out, m.Addr)
		}
	}
	for _, s := range n.settings.Peers.Seeds {
		if s != n.settings.Listen.Peers && len(out) < 3 {
			out = append(out, s)
		}
	}
	return out
}

// fetchSnapshot fetches a peer's snapshot and applies what is newer. It returns
// false if the peer did not answer, if its configuration was invalid, or if the
// node still has no configuration.
func (n *Node) fetchSnapshot(ctx context.Context, addr string, rev uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply, err := n.peers.Snapshot(ctx, addr, &wire.SnapshotRequest{Revision: rev})
	if err != nil {
		return false
	}
	n.peers.Do(func(st *member.State, now time.Time) { st.MergeMembers(now, reply.GetMembers()) })
	if len(reply.GetConfig()) > 0 {
		if _, err := n.config.ApplyIfNewer(reply.GetRevision(), reply.GetConfig()); err != nil {
			klog.ErrorS(err, "invalid configuration from peer ignored", "peer", addr)
			return false
		}
	}
	for _, o := range reply.GetObjects() {
		n.moves.ApplyObject(vane.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue()})
	}
	var ups []vane.Upstream
	if !n.directory.Loaded() && json.Unmarshal(reply.GetUpstreams(), &ups) == nil && len(ups) > 0 {
		n.directory.SetUpstreams(ups)
	}
	return n.config.Current().Revision > 0
}
