// Package bench runs router nodes together with simulated upstreams and a simulated
// platform in one process, and sends generated or recorded traffic through them.
//
// All parts communicate over TCP on the loopback address. The package is used by the
// demo, the experiments and the tests that need a complete fleet.
//
// # Usage
//
//	f, err := bench.Start(ctx, bench.WithNodes(3), bench.WithEngines(6))
//	defer f.Close()
//	err = f.Apply(ctx, bench.DefaultFleet("w1", "w2"))
//	rep := f.Drive(ctx, reqs, nil)
package bench
