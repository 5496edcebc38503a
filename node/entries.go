package node

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/entry"
	"mustardvane.org/vane/member"
)

// Bounds of the list of entry addresses.
const (
	maxEntries  = 16
	minPerSpace = 2   // nodes that a workspace is given at least
	spread      = 2.0 // nodes for each node's worth of a workspace's rate
)

// entries returns the addresses that callers may use: those of this data centre
// first. With a workspace it returns the few nodes that suit it, the same from
// every node, so that its traffic meets few nodes.
func (n *Node) entries(ws string) []entry.Address {
	ms := n.serving()
	if ws != "" {
		ms = choose(ms, ws, n.suited(ws, len(ms)))
	}
	n.sortNear(ms, ws)
	out := make([]entry.Address, 0, min(maxEntries, len(ms)))
	for _, m := range ms[:min(maxEntries, len(ms))] {
		out = append(out, entry.Address{Addr: m.Callers, DataCentre: m.DataCentre})
	}
	return out
}

// suited returns how many nodes a workspace is given, by its part of all rates.
func (n *Node) suited(ws string, nodes int) int {
	v := n.conf.Current()
	w, ok := v.Workspace(ws)
	if !ok {
		return nodes
	}
	return max(minPerSpace, int(math.Ceil(spread*v.RateShare(w)*float64(nodes))))
}

// choose returns the k members that rank highest for the workspace.
func choose(ms []member.Member, ws string, k int) []member.Member {
	out := slices.Clone(ms)
	slices.SortFunc(out, func(a, b member.Member) int { return cmp.Compare(rank(b.Name, ws), rank(a.Name, ws)) })
	return out[:min(k, len(out))]
}

// rank is the rendezvous score of a node for a key.
func rank(node, key string) uint64 { return xxhash.Sum64String(node + "\x00" + key) }

// sortNear puts the members of this data centre first, and each group into an
// order that differs from node to node, so that callers spread.
func (n *Node) sortNear(ms []member.Member, ws string) {
	dc, salt := n.set.Node.DataCentre, n.set.Node.Name+ws
	slices.SortFunc(ms, func(a, b member.Member) int {
		if (a.DataCentre == dc) != (b.DataCentre == dc) {
			if a.DataCentre == dc {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(a.Name, salt), rank(b.Name, salt))
	})
}
