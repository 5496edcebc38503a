// Package mesh exchanges short messages between the nodes of a site. They carry what is
// too short-lived for the store: load, quota use, engines that load weights, and failed
// upstreams. It also transfers snapshots of the store's objects to nodes that are behind
// the store.
//
// # Usage
//
//	m := mesh.New(self, mesh.Deps{Compose: compose, Receive: receive, Versions: versions, Export: export, Import: imp, Log: log})
//	m.SetPeers(records)
//	err := m.Run(ctx, ready) // in its own goroutine
//	m.SendNow()              // sends the next message at once
//
// # Small and large sites
//
// In a small site each node sends its message to all others, four times a second.
//
// In a large site that would saturate the links: 81 nodes sent 12 MB a second in this
// way. A node of a large site sends its message to one relay in its data centre. Relays
// are the nodes with the widest links. They gather messages for a short time and send
// them to the nodes of their data centre and to one relay in each other data centre,
// which passes them on at once. Each message is thus sent once to each other data
// centre. An urgent message is sent through all relays of the data centre, which do not
// gather it but pass it on at once.
//
// Any node relays the messages that it is asked to relay, so nodes need not agree on
// which nodes are relays. A sender whose relay has passed nothing on for some time uses
// the next relay instead.
//
// # Snapshots
//
// In a large site only a few nodes watch the store without delay. Each message contains
// the newest versions that its sender knows. A node that is behind fetches the objects
// that it lacks from the sender, over TCP.
package mesh
