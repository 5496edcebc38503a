// Package mirror keeps a node's copy of the objects that it follows in the platform's
// store: the configuration, the upstreams, the target weights of each model, and the
// records of the other nodes.
//
// [State] is the copy itself. It is a state machine that does no input or output.
// Objects come from lists, watches and snapshots of other nodes, and never revert to an
// older version. [Service] follows the store and updates a State.
//
// # Usage
//
//	svc := mirror.NewService(store, decoder, mirror.WithChangeFunc(func(old, v *mirror.View) { … }))
//	err := svc.Run(ctx, ready) // in its own goroutine
//	view := svc.View()
//
// # Outages
//
// Entries of upstreams expire while the store is down, and reappear after the outage. A
// removal seen during an outage, or within [RecoveryGrace] after its end, takes effect
// only if the entry is still missing when the grace period ends. An upstream that has
// announced its leaving is removed at once.
package mirror
