// Package node assembles the services of one router process.
//
// A node registers its services with a kernel, which starts them in dependency
// order. A graceful stop first withdraws the node from the answers of
// GET /v1/entries, keeps serving until those answers have expired and the requests
// in flight have completed, and then stops the services in reverse order.
//
// # Usage
//
//	n, err := node.New(settings)
//	if err := n.Start(ctx); err != nil { … }
//	<-stop
//	err = n.Drain(ctx)
//
// Embedders that need only some of the services construct them from their own
// packages.
package node
