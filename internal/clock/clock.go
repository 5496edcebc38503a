package clock

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep pauses for d and returns true, or returns false as soon as ctx ends. If d is not
// positive, it returns at once, with false if ctx has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SleepUntil pauses until the time at and returns true, or returns false as soon as ctx
// ends.
func SleepUntil(ctx context.Context, at time.Time) bool { return Sleep(ctx, time.Until(at)) }

// Jitter returns a random duration between 0.9 d and 1.1 d, so that periodic tasks with
// the same period do not synchronise. d must not be negative.
func Jitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }

// BootTime returns a reading of the system's CLOCK_BOOTTIME, which is never set and
// continues while the machine is suspended. Readings may only be compared with each
// other on the same machine until it restarts. Where there is no such clock, it returns
// the wall time.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // systems without CLOCK_BOOTTIME are assumed never to be suspended
	}
	return time.Unix(ts.Unix())
}

// WallOffset returns the wall time minus the reading of [BootTime]. It changes whenever
// the wall clock is set.
func WallOffset() time.Duration { return time.Since(BootTime()) }
