package mirror

import (
	"maps"
	"slices"
	"strings"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/site"
)

// RecoveryGrace is how long after the end of a store outage expired entries may
// reappear. Upstreams register again within two seconds.
const RecoveryGrace = 2200 * time.Millisecond

// Keys of the objects that the nodes write themselves.
const (
	NodeStatePrefix     = "vane-state/"
	peerPrefix          = NodeStatePrefix + "node."    // followed by the name of a node
	weightsRecordPrefix = NodeStatePrefix + "weights." // followed by the name of a model
)

// PeerKey returns the key under which a node registers in the store.
func PeerKey(node string) string { return peerPrefix + node }

// Decoder decodes the objects of the store. Its methods return false for objects that
// are malformed.
type Decoder interface {
	ConfigPrefix() string
	UpstreamPrefix() string
	WeightsPrefix() string
	RolloutPrefix() string
	Config(o vane.Object) (*site.Config, bool)
	Upstream(o vane.Object) (vane.Upstream, bool)
	Weights(o vane.Object) (vane.TargetWeights, bool)
	Rollout(o vane.Object) (vane.Rollout, bool)
}

// View is the decoded copy of the objects. It is immutable.
type View struct {
	Config         *site.Config               // nil if none is known
	ConfigRevision uint64                     // version of the store's object that holds it
	Upstreams      map[string]vane.Upstream   // upstreams by name
	Weights        map[string]Weights         // target weights by model
	Peers          map[string]vane.PeerRecord // records of all nodes by node name
	Rollouts       map[string]vane.Rollout    // roll-outs by service
	Evacuated      map[string]uint64          // version of the evacuation by data centre; nil if evacuations are not followed
}

// TargetWeights returns the number of the weights with which the model is to be served,
// or zero if none are known.
func (v *View) TargetWeights(model string) uint64 { return v.Weights[model].Version }

// State is a copy of the objects in the store. It is not safe for concurrent use. The
// times that its methods take must come from one clock.
type State struct {
	dec             Decoder
	evacuated       evacuations
	objects         map[string]vane.Object   // objects by key, including removed ones, which are marked as deleted
	decoded         map[string]decodedObject // decoded values of the objects that are not removed, by key
	delayedRemovals map[string]vane.Object   // removals that are delayed until the end of the grace period, by key
	graceEnd        time.Time                // end of the grace period after an outage
	restored        restored
	storeDown       bool            // the store does not answer
	ignored         []IgnoredObject // since the last call of TakeIgnored
	malformed       []vane.Object   // since the last call of TakeMalformed
	wallOffset      time.Duration   // wall time minus the time of the clock
	completeUntil   time.Time       // time at which no change was missing; zero if none is now
	followsWeights  bool            // the target weights have been listed, so that further ones are new
	listsUpstreams  bool            // the upstreams have been listed, so that further starts are seen
	view            *View
	versions        *Versions // result of Versions; nil if the objects have changed since
}

// NewState returns an empty state.
func NewState(dec Decoder) *State {
	s := &State{dec: dec, objects: make(map[string]vane.Object), decoded: make(map[string]decodedObject), delayedRemovals: make(map[string]vane.Object), restored: newRestored()}
	s.view = &View{Upstreams: map[string]vane.Upstream{}, Weights: map[string]Weights{}, Peers: map[string]vane.PeerRecord{}, Rollouts: map[string]vane.Rollout{}}
	return s
}

// View returns the current view.
func (s *State) View() *View { return s.view }

// TakeMalformed returns the keys and versions of the objects that were found malformed since
// the last call.
func (s *State) TakeMalformed() []vane.Object {
	out := s.malformed
	s.malformed = nil
	return out
}

// SetWallOffset sets the wall time minus the time of the clock. It converts the times of
// records, which are shared between hosts. The default is zero.
func (s *State) SetWallOffset(d time.Duration) { s.wallOffset = d }

// SetCompleteUntil sets the time until which the state was complete, for changes that are
// applied after an interruption. The designation of weights then counts from that time,
// the earliest possible one. The zero time ends this.
func (s *State) SetCompleteUntil(t time.Time) { s.completeUntil = t }

// SetStoreDown records whether the store is down. The end of an outage starts the grace
// period.
func (s *State) SetStoreDown(now time.Time, down bool) {
	if s.storeDown && !down {
		s.graceEnd = now.Add(RecoveryGrace)
	}
	s.storeDown = down
}

// Apply applies changes. It ignores versions older than those known. It reports whether
// the view changed.
func (s *State) Apply(now time.Time, objs []vane.Object) bool {
	changed := false
	s.versions = nil
	for _, o := range objs {
		changed = s.apply(now, o) || changed
	}
	return s.rebuildView(now, changed)
}

