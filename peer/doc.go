// Package peer implements the communication between nodes.
//
// [Service] owns a node's UDP and TCP sockets for other nodes and drives its
// [member.State]. Datagrams are authenticated with the shared secret. Calls use
// gRPC, authenticated with the same secret, and mutual TLS if it is configured.
//
// # Usage
//
//	p := peer.New(state, "10.0.0.7:8082", secret, time.Second)
//	p.SetHandlers(peer.Handlers{Snapshot: snapshot, Exchange: exchange})
//	go p.Run(ctx, func() {})
//	for _, m := range p.View().Members { … }
//	reply, err := p.Exchange(ctx, m.Addr, req)
package peer
