package mirror

import (
	"strings"
	"time"

	vane "mustardvane.org/vane"
)

// RestoredEntryHold is how long after a restore an entry that may come from the copy does
// not count against later knowledge. The store removes the entry of an upstream that is
// gone after three heartbeats of 1.2 s.
const RestoredEntryHold = 5 * time.Second

// restored keeps track of what follows when the store comes back from a copy.
type restored struct {
	restores map[string]uint64     // number of restores at the last list, by prefix
	graceEnd map[string]time.Time  // end of the grace period after the last restore, by prefix
	gone     map[string]gone       // upstreams that were removed, by key
	held     map[string]heldObject // entries of upstreams that are held back, by key
}

// gone is an upstream that was removed.
type gone struct {
	incarnation uint64
	restores    uint64 // number of restores when the removal became known
}

// heldObject is an object that does not count before a time.
type heldObject struct {
	object vane.Object
	until  time.Time
}

// newRestored returns a restored without lists.
func newRestored() restored {
	return restored{
		restores: make(map[string]uint64), graceEnd: make(map[string]time.Time),
		gone: make(map[string]gone), held: make(map[string]heldObject),
	}
}

// recordList records the version of a list of the objects under the prefix. The first one
// after a restore starts a grace period.
func (r *restored) recordList(now time.Time, prefix string, version uint64) {
	n := vane.RestoresOf(version)
	if before, ok := r.restores[prefix]; ok && n > before {
		r.graceEnd[prefix] = now.Add(RecoveryGrace)
	}
	r.restores[prefix] = n
}

// inGrace reports whether objects under the prefix may be missing because the store has
// lost them.
func (r *restored) inGrace(now time.Time, prefix string) bool { return now.Before(r.graceEnd[prefix]) }

// dropMissing drops the entries under the prefix that are held back and not present in a
// list.
func (r *restored) dropMissing(prefix string, present map[string]bool) {
	for k := range r.held {
		if strings.HasPrefix(k, prefix) && !present[k] {
			delete(r.held, k)
		}
	}
}

// recordRemoval records which upstream is gone with the removal of an object.
func (s *State) recordRemoval(old vane.Object) {
	if u, ok := s.upstream(old); ok {
		s.restored.gone[old.Key] = gone{u.Incarnation, s.restored.restores[s.dec.UpstreamPrefix()]}
	}
}

// holdsBack reports whether an object is held back: it shows an upstream in service that
// was known before a restore to be leaving or gone, and may come from the copy. The object
// counts if it is written again, or after [RestoredEntryHold].
func (s *State) holdsBack(now time.Time, o vane.Object) bool {
	if h, ok := s.restored.held[o.Key]; ok {
		if o.Version > h.object.Version {
			delete(s.restored.held, o.Key)
			return false
		}
		return !o.Deleted
	}
	u, ok := s.upstream(o)
	old := s.objects[o.Key]
	if !ok || u.State == vane.UpstreamLeaving {
		return false
	}
	if g, ok := s.leftBefore(old); !ok || g.incarnation != u.Incarnation || vane.RestoresOf(o.Version) <= g.restores {
		return false
	}
	s.restored.held[o.Key] = heldObject{o, now.Add(RestoredEntryHold)}
	return true
}

// leftBefore returns which upstream is leaving or gone by its known entry, and since which
// restore. It returns false for other objects.
func (s *State) leftBefore(known vane.Object) (gone, bool) {
	if known.Deleted {
		g, ok := s.restored.gone[known.Key]
		return g, ok
	}
	u, ok := s.upstream(known)
	return gone{u.Incarnation, vane.RestoresOf(known.Version)}, ok && u.State == vane.UpstreamLeaving
}

// upstream decodes the entry of an upstream. It returns false for other objects.
func (s *State) upstream(o vane.Object) (vane.Upstream, bool) {
	if o.Deleted || !strings.HasPrefix(o.Key, s.dec.UpstreamPrefix()) {
		return vane.Upstream{}, false
	}
	return s.dec.Upstream(o)
}
