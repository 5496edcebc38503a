package node

import (
	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/member"
)

// minShareFraction is the fraction of each budget that is divided among the nodes
// assigned to the workspace, whether or not they have demand.
const minShareFraction = 0.4

// minSharesInputs identifies the inputs that the minimum shares are computed from.
type minSharesInputs struct {
	revision uint64 // revision of the configuration
	members  uint64 // hash of the serving members' names
}

// minShares returns, by workspace, the budget shares that this node should hold even
// without demand. The result is cached until the configuration or the members
// change. The caller must not modify it.
func (n *Node) minShares() map[string]float64 {
	ms, v := n.servingMembers(), n.config.Current()
	key := minSharesInputs{revision: v.Revision, members: hashNames(ms)}
	n.mu.Lock()
	defer n.mu.Unlock()
	if key == n.minSharesKey {
		return n.minSharesCache
	}
	shares := make(map[string]float64)
	if !n.entry.Draining() {
		for _, w := range v.Fleet.Workspaces {
			k := min(len(ms), n.nodesForWorkspace(w.Name, len(ms)))
			for _, m := range topRanked(ms, w.Name, k) {
				if m.Name == n.settings.Node.Name {
					shares[w.Name] = minShareFraction / float64(k)
				}
			}
		}
	}
	n.minSharesKey, n.minSharesCache = key, shares
	return shares
}

// MinBudgetShare returns the share of a workspace's budget, from 0 to 1, that the
// node should hold even without demand.
func (n *Node) MinBudgetShare(ws string) float64 { return n.minShares()[ws] }

// BudgetShare returns the share of a workspace's budget, from 0 to 1, that the node
// holds.
func (n *Node) BudgetShare(ws string) float64 {
	share, _ := n.limiter.Held(ws)
	return share
}

// hashNames returns a hash of the members' names. It does not depend on their order.
func hashNames(ms []member.Member) uint64 {
	h := uint64(len(ms))
	for _, m := range ms {
		h += xxhash.Sum64String(m.Name)
	}
	return h
}
