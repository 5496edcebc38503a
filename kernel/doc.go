// Package kernel starts and stops the services of a process.
//
// A service has a name, the names of the services it needs, and a Run method
// that owns the service's sockets and state. The kernel starts services in
// dependency order and stops them in reverse. Services find each other by name
// through [Lookup].
//
// # Usage
//
//	k := kernel.New()
//	k.Add("store", st)
//	k.Add("config", cf, "store")
//	if err := k.Start(ctx); err != nil {
//		return err
//	}
//	defer k.Stop(stopCtx)
//	cf, err := kernel.Lookup[*config.Service](k, "config")
//
// # Mailboxes
//
// A [Mailbox] is the bounded queue through which other services talk to a
// service. A full mailbox makes Send fail rather than wait, so that one slow
// service cannot stall the others.
package kernel
