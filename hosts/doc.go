// Package hosts keeps the set of upstreams that a node may use.
//
// It polls the platform's list, which lags, and corrects it by what is known
// sooner: an upstream that announces on its answers or in its load report that
// it is draining gets no new work, whatever the list says. If the platform is
// down, the last list stays in use.
//
// # Usage
//
//	d := hosts.New(st, placer, rec)
//	go d.Run(ctx, func() {})
//	ups := d.Service("booking")
package hosts
