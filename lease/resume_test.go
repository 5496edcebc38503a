package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/lease"
)

// A holder that stood still for longer than the lease finds its own last write in the
// store. It has to write again: all others wait for it while it counts as alive, and no
// order would ever be sent.
func TestHolderThatStoodStillAcquiresAgain(t *testing.T) {
	for _, tt := range []struct {
		name   string
		lost   bool // the answer to the last write before the pause is lost
		paused time.Duration
	}{
		{"last write confirmed", false, 20 * time.Second},
		{"answer to the last write lost", true, 20 * time.Second},
		{"answer lost, pause within the lease", true, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, o, now := lease.NewMachine("a", times(), lease.WithBoot("1")), object{}, epoch
			writes := 0
			// step ticks the machine and answers its call, until the deadline.
			step := func(until time.Time) {
				for ; now.Before(until); now = now.Add(100 * time.Millisecond) {
					if a := m.Tick(now, true); a.Kind != lease.ActNone {
						r := o.apply(a)
						if a.Kind == lease.ActWrite {
							if writes++; tt.lost && writes == 3 {
								r = lost
								m.Done(now, a, r)
								return
							}
						}
						m.Done(now, a, r)
					}
				}
			}
			step(epoch.Add(5 * time.Second))
			before := o.version
			now = now.Add(tt.paused)
			step(now.Add(2 * times().Renew))
			_, holds := m.Holds(now)
			is.True(holds)
			is.True(o.version > before)
		})
	}
}
