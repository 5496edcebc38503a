// Package fake holds what the stand-ins of the outside systems share: fault
// switches, schedules of faults and the control endpoint that sets them.
//
// The stand-ins live below it: fake/plat is the platform, fake/engine a model
// engine and fake/plain a plain service. They speak the published protocols and
// are meant for tests, demos and measurements on one machine.
//
// # Usage
//
//	p := plat.New(plat.WithSeed(1))
//	srv := httptest.NewServer(p)
//	p.SetFaults(plat.Faults{Down: true})
package fake
