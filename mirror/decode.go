package mirror

import (
	"encoding/json"
	"strings"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/addr"
)

// decodedObject is the decoded value of an object at a version. The value is nil if the
// object is malformed or of no use.
type decodedObject struct {
	version uint64
	value   any
}

// decode returns the decoded value of an object, or nil if it is malformed or of no
// use.
func (s *State) decode(key string, o vane.Object) any {
	switch {
	case strings.HasPrefix(key, s.dec.ConfigPrefix()):
		if c, ok := s.dec.Config(o); ok {
			return c
		}
	case strings.HasPrefix(key, s.dec.UpstreamPrefix()):
		if u, ok := s.dec.Upstream(o); ok {
			return u
		}
	case strings.HasPrefix(key, s.dec.WeightsPrefix()):
		if w, ok := s.dec.Weights(o); ok {
			return w
		}
	case strings.HasPrefix(key, s.dec.RolloutPrefix()):
		if r, ok := s.dec.Rollout(o); ok {
			return r
		}
	case s.evacuated.has(key):
		if dc, ok := s.evacuated.dec.Evacuation(o); ok {
			return evacuation{dc}
		}
	case strings.HasPrefix(key, weightsRecordPrefix):
		var n WeightsRecord
		if json.Unmarshal(o.Value, &n) == nil {
			return n
		}
	case strings.HasPrefix(key, peerPrefix):
		var p vane.PeerRecord
		if json.Unmarshal(o.Value, &p) == nil && PeerKey(p.Name) == key && addr.IsReachable(p.Mesh) && (p.Callers == "" || addr.IsReachable(p.Callers)) {
			return p
		}
	}
	return nil
}
