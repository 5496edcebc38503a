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

// Bounds of the exchange between nodes.
const (
	budgetShards  = 16 // must be the same on all nodes
	recallTimeout = 500 * time.Millisecond
	maxLenders    = 3 // peers asked while no holder answers
	maxHints      = 3 // nodes asked on the way to the holder
	pollShare     = 256
	minPollers    = 2
)

// newKeeper builds the keeper of the budgets' leases.
func (n *Node) newKeeper() *lease.Keeper {
	return lease.NewKeeper(n.st, n.ring, lease.Config{
		Prefix: "lease/budget", Node: n.set.Node.Name, Boot: fmt.Sprint(n.boot), Shards: budgetShards,
		Times: lease.DefaultTimes(), Wanted: n.wants,
		OnTake: func(t lease.Taken) { n.hub.Acquire(time.Now(), t) }, OnLapse: n.hub.LeaseExpired, OnLose: n.hub.Drop, Data: n.hub.LeaseData, OnDone: n.hub.LeaseWritten,
	})
}

// wants says whether this node should hold a shard. A holder gives way only to a
// node that is preferred whether or not some members are suspected; another node
// begins to watch a lease as soon as those before it are suspected.
func (n *Node) wants(shard int) bool {
	ms := n.serving()
	if preferred(ms, shard) == n.set.Node.Name {
		return true
	}
	if _, held := n.keeper.Holds(shard); held {
		return false
	}
	alive := slices.DeleteFunc(ms, func(m member.Member) bool { return m.Status != wire.Status_STATUS_ALIVE })
	return preferred(alive, shard) == n.set.Node.Name
}

// preferred returns the name of the member that should hold a shard.
func preferred(ms []member.Member, shard int) string {
	return preferredFor(ms, fmt.Sprintf("budget/%d", shard))
}

// preferredFor returns the name of the member that ranks highest for a key.
func preferredFor(ms []member.Member, key string) string {
	best, score := "", uint64(0)
	for _, m := range ms {
		if r := rank(m.Name, key); best == "" || r > score {
			best, score = m.Name, r
		}
	}
	return best
}

// member returns a member by name.
func (n *Node) member(name string) (member.Member, bool) {
	for _, m := range n.peers.View().Members {
		if m.Name == name && m.Live() {
			return m, true
		}
	}
	return member.Member{}, false
}

// Exchange implements budget.Exchanger: it asks the node that should hold the
// shard, and follows the hints of those that do not.
func (n *Node) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	shard := int(r.GetShard())
	if reply := n.hub.Exchange(time.Now(), r); reply.GetHolder() {
		return reply, nil
	}
	name, addr := n.nearer(shard)
	for range maxHints {
		if addr == "" || name == n.set.Node.Name {
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
	return nil, vane.Errorf(vane.KindUnavailable, "node.exchange", "wait until a node has taken the shard over", "no holder of budget shard %d is known", shard)
}

// nearer returns a node that holds a shard, or knows better who does.
func (n *Node) nearer(shard int) (name, addr string) {
	for _, name := range []string{n.keeper.Holder(shard), preferred(n.serving(), shard)} {
		if m, ok := n.member(name); ok {
			return name, m.Addr
		}
	}
	return "", ""
}

// Borrow implements budget.Exchanger.
func (n *Node) Borrow(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ms := n.serving()
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	out := &wire.ExchangeReply{}
	asked := 0
	for _, m := range ms {
		if m.Name == n.set.Node.Name || asked >= maxLenders {
			continue
		}
		asked++
		reply, err := n.peers.Exchange(ctx, m.Addr, r)
		if err != nil {
			continue
		}
		out.Gives = append(out.Gives, reply.GetGives()...)
		if lent(reply) {
			break
		}
	}
	return out, nil
}

// lent says whether a reply brings a share.
func lent(r *wire.ExchangeReply) bool {
	for _, g := range r.GetGives() {
		if g.GetShare() > 0 {
			return true
		}
	}
	return false
}

// exchange answers another node's ask.
func (n *Node) exchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if r.GetPeer() {
		return n.shares.Lend(r), nil
	}
	reply := n.hub.Exchange(time.Now(), r)
	if !reply.GetHolder() {
		reply.Hint, reply.HintAddr = n.nearer(int(r.GetShard()))
	}
	return reply, nil
}

