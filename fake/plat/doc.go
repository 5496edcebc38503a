// Package plat simulates the platform's object API.
//
// It keeps versioned objects in memory, accepts conditional writes, serves watches and
// a list of upstreams that may be out of date, as docs/PLATFORM.md describes. It can
// inject outages, delays, lost responses, stale reads and rate limits.
//
// # Usage
//
//	p := plat.New()
//	srv, err := fake.Listen("127.0.0.1:0", p)
//	p.SetHosts(ups)
//	p.SetFaults(plat.Faults{LoseResponses: 0.5})
package plat
