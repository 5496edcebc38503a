package node

import (
	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/member"
)

// floorPart is the part of each budget that is spread over the nodes that serve
// the workspace, whether they have demand or not.
const floorPart = 0.4

// floorKey names what the floors depend on.
type floorKey struct {
	revision uint64
	members  uint64
}

// floors returns the shares that this node holds also without demand. They are
// computed anew only when the configuration or the members change.
func (n *Node) floors() map[string]float64 {
	ms, v := n.serving(), n.conf.Current()
	key := floorKey{revision: v.Revision, members: namesHash(ms)}
	n.mu.Lock()
	defer n.mu.Unlock()
	if key == n.floorKey {
		return n.floor
	}
	floors := make(map[string]float64)
	if !n.entry.Draining() {
		for _, w := range v.Fleet.Workspaces {
			k := min(len(ms), n.suited(w.Name, len(ms)))
			for _, m := range choose(ms, w.Name, k) {
				if m.Name == n.set.Node.Name {
					floors[w.Name] = floorPart / float64(k)
				}
			}
		}
	}
	n.floorKey, n.floor = key, floors
	return floors
}

// Floor returns the share of a workspace's budget that the node should hold also
// without demand.
func (n *Node) Floor(ws string) float64 { return n.floors()[ws] }

// Share returns the share of a workspace's budget that the node holds.
func (n *Node) Share(ws string) float64 {
	share, _ := n.shares.Held(ws)
	return share
}

// namesHash hashes the names of the members, in any order.
func namesHash(ms []member.Member) uint64 {
	h := uint64(len(ms))
	for _, m := range ms {
		h += xxhash.Sum64String(m.Name)
	}
	return h
}
