package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times in the store are differences between wall clocks of two hosts. On a host whose clock was
// set, they were wrong by as much.
func TestAgreedOffset(t *testing.T) {
	const s, far = time.Second, 3600 * time.Second
	for _, tt := range []struct {
		name    string
		offsets []time.Duration // the first is the own one
		transit time.Duration
		want    time.Duration
	}{
		{"alone", []time.Duration{far}, 0, far},
		{"two that differ", []time.Duration{far, 0}, 0, far},
		{"all agree, messages on their way", []time.Duration{0, -s, -2 * s, -s}, 0, 0},
		{"own one ahead", []time.Duration{far, 0, 0}, 0, 0},
		{"own one behind by ten seconds", []time.Duration{-10 * s, 0, 0, 0}, 0, 0},
		{"a third of the others ahead", []time.Duration{0, far, far, 0, 0, 0, 0}, 0, 0},
		{"a third wrong in both directions", []time.Duration{-far, far, 2 * s, 0, 0, 0, 0}, 0, 0},
		{"messages wait at relays", []time.Duration{0, -3 * s, -3 * s, -3 * s}, 2 * s, 0},
		{"an even number without a majority", []time.Duration{0, 0, far, far}, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(agreedOffset(tt.offsets, tt.transit), tt.want)
		})
	}
}

// The own clock is ahead and set back meanwhile, and one of the other nodes tells nothing because
// its build is older.
func TestWallOffset(t *testing.T) {
	is := is.New(t)
	m := newSite(4)
	now, own := time.Now(), 3600*time.Second
	boot := time.Unix(5000, 0)
	m.startedAt, m.now, m.bootTime, m.ownOffset = now, func() time.Time { return now }, func() time.Time { return boot }, func() time.Duration { return own }
	d, confirmed := m.WallOffset()
	is.Equal(d, own)
	is.True(!confirmed)
	for i := range 3 {
		is.True(m.recordSender(now, &Message{Name: fmt.Sprint("n", i+1), Boot: 1, Seq: 1, Extension: Extension{WallMS: boot.UnixMilli()}}))
	}
	is.True(m.recordSender(now, &Message{Name: "n4", Boot: 1, Seq: 1}))
	now = now.Add(wallCheckInterval)
	d, confirmed = m.WallOffset()
	is.Equal(d, time.Duration(0))
	is.True(confirmed)
	now, own = now.Add(wallCheckInterval), time.Second
	d, _ = m.WallOffset()
	is.Equal(d, own)

	alone := newSite(4) // the others do not run, or are of an older build
	alone.startedAt, alone.now, alone.ownOffset = now, func() time.Time { return now.Add(wallSettleTime + 1) }, func() time.Duration { return own }
	d, confirmed = alone.WallOffset()
	is.Equal(d, own)
	is.True(confirmed)
}
