// Package kernel starts and stops the services of a process.
//
// A service has a name, the names of the services that it depends on, and a Run
// method that owns the service's sockets and state. The kernel starts services in
// dependency order and stops them in reverse order. [Lookup] returns a service by
// its name.
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
// A [Mailbox] is the bounded queue through which other services send messages to a
// service. If it is full, Send fails instead of blocking, so that one slow service
// cannot stall the others.
package kernel
