package mesh

import (
	"slices"
	"time"
)

// Limits of the comparison of wall clocks.
const (
	minWallClocks     = 3                      // fewer clocks can't show which of them is wrong
	wallTolerance     = 2 * time.Second        // difference from the other nodes' clocks up to which the own clock is used
	wallCheckInterval = 250 * time.Millisecond // between two comparisons, which look at all nodes
	wallSettleTime    = 3 * time.Second        // time after the start after which the own clock is used if too few nodes have told theirs
)

// wallClocks caches the result of a comparison.
type wallClocks struct {
	at        time.Time // time of the comparison; zero if there was none
	offset    time.Duration
	wrong     bool // the own wall clock differs from that of most nodes
	confirmed bool
}

// WallOffset returns the wall time minus the reading of [clock.BootTime]. The own wall clock
// counts if it differs little from that of most nodes, else the median of all nodes does. It is
// confirmed once half of the other nodes have told their wall time, or a few seconds after the
// start. The wall clock of a host may be set at any time, and times that nodes write for each
// other to the store would then be wrong by as much.
func (m *Mesh) WallOffset() (offset time.Duration, confirmed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	c := &m.wall
	if !c.at.IsZero() && now.Sub(c.at) < wallCheckInterval {
		return c.offset, c.confirmed
	}
	offsets := []time.Duration{m.ownOffset()}
	for _, p := range m.peers {
		if p.hasWall && m.alive(p, now) {
			offsets = append(offsets, p.wallOffset)
		}
	}
	told := 2*(len(offsets)-1) >= max(1, len(m.peers))
	own, agreed := offsets[0], agreedOffset(offsets, MaxTransit(len(m.peers)))
	if wrong := agreed != own; wrong != c.wrong {
		m.Log.Warn("wall clock compared with that of the other nodes", "wrong", wrong, "ahead_ms", (own - agreed).Milliseconds(), "nodes", len(offsets)-1)
	}
	*c = wallClocks{now, agreed, agreed != own, told || now.Sub(m.startedAt) > wallSettleTime}
	return c.offset, c.confirmed
}

// agreedOffset returns the first offset, which is that of the own clock, or the median of all if
// that differs by more than the tolerance. Offsets of other nodes are too low by the time that
// their messages waited, which is at most transit.
func agreedOffset(offsets []time.Duration, transit time.Duration) time.Duration {
	own := offsets[0]
	if len(offsets) < minWallClocks {
		return own
	}
	sorted := slices.Sorted(slices.Values(offsets))
	// Of the two middle ones of an even number, the one nearer to the own counts.
	low, high := sorted[(len(sorted)-1)/2], sorted[len(sorted)/2]
	median := low
	if (high - own).Abs() < (low - own).Abs() {
		median = high
	}
	if (median - own).Abs() <= wallTolerance+transit {
		return own
	}
	return median
}
