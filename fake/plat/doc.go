// Package plat is a stand-in of the platform's object API.
//
// It keeps versioned objects in memory, takes conditional writes, answers
// watches and gives out a lagging list of upstreams, as docs/PLATFORM.md
// describes. Its faults are outages, slowness, lost answers and rate limits.
//
// # Usage
//
//	p := plat.New()
//	srv, err := fake.Listen("127.0.0.1:0", p)
//	p.SetHosts(ups)
//	p.SetFaults(plat.Faults{LoseAnswers: 0.5})
package plat
