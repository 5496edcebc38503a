// Package edge assembles a node for routed traffic: it follows the platform's
// store, talks to the other nodes, loads weights into engines, and serves callers
// and their directory. All decisions are made in the packages that it connects.
//
// # Usage
//
//	set := edge.DefaultSettings()
//	set.Node, set.Callers, set.Store = "node-1", "10.0.0.7:8080", "10.0.0.5:7000"
//	n, err := edge.New(set, edge.Adapter{Protocol: p, Decoder: d, Dialect: h, Control: c, Directory: dir}, log)
//	err = n.Run(ctx) // until ctx ends; then callers are sent elsewhere before it returns
package edge
