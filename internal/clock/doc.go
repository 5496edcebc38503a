// Package clock provides pauses that end with a context, jitter for periodic tasks, and a
// clock that is not affected by suspends of the machine.
//
// # Usage
//
//	for clock.Sleep(ctx, clock.Jitter(time.Second)) { poll() }
package clock
