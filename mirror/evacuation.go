package mirror

import (
	"strings"
	"time"

	vane "mustardvane.org/vane"
)

// evacuationsLimit is the time after which a node uses a configuration although it could not
// list the evacuations, because the store answers other calls and no node has told it any.
const evacuationsLimit = 3 * time.Second

// EvacuationDecoder decodes evacuations of data centres.
type EvacuationDecoder interface {
	EvacuationPrefix() string
	// Evacuation returns the data centre. It returns false if the object names none.
	Evacuation(o vane.Object) (dataCentre string, ok bool)
}

// evacuation is the decoded value of an evacuation.
type evacuation struct{ dataCentre string }

// evacuations says whether evacuations are followed and known.
type evacuations struct {
	dec       EvacuationDecoder // nil if evacuations are not followed
	known     bool              // they have been listed, or learned from another node
	heldSince time.Time         // since when a configuration has been held back; zero if none is
}

// FollowEvacuations makes the state hold the evacuations of data centres too. It must be
// called before any object is applied.
func (s *State) FollowEvacuations(d EvacuationDecoder) { s.evacuated.dec = d }

// has reports whether the key is that of an evacuation and evacuations are followed.
func (e *evacuations) has(key string) bool {
	return e.dec != nil && strings.HasPrefix(key, e.dec.EvacuationPrefix())
}

// recordList records that the objects under the prefix were listed. It reports whether the
// evacuations have become known.
func (e *evacuations) recordList(prefix string) bool {
	return e.dec != nil && prefix == e.dec.EvacuationPrefix() && e.setKnown()
}

// setKnown records that the evacuations are known, and reports whether that is new.
func (e *evacuations) setKnown() bool {
	was := e.known
	e.known = true
	return e.dec != nil && !was
}

// tick ends the wait for the evacuations at its limit, and reports whether it did.
func (e *evacuations) tick(now time.Time) bool {
	return !e.heldSince.IsZero() && now.Sub(e.heldSince) > evacuationsLimit && e.setKnown()
}

// holdConfig removes the configuration from a new view while the evacuations are not known,
// since the node must not serve before.
func (s *State) holdConfig(now time.Time, v *View) {
	e := &s.evacuated
	if e.dec == nil || e.known || v.Config == nil {
		return
	}
	if e.heldSince.IsZero() {
		e.heldSince = now
	}
	v.Config, v.ConfigRevision = nil, 0
}

// Import applies objects that another node exported. It reports whether the view changed.
func (s *State) Import(now time.Time, objs []vane.Object) bool {
	known := s.evacuated.setKnown()
	return s.Apply(now, objs) || s.rebuildView(now, known)
}
