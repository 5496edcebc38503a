// Package peer lets the nodes talk to each other.
//
// [Service] is the task that owns a node's UDP and TCP sockets for other nodes
// and drives its [member.State]. Datagrams are authenticated with the shared
// secret; calls are carried by gRPC, with mutual TLS where it is configured.
//
// # Usage
//
//	p := peer.New(self, "10.0.0.7:8082", secret, peer.WithSeeds(seeds))
//	p.Handle(exchange, recall, snapshot)
//	go p.Run(ctx, func() {})
//	for _, m := range p.Members() { … }
//	reply, err := p.Exchange(ctx, m.Addr, req)
package peer