// Replace applies a complete list of the objects under the prefix as of a revision.
// Known objects that are missing from it are removed. It reports whether the view
// changed.
func (s *State) Replace(now time.Time, prefix string, b vane.Batch) bool {
	present := make(map[string]bool, len(b.Objects))
	changed := false
	s.versions = nil
	s.restored.recordList(now, prefix, b.Revision)
	for _, o := range b.Objects {
		present[o.Key] = true
		changed = s.apply(now, o) || changed
	}
	s.restored.dropMissing(prefix, present)
	if prefix == s.dec.WeightsPrefix() {
		defer func() { s.followsWeights = true }()
	}
	changed = s.evacuated.recordList(prefix) || changed
	if prefix == s.dec.UpstreamPrefix() {
		defer func() { s.listsUpstreams = true }()
	}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) && !present[k] && !o.Deleted && o.Version <= b.Revision {
			o.Deleted = true
			changed = s.apply(now, o) || changed
		}
	}
	return s.rebuildView(now, changed)
}

// IgnoredObject is an object that was not applied, since a newer version is known.
type IgnoredObject struct {
	Key            string
	Version, Known uint64
}

// maxIgnored is the number of ignored objects that are kept for the log.
const maxIgnored = 16

// TakeIgnored returns the objects that were ignored since the last call.
func (s *State) TakeIgnored() []IgnoredObject {
	out := s.ignored
	s.ignored = nil
	return out
}

// Tick applies delayed removals once the grace period is over. It reports whether the
// view changed.
func (s *State) Tick(now time.Time) bool {
	changed := false
	for k, o := range s.delayedRemovals {
		if !s.delaysRemoval(now, k) {
			delete(s.delayedRemovals, k)
			s.recordRemoval(s.objects[k])
			s.objects[k] = o
			changed = true
		}
	}
	for k, h := range s.restored.held {
		if !now.Before(h.until) {
			delete(s.restored.held, k)
			s.objects[k] = h.object
			changed = true
		}
	}
	if changed {
		s.versions = nil
	}
	changed = s.evacuated.tick(now) || changed
	return s.rebuildView(now, changed)
}

// Versions holds the newest known version per kind of object that nodes exchange. A
// node knows all changes up to these versions.
type Versions struct {
	Config    uint64
	Upstreams uint64
	Weights   uint64
	NodeState uint64 // newest version of the objects that the nodes write themselves
	Rollouts  uint64

	Evacuations uint64
}

// Export returns the objects that a node with the given versions lacks. It always
// includes all removals, because a delayed removal takes effect with an old version.
func (s *State) Export(have Versions) []vane.Object {
	var out []vane.Object
	for k, o := range s.objects {
		if o.Deleted || o.Version > *s.versionFor(&have, k) {
			out = append(out, o)
		}
	}
	return out
}

// Versions returns the newest known version of each kind of object.
func (s *State) Versions() Versions {
	if s.versions != nil {
		return *s.versions
	}
	var v Versions
	for k, o := range s.objects {
		newest := s.versionFor(&v, k)
		*newest = max(*newest, o.Version)
	}
	for _, h := range s.restored.held {
		v.Upstreams = max(v.Upstreams, h.object.Version)
	}
	s.versions = &v
	return v
}

// versionFor returns the field of v for the kind of object with the key.
func (s *State) versionFor(v *Versions, key string) *uint64 {
	switch {
	case strings.HasPrefix(key, s.dec.UpstreamPrefix()):
		return &v.Upstreams
	case strings.HasPrefix(key, s.dec.WeightsPrefix()):
		return &v.Weights
	case strings.HasPrefix(key, s.dec.RolloutPrefix()):
		return &v.Rollouts
	case s.evacuated.has(key):
		return &v.Evacuations
	case strings.HasPrefix(key, NodeStatePrefix):
		return &v.NodeState
	}
	return &v.Config
}

// delaysRemoval reports whether the removal of an object is delayed at the moment, unless it
// is an upstream that announced its leaving. After a restore, upstreams, nodes and the
// operator write again what the store has lost.
func (s *State) delaysRemoval(now time.Time, key string) bool {
	if strings.HasPrefix(key, s.dec.UpstreamPrefix()) {
		outage := s.storeDown || now.Before(s.graceEnd) || s.restored.inGrace(now, s.dec.UpstreamPrefix())
		return outage && !s.isLeaving(s.objects[key])
	}
	return s.evacuated.has(key) && s.restored.inGrace(now, s.evacuated.dec.EvacuationPrefix()) ||
		strings.HasPrefix(key, s.dec.RolloutPrefix()) && s.restored.inGrace(now, s.dec.RolloutPrefix()) ||
		strings.HasPrefix(key, peerPrefix) && s.restored.inGrace(now, NodeStatePrefix)
}

