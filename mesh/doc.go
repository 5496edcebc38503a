// Package mesh carries short messages between the nodes of a site: a datagram
// several times a second with what the store can't carry (load, quota use, engines
// that load weights, suspicions), and snapshots of the store's objects for a node
// that the store does not serve.
//
// # Usage
//
//	m := mesh.New(self, mesh.Deps{Compose: compose, Receive: hear, Export: export, Import: imp})
//	m.SetPeers(records)
//	m.Notify() // sends the next message at once
package mesh
