package node

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/entry"
	"mustardvane.org/vane/member"
)

// Parameters of the list of entry addresses.
const (
	maxEntries           = 16  // addresses in one answer
	minNodesPerWorkspace = 2   // nodes that any workspace is assigned at least
	nodesPerRateShare    = 2.0 // a workspace with 1% of the sum of all rates gets 2% of the nodes
)

// entryAddresses returns the addresses that callers may use, those in this data
// centre first. If ws is not empty, it returns only the nodes assigned to that
// workspace. All nodes compute the same assignment, so that the workspace's traffic
// and budget are concentrated on few nodes.
func (n *Node) entryAddresses(ws string) []entry.Address {
	ms := n.servingMembers()
	if ws != "" {
		ms = topRanked(ms, ws, n.nodesForWorkspace(ws, len(ms)))
	}
	n.sortByProximity(ms, ws)
	out := make([]entry.Address, 0, min(maxEntries, len(ms)))
	for _, m := range ms[:min(maxEntries, len(ms))] {
		out = append(out, entry.Address{Addr: m.CallerAddr, DataCentre: m.DataCentre})
	}
	return out
}

// nodesForWorkspace returns how many of the nodes a workspace is assigned: at least
// two, and otherwise in proportion to its share of the sum of all rates. An unknown
// workspace gets all nodes.
func (n *Node) nodesForWorkspace(ws string, nodes int) int {
	v := n.config.Current()
	w, ok := v.Workspace(ws)
	if !ok {
		return nodes
	}
	return max(minNodesPerWorkspace, int(math.Ceil(nodesPerRateShare*v.RateShare(w)*float64(nodes))))
}

// topRanked returns the k members with the highest rendezvous scores for a key.
func topRanked(ms []member.Member, key string, k int) []member.Member {
	out := slices.Clone(ms)
	slices.SortFunc(out, func(a, b member.Member) int {
		return cmp.Compare(rendezvousScore(b.Name, key), rendezvousScore(a.Name, key))
	})
	return out[:min(k, len(out))]
}

// rendezvousScore returns the rendezvous-hashing score of a node for a key.
func rendezvousScore(node, key string) uint64 { return xxhash.Sum64String(node + "\x00" + key) }

// sortByProximity sorts the members of this data centre first. Within each group
// the order depends on the node that answers, so that callers spread over all
// members.
func (n *Node) sortByProximity(ms []member.Member, ws string) {
	dc, salt := n.settings.Node.DataCentre, n.settings.Node.Name+ws
	slices.SortFunc(ms, func(a, b member.Member) int {
		if (a.DataCentre == dc) != (b.DataCentre == dc) {
			if a.DataCentre == dc {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousScore(a.Name, salt), rendezvousScore(b.Name, salt))
	})
}