// apply applies one object. It reports whether the stored object changed.
func (s *State) apply(now time.Time, o vane.Object) bool {
	old, ok := s.objects[o.Key]
	if s.holdsBack(now, o) {
		return false
	}
	if o.Deleted {
		if !ok || old.Deleted || o.Version < old.Version {
			return false
		}
		// The contents are dropped, since other nodes need to know only of the removal.
		o.Value, o.Status = nil, nil
		if s.delaysRemoval(now, o.Key) {
			s.delayedRemovals[o.Key] = o
			return false
		}
		delete(s.delayedRemovals, o.Key)
		s.recordRemoval(old)
		s.objects[o.Key] = o
		return true
	}
	if ok && o.Version < old.Version && len(s.ignored) < maxIgnored {
		s.ignored = append(s.ignored, IgnoredObject{o.Key, o.Version, old.Version})
	}
	if ok && o.Version <= old.Version {
		if o.Version == old.Version && !old.Deleted {
			delete(s.delayedRemovals, o.Key)
		}
		return false
	}
	delete(s.delayedRemovals, o.Key)
	s.objects[o.Key] = o
	return true
}

// isLeaving reports whether an upstream's entry states that the upstream is leaving.
func (s *State) isLeaving(o vane.Object) bool {
	u, ok := s.dec.Upstream(o)
	return ok && u.State == vane.UpstreamLeaving
}

// rebuildView builds a new view if changed is true, and returns changed.
func (s *State) rebuildView(now time.Time, changed bool) bool {
	if !changed {
		return false
	}
	old := s.view
	v := &View{
		Config: old.Config, ConfigRevision: old.ConfigRevision, Upstreams: make(map[string]vane.Upstream, len(s.objects)),
		Weights: make(map[string]Weights), Peers: make(map[string]vane.PeerRecord), Rollouts: make(map[string]vane.Rollout),
	}
	if s.evacuated.dec != nil {
		v.Evacuated = make(map[string]uint64)
	}
	maps.Copy(v.Weights, old.Weights)
	var records []WeightsRecord
	for k, o := range s.objects {
		if o.Deleted {
			delete(s.decoded, k)
			continue
		}
		d, ok := s.decoded[k]
		if !ok || d.version != o.Version {
			old, known := d.value.(vane.Upstream)
			d = decodedObject{o.Version, s.decode(k, o)}
			if u, ok := d.value.(vane.Upstream); ok {
				d.value = s.withColdTimes(now, k, u, old, known)
			}
			s.decoded[k] = d
			if d.value == nil {
				s.malformed = append(s.malformed, vane.Object{Key: k, Version: o.Version})
			}
		}
		if n, ok := d.value.(WeightsRecord); ok {
			records = append(records, n)
			continue
		}
		v.add(now, s.completeUntil, s.followsWeights, d)
	}
	for _, n := range records {
		if w, ok := v.Weights[n.Model]; ok {
			v.Weights[n.Model] = w.merge(n, s.wallOffset)
		}
	}
	s.holdConfig(now, v)
	s.view = v
	return true
}

// add adds a decoded value to a view under construction. A completeUntil other than zero
// is the earliest possible time of the change. followed is set if all weights before were
// known.
func (v *View) add(now, completeUntil time.Time, followed bool, d decodedObject) {
	switch x := d.value.(type) {
	case *site.Config:
		if v.Config == nil || x.Version > v.Config.Version {
			v.Config, v.ConfigRevision = x, d.version
		}
	case vane.Upstream:
		v.Upstreams[x.Name] = x
	case vane.TargetWeights:
		if x.Version > v.Weights[x.Model].Version {
			n := WeightsVersion{Number: x.Version, Since: now, Seen: followed}
			if !completeUntil.IsZero() && completeUntil.Before(now) {
				n.Since, n.Bound, n.Seen = completeUntil, true, false
			}
			h := append(slices.Clone(v.Weights[x.Model].History), n)
			v.Weights[x.Model] = Weights{TargetWeights: x, Since: n.Since, History: h[max(0, len(h)-maxHistory):]}
		}
	case vane.PeerRecord:
		v.Peers[x.Name] = x
	case vane.Rollout:
		v.Rollouts[x.Service] = x
	case evacuation:
		v.Evacuated[x.dataCentre] = d.version
	}
}
