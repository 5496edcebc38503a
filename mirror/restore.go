package mirror

import (
	"time"

	vane "mustardvane.org/vane"
)

// restored keeps track of the lists that show that the store has come back from a copy.
type restored struct {
	restores map[string]uint64    // number of restores at the last list, by prefix
	graceEnd map[string]time.Time // end of the grace period after the last restore, by prefix
}

// newRestored returns a restored without lists.
func newRestored() restored {
	return restored{restores: make(map[string]uint64), graceEnd: make(map[string]time.Time)}
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
