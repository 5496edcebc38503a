package mirror

import (
	"time"

	vane "mustardvane.org/vane"
)

// coldRounding is the unit to which ends of cold times are rounded up.
const coldRounding = 100 * time.Millisecond

// withColdTimes returns an upstream's entry with the times that concern its cold start. old
// is the previous entry, and known whether there was one. An entry is read some time after
// it was written, so that the end of the cold time is rather too late than too early.
func (s *State) withColdTimes(now time.Time, key string, u, old vane.Upstream, known bool) vane.Upstream {
	if u.ColdLeft > 0 {
		u.ColdUntil = now.Add(u.ColdLeft + coldRounding - 1).Truncate(coldRounding)
	}
	if !known {
		// An entry that lapsed in an outage and is written again is not that of a new start.
		g, ok := s.restored.gone[key]
		old, known = vane.Upstream{Incarnation: g.incarnation}, ok
	}
	switch {
	case known && old.Incarnation == u.Incarnation:
		if u.ColdLeft > 0 {
			u.StartSeen = old.StartSeen
		}
	case s.listsUpstreams:
		u.StartSeen = now
	}
	u.ColdLeft = 0
	return u
}

// completeAt keeps track of the times until which all changes are known, by prefix.
type completeAt map[string]time.Time

// CompleteAsOf returns the time until which all changes of the objects under the prefix are
// known, or zero if they were never listed. It is the time at which the last call that
// succeeded was begun, on [clock.BootTime]. Relaxed watches may return changes some seconds
// late, which the caller has to take into account.
func (s *Service) CompleteAsOf(prefix string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete[prefix]
}

// recordComplete records that a call for the prefix that was begun at the given time has
// succeeded, and that its changes were applied.
func (s *Service) recordComplete(prefix string, begun time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if begun.After(s.complete[prefix]) {
		s.complete[prefix] = begun
	}
}
