// Package bench starts stand-ins and nodes in one process and drives recorded
// traffic through them.
//
// Everything talks over real sockets on the loopback address. The package serves
// the demo, the experiments and the tests that need a whole fleet.
//
// # Usage
//
//	f, err := bench.Start(ctx, bench.WithNodes(3), bench.WithEngines(6))
//	defer f.Close()
//	err = f.Apply(ctx, bench.DefaultFleet("w1", "w2"))
//	rep := bench.Drive(ctx, f, reqs)
package bench
