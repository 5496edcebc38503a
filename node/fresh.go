package node

import (
	"fmt"
	"time"

	"mustardvane.org/vane/entry"
)

// fresh says whether the node has recent enough word of withdrawn keys.
func (n *Node) fresh() (bool, string) {
	age, heard := n.conf.Confirmed(time.Now())
	if heard && age <= n.set.Callers.KeyFreshness {
		return true, ""
	}
	if !heard {
		return false, "the platform has not answered yet"
	}
	return false, fmt.Sprintf("the platform has not answered for %s", age.Round(time.Second))
}

// entries returns the addresses that callers may use.
func (n *Node) entries(string) []entry.Address {
	if n.entry.Leaving() {
		return []entry.Address{}
	}
	return []entry.Address{{Addr: n.set.Listen.Advertise, DataCentre: n.set.Node.DataCentre}}
}
