// Package hosts keeps the set of upstreams that a node may use.
//
// It polls the platform's list, which lags behind the upstreams, and overrides it
// with what the upstreams announce themselves: one that reports in a response or in
// its load report that it is draining gets no new requests, whatever the list says.
// While the platform is unreachable, the last list stays in use.
//
// # Usage
//
//	d := hosts.New(st, placer, rec)
//	go d.Run(ctx, func() {})
//	ups := d.Service("booking")
package hosts
