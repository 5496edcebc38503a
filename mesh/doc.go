// Package mesh carries short messages between the nodes of a site (load, quota use,
// engines that load weights, suspicions), which the store is too slow for, and
// snapshots of the store's objects for a node that the store does not serve.
//
// # Usage
//
//	m := mesh.New(self, mesh.Deps{Compose: compose, Receive: receive, Marks: marks, Export: export, Import: imp})
//	m.SetPeers(records)
//	m.Notify() // sends the next message at once
//
// # Small and large sites
//
// In a small site each node sends its message to all others, four times a second.
//
// In a large one that would fill the links: 81 nodes sent 12 MB a second. There a node
// sends its message to one relay of its data centre. Relays are the nodes with the
// widest links; they gather messages for a short time, send them to the nodes of their
// data centre, and to one relay in each other data centre, which passes them on at
// once. A message thus crosses to each other data centre once. An urgent message goes
// through all relays of the data centre without being gathered.
//
// Any node relays when it is asked to, so that nodes need not agree on who the relays
// are. A relay that passes nothing on for some time is replaced by the next one.
//
// # Snapshots
//
// In a large site a few nodes follow the store promptly. A message holds the newest
// versions that its sender knows; a node that is behind fetches what it does not know
// from the sender, over TCP.
package mesh
