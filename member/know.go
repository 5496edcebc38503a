package member

import (
	"time"

	"mustardvane.org/vane/wire"
)

// Info is what a node knows of the platform through itself and others: the
// highest revision of the configuration that anyone has seen, and when the
// platform last confirmed to anyone that there is no higher one.
type Info struct {
	Revision       uint64
	RevisionSource string    // peer address of a node that knows the revision
	ConfirmedAt    time.Time // newest word of the platform, or zero
	Pauses         int       // pauses of this node
	LastPause      time.Duration
	clock          func(remote uint64) uint64
}

// Info returns what the node knows.
func (s *State) Info() Info { return s.know }

// ConfirmRevision notes that the platform confirmed the revision at the given time.
func (s *State) ConfirmRevision(rev uint64, at time.Time) {
	if rev > s.know.Revision {
		s.know.Revision, s.know.RevisionSource = rev, ""
	}
	if at.After(s.know.ConfirmedAt) {
		s.know.ConfirmedAt = at
	}
}

// SetClock sets the hybrid logical clock that messages carry: f takes the reading
// of another node, or zero, and returns the own reading.
func (s *State) SetClock(f func(remote uint64) uint64) { s.know.clock = f }

// learn takes what a message says.
func (k *Info) learn(now time.Time, g *wire.Gossip, from Member) {
	if g.GetRevision() > k.Revision {
		k.Revision, k.RevisionSource = g.GetRevision(), from.Addr
	}
	if ms := g.GetFreshMs(); ms > 0 {
		at := now.Add(-time.Duration(ms-1) * time.Millisecond)
		if at.After(k.ConfirmedAt) {
			k.ConfirmedAt = at
		}
	}
	if k.clock != nil {
		k.clock(g.GetClock())
	}
}

// tell puts what is known into a message.
func (k *Info) tell(now time.Time, g *wire.Gossip) {
	g.Revision = k.Revision
	g.FreshMs = freshMS(now, k.ConfirmedAt)
	if k.clock != nil {
		g.Clock = k.clock(0)
	}
}

// freshMS returns one more than the age in milliseconds, rounded up, or zero if
// there is no word.
func freshMS(now, fresh time.Time) uint32 {
	const most = 1 << 31
	if fresh.IsZero() {
		return 0
	}
	ms := now.Sub(fresh).Milliseconds() + 2
	if ms > most {
		return 0
	}
	return uint32(max(1, ms))
}
