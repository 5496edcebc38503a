// Package edge assembles a node that routes traffic of callers to upstreams. The node
// follows the platform's store, exchanges messages with the other nodes, orders engines
// to load weights, serves callers, and runs the directory that tells callers which nodes
// to use. The decisions are made in the packages that it connects.
//
// # Usage
//
//	set := edge.DefaultSettings()
//	set.Node, set.CallerAddr, set.StoreAddr = "node-1", "10.0.0.7:8080", "10.0.0.5:7000" // and so on
//	n, err := edge.New(set, edge.Adapter{Protocol: p, Decoder: d, Dialect: h, Control: c, Directory: dir, Rollouts: e}, log)
//	err = n.Run(ctx) // when ctx ends, sends callers to other nodes before it returns
package edge
