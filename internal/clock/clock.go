package clock

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep waits for d. It returns false if ctx ends first, or has ended already.
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

// SleepUntil waits until the time at. It returns false if ctx ends first.
func SleepUntil(ctx context.Context, at time.Time) bool { return Sleep(ctx, time.Until(at)) }

// Jitter returns a duration within a tenth of d, so that tasks do not act in step.
func Jitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }

// BootTime returns the current time on a clock that goes on while the machine is
// suspended and is never set. Its readings are comparable with each other only.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // systems without the clock are not suspended
	}
	return time.Unix(ts.Unix())
}
