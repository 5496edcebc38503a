package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/budget"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/member"
	"mustardvane.org/vane/wire"
)

// Limits of the exchanges between nodes.
const (
	budgetShards          = 16 // shards of the budgets; must be the same on all nodes
	recallTimeout         = 500 * time.Millisecond
	maxBorrowPeers        = 3   // peers asked for budget while the lease holder does not answer
	maxRedirects          = 3   // nodes asked in turn while looking for the lease holder
	fleetLoadPolls        = 256 // pairs of node and upstream polled for load in a large fleet
	minPollersPerUpstream = 2   // nodes that poll each upstream, if there are as many
)

// newLeaseManager builds the manager of the budget shards' leases.
func (n *Node) newLeaseManager() *lease.Manager {
	return lease.NewManager(n.store, n.events, lease.Config{
		Prefix: "lease/budget", Node: n.settings.Node.Name, Boot: fmt.Sprint(n.incarnation), Shards: budgetShards,
		Times: lease.DefaultTimes(), Wanted: n.wantsShard,
		OnAcquire: func(t lease.Acquisition) { n.allocator.Acquire(time.Now(), t) }, OnExpire: n.allocator.LeaseExpired, OnLose: n.allocator.Drop, Data: n.allocator.LeaseData, OnWritten: n.allocator.LeaseWritten,
	})
}

// wantsShard reports whether this node should hold the lease of a shard. A holder
// considers all serving members, including suspected ones, so that a suspicion alone
// does not move its lease. A node without the lease also checks whether it is
// preferred among the members that are not suspected, so that it begins to watch the
// lease as soon as the nodes ranked before it are suspected.
func (n *Node) wantsShard(shard int) bool {
	ms := n.servingMembers()
	if preferredHolder(ms, shard) == n.settings.Node.Name {
		return true
	}
	if _, held := n.leases.Holds(shard); held {
		return false
	}
	alive := slices.DeleteFunc(ms, func(m member.Member) bool { return m.Status != wire.Status_STATUS_ALIVE })
	return preferredHolder(alive, shard) == n.settings.Node.Name
}

// preferredHolder returns the name of the member that should hold a shard's lease.
func preferredHolder(ms []member.Member, shard int) string {
	return highestRanked(ms, fmt.Sprintf("budget/%d", shard))
}

// highestRanked returns the name of the member with the highest rendezvous score
// for a key, or "" if there are no members.
func highestRanked(ms []member.Member, key string) string {
	best, score := "", uint64(0)
	for _, m := range ms {
		if r := rendezvousScore(m.Name, key); best == "" || r > score {
			best, score = m.Name, r
		}
	}
	return best
}

// liveMember returns the live member of the given name, other than this node.
func (n *Node) liveMember(name string) (member.Member, bool) {
	for _, m := range n.peers.View().Members {
		if m.Name == name && m.Live() {
			return m, true
		}
	}
	return member.Member{}, false
}

// Exchange implements budget.Exchanger. It asks the node that probably holds the
// shard and follows the hints of nodes that do not hold it, up to 3 requests.
func (n *Node) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	shard := int(r.GetShard())
	if reply := n.allocator.Exchange(time.Now(), r); reply.GetHolder() {
		return reply, nil
	}
	name, addr := n.likelyHolder(shard)
	for range maxRedirects {
		if addr == "" || name == n.settings.Node.Name {
			break
		}
		reply, err := n.peers.Exchange(ctx, addr, r)
		if err != nil {
			return nil, err
		}
		if reply.GetHolder() || reply.GetHint() == name {
			return reply, nil
		}
		name, addr = reply.GetHint(), reply.GetHintAddr()
	}
	return nil, vane.Errorf(vane.KindUnavailable, "node.exchange", "wait until a node has taken over the shard", "no holder of budget shard %d is known", shard)
}

// likelyHolder returns the name and peer address of the node that last held a shard
// or, if that node is not live, of the preferred holder. It returns empty strings
// if neither is another live node.
func (n *Node) likelyHolder(shard int) (name, addr string) {
	for _, name := range []string{n.leases.Holder(shard), preferredHolder(n.servingMembers(), shard)} {
		if m, ok := n.liveMember(name); ok {
			return name, m.Addr
		}
	}
	return "", ""
}

// Borrow implements budget.Exchanger. It asks up to 3 random members, one after the
// other, until one gives a share.
func (n *Node) Borrow(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ms := n.servingMembers()
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	out := &wire.ExchangeReply{}
	asked := 0
	for _, m := range ms {
		if m.Name == n.settings.Node.Name || asked >= maxBorrowPeers {
			continue
		}
		asked++
		reply, err := n.peers.Exchange(ctx, m.Addr, r)
		if err != nil {
			continue
		}
		out.Gives = append(out.Gives, reply.GetGives()...)
		if givesShare(reply) {
			break
		}
	}
	return out, nil
}

