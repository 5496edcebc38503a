// Package clock holds pauses that end with a context.
//
// # Usage
//
//	for clock.Sleep(ctx, clock.Jitter(time.Second)) { poll() }
package clock
