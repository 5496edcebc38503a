package node

import (
	"fmt"
	"time"

	"mustardvane.org/vane/member"
	"mustardvane.org/vane/peer"
	"mustardvane.org/vane/wire"
)

// staleConfigGrace is how long a node that has heard of a newer configuration keeps
// accepting keys while it fetches that configuration.
const staleConfigGrace = 1500 * time.Millisecond

// keysConfirmed reports whether the node's configuration is recent enough to accept
// keys, since a withdrawn key must not be accepted for long; if not, it returns the
// reason. The configuration is recent enough if the platform confirmed, within the
// setting callers.key_freshness, that there is no newer revision. A confirmation
// that another node received counts as well once gossip has delivered it. While the
// platform answers no node, it is sufficient that a majority of the known members is
// reachable.
func (n *Node) keysConfirmed() (bool, string) {
	v, now := n.peers.View(), time.Now()
	if n.config.Current().Revision < v.Info.Revision && now.Sub(n.newerConfigKnownSince()) > staleConfigGrace {
		return false, fmt.Sprintf("other nodes have configuration revision %d, this node has not received it", v.Info.Revision)
	}
	if !v.Info.ConfirmedAt.IsZero() && now.Sub(v.Info.ConfirmedAt) <= n.settings.Callers.KeyFreshness {
		return true, ""
	}
	if reachable, known := countReachable(v, now, n.settings.Callers.KeyFreshness); 2*reachable <= known {
		return false, fmt.Sprintf("the platform does not answer and only %d of %d members are reachable", reachable, known)
	}
	return true, ""
}

// countReachable returns the number of reachable members (those alive or leaving)
// and the number of known members that have not left. Both include the node itself.
// If the node received no message from any member within limit, only the node itself
// counts as reachable, since the statuses of the others are then out of date.
func countReachable(v *peer.View, now time.Time, limit time.Duration) (reachable, known int) {
	heardDirectly := false
	reachable, known = 1, 1
	for _, m := range v.Members {
		if m.Status == wire.Status_STATUS_LEFT {
			continue
		}
		known++
		if m.Status == wire.Status_STATUS_ALIVE || m.Status == wire.Status_STATUS_LEAVING {
			reachable++
		}
		heardDirectly = heardDirectly || now.Sub(m.LastHeard) <= limit
	}
	if !heardDirectly {
		reachable = 1
	}
	return reachable, known
}

// newerConfigKnownSince returns when the node first heard of a configuration newer
// than its own, or zero if it knows of none.
func (n *Node) newerConfigKnownSince() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newerConfigSince
}

// servingMembers returns the members that accept callers, including this node
// unless it is leaving.
func (n *Node) servingMembers() []member.Member {
	v := n.peers.View()
	var out []member.Member
	if !n.entry.Draining() {
		self := v.Self
		self.Status = wire.Status_STATUS_ALIVE
		out = append(out, self)
	}
	for _, m := range v.Members {
		if m.Serving() && m.CallerAddr != "" {
			out = append(out, m)
		}
	}
	return out
}