// recall asks a node to give a share back, without waiting for it.
func (n *Node) recall(v budget.RecallTarget, ws string) {
	r := &wire.RecallRequest{Workspace: ws, Share: v.Share}
	if v.Node == n.set.Node.Name {
		go n.shares.Recall(r)
		return
	}
	m, ok := n.member(v.Node)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
		defer cancel()
		_ = n.peers.Recall(ctx, m.Addr, r)
	}()
}

// snapshot answers a node that needs the configuration.
func (n *Node) snapshot(r *wire.SnapshotRequest) *wire.SnapshotReply {
	reply := &wire.SnapshotReply{}
	rev, value := n.conf.Encoded()
	reply.Revision = rev
	if rev > r.GetRevision() {
		reply.Config = value
	}
	reply.Upstreams, _ = json.Marshal(n.dir.All())
	reply.Objects = n.moves.Objects()
	for _, m := range n.peers.View().Live() {
		reply.Members = append(reply.Members, &wire.Member{
			Name: m.Name, Addr: m.Addr, Callers: m.Callers, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Status: m.Status,
		})
	}
	return reply
}

// polls says whether this node asks the upstream for its load. In a small fleet
// every node asks every upstream; the larger the fleet, the fewer ask each one.
func (n *Node) polls(upstream string) bool {
	ms := n.serving()
	k := max(minPollers, pollShare/max(1, len(n.dir.All())))
	if len(ms) <= k {
		return true
	}
	for _, m := range choose(ms, upstream, k) {
		if m.Name == n.set.Node.Name {
			return true
		}
	}
	return false
}

// broadcastLoad passes a load report on to the other nodes.
func (n *Node) broadcastLoad(name string, incarnation uint64, l vane.Load) {
	n.peers.Do(func(st *member.State, now time.Time) {
		st.BroadcastLoad(now, &wire.Load{
			Upstream: name, Incarnation: incarnation, Running: uint32(l.Running), Waiting: uint32(l.Waiting), Draining: l.Draining,
		})
	})
}

// receiveLoad takes a load report from another node.
func (n *Node) receiveLoad(l *wire.Load) {
	n.dir.Saw(l.GetUpstream(), l.GetIncarnation())
	n.dir.TakeLoad(l.GetUpstream(), l.GetIncarnation(), vane.Load{Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Draining: l.GetDraining()})
}

// broadcastCrash passes a report on to the other nodes.
func (n *Node) broadcastCrash(s crash.Report) {
	n.peers.Do(func(st *member.State, _ time.Time) {
		st.BroadcastCrash(&wire.CrashReport{
			Workspace: s.Name.Workspace, Fingerprint: s.Name.Fingerprint, Upstream: s.Upstream, Incarnation: s.Incarnation,
		})
	})
}

// broadcastClear passes the clearance of a request on to the other nodes.
func (n *Node) broadcastClear(name crash.Name) {
	n.peers.Do(func(st *member.State, now time.Time) {
		st.BroadcastCrash(&wire.CrashReport{Workspace: name.Workspace, Fingerprint: name.Fingerprint, Incarnation: uint64(now.UnixMicro())})
	})
}

// receiveCrash takes a report or a clearance from another node.
func (n *Node) receiveCrash(s *wire.CrashReport) {
	name := crash.Name{Workspace: s.GetWorkspace(), Fingerprint: s.GetFingerprint()}
	if s.GetUpstream() == "" {
		n.crash.Clear(name)
		return
	}
	n.crash.Add(crash.Report{Name: name, Upstream: s.GetUpstream(), Incarnation: s.GetIncarnation()})
}
