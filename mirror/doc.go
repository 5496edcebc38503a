// Package mirror keeps a node's copy of the objects that it follows in the
// platform's store: the configuration, the upstreams, the named weights and the
// other nodes.
//
// [State] is the copy itself. It is a state machine without input and output:
// objects come from lists, watches and the snapshots of other nodes, and never go
// back to an older version. [Service] follows the store.
//
// # Usage
//
//	st := mirror.NewState(decoder)
//	svc := mirror.NewService(store, st, mirror.WithChangeFunc(func(v *mirror.View) { … }))
//	view := svc.View()
//
// # Outages
//
// Entries of upstreams lapse while the store is away, and come back with it. A
// removal that is seen within [RecoveryGrace] of the store's return takes effect
// only if the entry is still missing at its end. An upstream that said that it
// leaves is believed at once.
package mirror
