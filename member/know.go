package member

import (
	"time"

	"mustardvane.org/vane/wire"
)

// Info is what a node has learnt from the platform and from gossip besides the list
// of members: the highest configuration revision that any node has seen, when the
// platform last confirmed to any node that there is no higher one, and the node's
// own pauses.
type Info struct {
	Revision       uint64                     // highest configuration revision known; 0 if none is
	RevisionSource string                     // peer address of a node that has the revision; empty if it came from the platform
	ConfirmedAt    time.Time                  // latest confirmation by the platform; zero if there is none
	Pauses         int                        // number of times that this process was not run for several periods
	LastPause      time.Duration              // duration of the latest pause; zero if there was none
	clock          func(remote uint64) uint64 // see State.SetClock; nil if not set
}

// Info returns what the node has learnt so far.
func (s *State) Info() Info { return s.info }

// ConfirmRevision records that the platform confirmed, at the given time, that rev
// is the newest revision.
func (s *State) ConfirmRevision(rev uint64, at time.Time) {
	if rev > s.info.Revision {
		s.info.Revision, s.info.RevisionSource = rev, ""
	}
	if at.After(s.info.ConfirmedAt) {
		s.info.ConfirmedAt = at
	}
}

// SetClock sets the hybrid logical clock whose reading is sent in messages. f
// merges the reading of another node, or zero for none, and returns the local
// reading.
func (s *State) SetClock(f func(remote uint64) uint64) { s.info.clock = f }

// update merges the information in a received message.
func (i *Info) update(now time.Time, g *wire.Gossip, from Member) {
	if g.GetRevision() > i.Revision {
		i.Revision, i.RevisionSource = g.GetRevision(), from.Addr
	}
	if ms := g.GetFreshMs(); ms > 0 {
		at := now.Add(-time.Duration(ms-1) * time.Millisecond)
		if at.After(i.ConfirmedAt) {
			i.ConfirmedAt = at
		}
	}
	if i.clock != nil {
		i.clock(g.GetClock())
	}
}

// fill copies the information into a message to be sent.
func (i *Info) fill(now time.Time, g *wire.Gossip) {
	g.Revision = i.Revision
	g.FreshMs = confirmationAge(now, i.ConfirmedAt)
	if i.clock != nil {
		g.Clock = i.clock(0)
	}
}

// confirmationAge returns the age of a confirmation in milliseconds, rounded up,
// plus 1. It returns 0 if there is no confirmation or it is too old to encode.
func confirmationAge(now, confirmedAt time.Time) uint32 {
	const maxAgeMs = 1 << 31
	if confirmedAt.IsZero() {
		return 0
	}
	ms := now.Sub(confirmedAt).Milliseconds() + 2
	if ms > maxAgeMs {
		return 0
	}
	return uint32(max(1, ms))
}