// givesShare reports whether a reply contains a budget share above zero.
func givesShare(r *wire.ExchangeReply) bool {
	for _, g := range r.GetGives() {
		if g.GetShare() > 0 {
			return true
		}
	}
	return false
}

// handleExchange answers another node's request for budget shares.
func (n *Node) handleExchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if r.GetPeer() {
		return n.limiter.Lend(r), nil
	}
	reply := n.allocator.Exchange(time.Now(), r)
	if !reply.GetHolder() {
		reply.Hint, reply.HintAddr = n.likelyHolder(int(r.GetShard()))
	}
	return reply, nil
}

// sendRecall asks a node to give a budget share of the workspace back. It does not
// wait for the answer.
func (n *Node) sendRecall(target budget.RecallTarget, ws string) {
	r := &wire.RecallRequest{Workspace: ws, Share: target.Share}
	if target.Node == n.settings.Node.Name {
		go n.limiter.Recall(r)
		return
	}
	m, ok := n.liveMember(target.Node)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
		defer cancel()
		_ = n.peers.Recall(ctx, m.Addr, r)
	}()
}

// handleSnapshot answers a node that needs the configuration, the upstreams or the
// members.
func (n *Node) handleSnapshot(r *wire.SnapshotRequest) *wire.SnapshotReply {
	reply := &wire.SnapshotReply{}
	rev, value := n.config.Encoded()
	reply.Revision = rev
	if rev > r.GetRevision() {
		reply.Config = value
	}
	reply.Upstreams, _ = json.Marshal(n.directory.All())
	reply.Objects = n.moves.Objects()
	for _, m := range n.peers.View().Live() {
		reply.Members = append(reply.Members, &wire.Member{
			Name: m.Name, Addr: m.Addr, Callers: m.CallerAddr, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Status: m.Status,
		})
	}
	return reply
}

// pollsUpstream reports whether this node polls the upstream's load. In a small
// fleet every node polls every upstream. In a large one, about 256 pairs of node
// and upstream are polled, with at least two nodes per upstream.
func (n *Node) pollsUpstream(upstream string) bool {
	ms := n.servingMembers()
	k := max(minPollersPerUpstream, fleetLoadPolls/max(1, len(n.directory.All())))
	if len(ms) <= k {
		return true
	}
	for _, m := range topRanked(ms, upstream, k) {
		if m.Name == n.settings.Node.Name {
			return true
		}
	}
	return false
}

// broadcastLoad queues a load report for gossip to the other nodes.
func (n *Node) broadcastLoad(name string, incarnation uint64, l vane.Load) {
	n.peers.Do(func(st *member.State, now time.Time) {
		st.BroadcastLoad(now, &wire.Load{
			Upstream: name, Incarnation: incarnation, Running: uint32(l.Running), Waiting: uint32(l.Waiting), Draining: l.Draining,
		})
	})
}

// receiveLoad applies a load report from another node.
func (n *Node) receiveLoad(l *wire.Load) {
	n.directory.ObserveIncarnation(l.GetUpstream(), l.GetIncarnation())
	n.directory.ReportLoad(l.GetUpstream(), l.GetIncarnation(), vane.Load{Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Draining: l.GetDraining()})
}

// broadcastCrash queues a crash report for gossip to the other nodes.
func (n *Node) broadcastCrash(c crash.Report) {
	n.peers.Do(func(st *member.State, _ time.Time) {
		st.BroadcastCrash(&wire.CrashReport{
			Workspace: c.Request.Workspace, Fingerprint: c.Request.Fingerprint, Upstream: c.Upstream, Incarnation: c.Incarnation,
		})
	})
}

// broadcastClear queues the clearance of a suspect request for gossip to the other
// nodes. A clearance is a crash report without an upstream. Its incarnation is the
// current time, so that it is distinct from earlier ones and is not dropped as a
// duplicate.
func (n *Node) broadcastClear(key crash.RequestKey) {
	n.peers.Do(func(st *member.State, now time.Time) {
		st.BroadcastCrash(&wire.CrashReport{Workspace: key.Workspace, Fingerprint: key.Fingerprint, Incarnation: uint64(now.UnixMicro())})
	})
}

// receiveCrash applies a crash report, or the clearance of a request, from another
// node. A clearance has no upstream.
func (n *Node) receiveCrash(c *wire.CrashReport) {
	key := crash.RequestKey{Workspace: c.GetWorkspace(), Fingerprint: c.GetFingerprint()}
	if c.GetUpstream() == "" {
		n.crashes.Clear(key)
		return
	}
	n.crashes.Add(crash.Report{Request: key, Upstream: c.GetUpstream(), Incarnation: c.GetIncarnation()})
}
