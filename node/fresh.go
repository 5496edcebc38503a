package node

import (
	"fmt"
	"time"

	"mustardvane.org/vane/member"
	"mustardvane.org/vane/peer"
	"mustardvane.org/vane/wire"
)

// behindGrace is how long a node may know of a newer configuration without
// having it before it stops accepting keys.
const behindGrace = 1500 * time.Millisecond

// fresh says whether the node has recent enough word of withdrawn keys. It has,
// if the platform confirmed lately, to this node or to one that it hears of, that
// there is no newer configuration; or, while the platform answers nobody, if the
// node hears most of the members that it knows.
func (n *Node) fresh() (bool, string) {
	v, now := n.peers.View(), time.Now()
	if n.conf.Current().Revision < v.Info.Revision && now.Sub(n.behind()) > behindGrace {
		return false, fmt.Sprintf("revision %d of the configuration is in force elsewhere and not here", v.Info.Revision)
	}
	if !v.Info.ConfirmedAt.IsZero() && now.Sub(v.Info.ConfirmedAt) <= n.set.Callers.KeyFreshness {
		return true, ""
	}
	if heard, known := majority(v, now, n.set.Callers.KeyFreshness); 2*heard <= known {
		return false, fmt.Sprintf("the platform does not answer and only %d of %d members are heard", heard, known)
	}
	return true, ""
}

// majority returns the members that are heard, the node itself included, and the
// members that are known. A node that hears nobody counts only itself, whatever
// it last heard of the others.
func majority(v *peer.View, now time.Time, limit time.Duration) (heard, known int) {
	direct := false
	heard, known = 1, 1
	for _, m := range v.Members {
		if m.Status == wire.Status_STATUS_LEFT {
			continue
		}
		known++
		if m.Status == wire.Status_STATUS_ALIVE || m.Status == wire.Status_STATUS_LEAVING {
			heard++
		}
		direct = direct || now.Sub(m.Heard) <= limit
	}
	if !direct {
		heard = 1
	}
	return heard, known
}

// behind returns since when the node has known of a newer configuration.
func (n *Node) behind() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.behindSince
}

// serving returns the members that callers may be sent to, this node included
// unless it is leaving.
func (n *Node) serving() []member.Member {
	v := n.peers.View()
	var out []member.Member
	if !n.entry.Draining() {
		self := v.Self
		self.Status = wire.Status_STATUS_ALIVE
		out = append(out, self)
	}
	for _, m := range v.Members {
		if m.Serving() && m.Callers != "" {
			out = append(out, m)
		}
	}
	return out
}
