// Package fake holds what the simulated external systems share: an HTTP server,
// fault schedules and an HTTP endpoint that reads and sets the injected faults.
//
// The simulators are in the packages below: fake/plat is the platform, fake/engine a
// model engine and fake/plain a plain service. They implement the published protocols
// and are meant for tests, demos and measurements on one machine.
//
// # Usage
//
//	p := plat.New(plat.WithSeed(1))
//	srv := httptest.NewServer(p)
//	p.SetFaults(plat.Faults{Down: true})
package fake
