// Package node assembles the services of one router process.
//
// A node registers its services with a kernel, which starts them in dependency
// order. A planned stop first takes the node out of the answers of
// GET /v1/entries, serves until those answers have run out and the requests in
// flight have ended, and then stops the services in reverse.
//
// # Usage
//
//	n, err := node.New(settings)
//	if err := n.Start(ctx); err != nil { … }
//	<-stop
//	err = n.Drain(ctx)
//
// Embedders that want single parts build them from their own packages.
package node
