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

// Bounds of the task.
const (
	syncEvery       = 200 * time.Millisecond
	snapshotTimeout = 2 * time.Second
)

// syncer is the service that keeps this node's configuration level with what it
// hears from peers, and tells peers what the platform confirmed.
type syncer struct{ n *Node }

// Run implements kernel.Service. It is ready when the node has a configuration
// and upstreams, or cannot get them at once.
func (s *syncer) Run(ctx context.Context, ready func()) error {
	s.n.step(ctx)
	ready()
	t := time.NewTicker(syncEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.n.step(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// step does one round.
func (n *Node) step(ctx context.Context) {
	rev := n.conf.Current().Revision
	if at, ok := n.conf.Confirmed(); ok {
		n.peers.Do(func(st *member.State, _ time.Time) { st.ConfirmRevision(rev, at) })
	}
	know := n.peers.View().Info
	n.notePause(know)
	n.noteBehind(rev < know.Revision)
	if rev > 0 && rev >= know.Revision && n.dir.Loaded() && n.joined() {
		return
	}
	for _, addr := range n.sources(know.RevisionSource) {
		if n.fetch(ctx, addr, rev) {
			return
		}
	}
}

// notePause records that the node did not run for a while.
func (n *Node) notePause(k member.Info) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if k.Pauses > n.pauses {
		n.pauses = k.Pauses
		n.ring.Record(vane.Event{What: vane.EventPaused, Subject: n.set.Node.Name, Have: k.LastPause.Seconds()})
	}
}

// joined says whether the node has met the others, if there are any to meet.
func (n *Node) joined() bool {
	return len(n.peers.View().Members) > 0 || len(n.set.Peers.Seeds) == 0
}

// noteBehind remembers since when a newer configuration is known.
func (n *Node) noteBehind(behind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !behind:
		n.behindSince = time.Time{}
	case n.behindSince.IsZero():
		n.behindSince = time.Now()
		n.ring.Record(vane.Event{What: vane.EventConfigStale, Subject: n.set.Node.Name})
	}
}

// sources returns the peers to ask for a snapshot: one that is known to have the
// newest configuration, some other member, and the seeds.
func (n *Node) sources(first string) []string {
	var out []string
	if first != "" {
		out = append(out, first)
	}
	if ms := n.peers.View().Members; len(ms) > 0 {
		if m := ms[rand.IntN(len(ms))]; m.Live() {
			out = append(out, m.Addr)
		}
	}
	for _, s := range n.set.Peers.Seeds {
		if s != n.set.Listen.Peers && len(out) < 3 {
			out = append(out, s)
		}
	}
	return out
}

// fetch takes a peer's snapshot. It returns false if the peer did not answer or
// knew nothing.
func (n *Node) fetch(ctx context.Context, addr string, rev uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply, err := n.peers.Snapshot(ctx, addr, &wire.SnapshotRequest{Revision: rev})
	if err != nil {
		return false
	}
	n.peers.Do(func(st *member.State, now time.Time) { st.MergeMembers(now, reply.GetMembers()) })
	if len(reply.GetConfig()) > 0 {
		if _, err := n.conf.ApplyIfNewer(reply.GetRevision(), reply.GetConfig()); err != nil {
			klog.ErrorS(err, "peer's configuration ignored", "peer", addr)
			return false
		}
	}
	for _, o := range reply.GetObjects() {
		n.moves.ApplyObject(vane.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue()})
	}
	var ups []vane.Upstream
	if !n.dir.Loaded() && json.Unmarshal(reply.GetUpstreams(), &ups) == nil && len(ups) > 0 {
		n.dir.Offer(ups)
	}
	return n.conf.Current().Revision > 0
}
