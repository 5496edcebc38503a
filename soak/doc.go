// Package soak runs nodes as separate processes under random faults, and checks what
// callers and upstreams observe.
//
// Faults are injected from outside the processes: proxies on the loopback interface
// delay, drop, reset or refuse connections to the store and to upstreams; signals stop,
// pause and kill nodes, which are then restarted; the store refuses requests, is slow,
// loses responses or comes back from a copy; upstreams respond without a length, break off or do not end; the
// configuration and the target weights change. Faults overlap. Meanwhile, crowds of misbehaving
// callers (package abuse) send more to one node after the other than its memory holds.
//
// # Usage
//
//	res, err := soak.Run(ctx, soak.Options{Binary: "bin/vaned", Seed: 7, Length: 10 * time.Second})
//	for _, v := range res.Violations { … }
//
// A seed determines the sequence of faults; the interleaving of the processes, and with
// it the outcome, differs between runs.
//
// # Checks
//
//   - A request on an unsafe route runs at most once, and not at all if the status of its
//     response promises so.
//   - A successful response is complete and belongs to its request. One that states no end
//     may stop early only if its upstream's did.
//   - A stream has each event once and in order, or ends with an error.
//   - No upstream receives a caller's key, or a workspace other than the caller's.
//   - The last configuration comes into force on all nodes after the last fault.
//   - A node that is stopped as planned (SIGTERM) ends with exit code 0 within 20 s.
//
// RunStops injects planned work only: stops in series that overlap, reloads and
// configurations. Its callers go on using their connections, and none of their requests may
// be lost. With Options.Crashes, upstreams also crash and come back at their addresses (some
// go on accepting connections meanwhile), nodes are killed and paused, and upstreams reset
// responses, some before they have read the request. Requests that were in flight at a node
// that was killed or paused, or that their upstream broke off, may be lost then, but must not
// look complete.
//
// RunCold turns upstreams cold and evacuates a data centre. A cold upstream must begin no more
// requests in a second than allowed, and an upstream of an evacuated data centre none from the limit on.
// Seconds in which the upstreams themselves stood still are not judged.
package soak
