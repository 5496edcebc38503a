package mirror

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/site"
)

// RecoveryGrace is how long after the store's return lapsed entries may still come
// back; upstreams register again within two seconds.
const RecoveryGrace = 2200 * time.Millisecond

// Keys of the objects that the nodes write themselves.
const (
	NodeStatePrefix = "vane-state/"
	peerPrefix      = NodeStatePrefix + "node."    // followed by the name of a node
	namingsPrefix   = NodeStatePrefix + "weights." // followed by the name of a model
)

// PeerKey returns the key under which a node makes itself known.
func PeerKey(node string) string { return peerPrefix + node }

// WeightsRecordKey returns the key of the record of when a model's weights were named.
func WeightsRecordKey(model string) string { return namingsPrefix + model }

// WeightsRecord is the record of when a model's weights were named, for nodes that start
// later.
type WeightsRecord struct {
	Model   string   `json:"model"`
	Numbers []uint64 `json:"numbers"`
	AtMS    []int64  `json:"at_ms"` // Unix milliseconds, by the clock of the node that wrote them
}

// Record returns the history as a record.
func (w Weights) Record() WeightsRecord {
	n := WeightsRecord{Model: w.Model}
	for _, h := range w.History {
		n.Numbers = append(n.Numbers, h.Number)
		n.AtMS = append(n.AtMS, h.Since.UnixMilli())
	}
	return n
}

// merge returns the history with the times of a record where those are earlier.
func (w Weights) merge(n WeightsRecord) Weights {
	h := slices.Clone(w.History)
	for i, number := range n.Numbers {
		if i >= len(n.AtMS) {
			break
		}
		at := time.UnixMilli(n.AtMS[i])
		j := slices.IndexFunc(h, func(x WeightsVersion) bool { return x.Number >= number })
		switch {
		case j < 0:
		case h[j].Number == number && at.Before(h[j].Since):
			h[j].Since = at
		case h[j].Number > number:
			h = slices.Insert(h, j, WeightsVersion{number, at})
		}
	}
	w.History = h[max(0, len(h)-maxNamings):]
	return w
}

// Decoder reads the objects of the store.
type Decoder interface {
	ConfigPrefix() string
	UpstreamPrefix() string
	WeightsPrefix() string
	Config(o vane.Object) (*site.Config, bool)
	Upstream(o vane.Object) (vane.Upstream, bool)
	Weights(o vane.Object) (vane.NamedWeights, bool)
}

// Weights are the named weights of a model and when this node learned of them.
type Weights struct {
	vane.NamedWeights
	Since   time.Time
	History []WeightsVersion // the last ones that were named, oldest first
}

// WeightsVersion is one number of weights and when this node learned that it was named.
type WeightsVersion struct {
	Number uint64
	Since  time.Time
}

// maxNamings bounds the history: older weights are out of use.
const maxNamings = 16

// OutdatedFor returns for how long an engine with weights of the number has been
// behind; zero if it is not.
func (w Weights) OutdatedFor(now time.Time, number uint64) time.Duration {
	for _, n := range w.History {
		if n.Number > number {
			return now.Sub(n.Since)
		}
	}
	return 0
}

// View is the decoded copy. It is immutable.
type View struct {
	Config    *site.Config // nil if none is known
	Upstreams map[string]vane.Upstream
	Weights   map[string]Weights // by model
	Peers     map[string]vane.PeerRecord
}

// TargetWeights returns the weights that the model is to be served with; zero if none.
func (v *View) TargetWeights(model string) uint64 { return v.Weights[model].Number }

// State is the copy of the objects. It is not safe for concurrent use.
type State struct {
	dec     Decoder
	objects map[string]vane.Object // also removed ones, marked as deleted
	decoded map[string]decoded     // by key
	held    map[string]vane.Object // removals that wait for the end of the grace
	holdTo  time.Time              // end of the grace
	away    bool                   // the store does not answer
	view    *View
}

// NewState returns an empty copy.
func NewState(dec Decoder) *State {
	s := &State{dec: dec, objects: make(map[string]vane.Object), decoded: make(map[string]decoded), held: make(map[string]vane.Object)}
	s.view = &View{Upstreams: map[string]vane.Upstream{}, Weights: map[string]Weights{}, Peers: map[string]vane.PeerRecord{}}
	return s
}

// View returns the decoded copy.
func (s *State) View() *View { return s.view }

// SetStoreDown notes whether the store answers.
func (s *State) SetStoreDown(now time.Time, away bool) {
	if s.away && !away {
		s.holdTo = now.Add(RecoveryGrace)
	}
	s.away = away
}

// Apply takes changes. Older versions than those known are ignored. It returns
// true if the view changed.
func (s *State) Apply(now time.Time, objs []vane.Object) bool {
	changed := false
	for _, o := range objs {
		changed = s.apply(now, o) || changed
	}
	return s.rebuilt(now, changed)
}

// Replace takes all objects under the prefix as of a revision. Known objects that
// are not among them are removed.
func (s *State) Replace(now time.Time, prefix string, b vane.Batch) bool {
	there := make(map[string]bool, len(b.Objects))
	changed := false
	for _, o := range b.Objects {
		there[o.Key] = true
		changed = s.apply(now, o) || changed
	}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) && !there[k] && !o.Deleted && o.Version <= b.Revision {
			o.Deleted = true
			changed = s.apply(now, o) || changed
		}
	}
	return s.rebuilt(now, changed)
}

// Tick carries out removals whose grace is over.
func (s *State) Tick(now time.Time) bool {
	if len(s.held) == 0 || s.holding(now) {
		return false
	}
	for k, o := range s.held {
		delete(s.held, k)
		s.objects[k] = o
	}
	return s.rebuilt(now, true)
}

// Versions are the newest versions known of the kinds of objects that nodes hand to
// each other. A node knows all changes up to its marks.
type Versions struct {
	Config    uint64
	Upstreams uint64
	Weights   uint64
	NodeState uint64 // of objects that the nodes write themselves
}

// Export returns what a node with the marks does not know. Removals are always
// among it, since they may have waited for the end of a grace.
func (s *State) Export(have Versions) []vane.Object {
	var out []vane.Object
	for k, o := range s.objects {
		if o.Deleted || o.Version > *s.markOf(&have, k) {
			out = append(out, o)
		}
	}
	return out
}

// Versions returns the newest versions known.
func (s *State) Versions() Versions {
	var m Versions
	for k, o := range s.objects {
		at := s.markOf(&m, k)
		*at = max(*at, o.Version)
	}
	return m
}

// markOf returns the mark of the object with the key.
func (s *State) markOf(m *Versions, key string) *uint64 {
	switch {
	case strings.HasPrefix(key, s.dec.UpstreamPrefix()):
		return &m.Upstreams
	case strings.HasPrefix(key, s.dec.WeightsPrefix()):
		return &m.Weights
	case strings.HasPrefix(key, NodeStatePrefix):
		return &m.NodeState
	}
	return &m.Config
}

// holding says whether removals of upstreams wait.
func (s *State) holding(now time.Time) bool { return s.away || now.Before(s.holdTo) }

// apply takes one object. It returns true if the object changed.
func (s *State) apply(now time.Time, o vane.Object) bool {
	old, ok := s.objects[o.Key]
	if o.Deleted {
		if !ok || old.Deleted || o.Version < old.Version {
			return false
		}
		// The value is kept as it was: other nodes need to know only of the removal.
		o.Value = nil
		if strings.HasPrefix(o.Key, s.dec.UpstreamPrefix()) && s.holding(now) && !s.leaving(old) {
			s.held[o.Key] = o
			return false
		}
		delete(s.held, o.Key)
		s.objects[o.Key] = o
		return true
	}
	if ok && o.Version <= old.Version {
		if o.Version == old.Version && !old.Deleted {
			delete(s.held, o.Key)
		}
		return false
	}
	delete(s.held, o.Key)
	s.objects[o.Key] = o
	return true
}

// leaving says whether an upstream's entry states that it leaves.
func (s *State) leaving(o vane.Object) bool {
	u, ok := s.dec.Upstream(o)
	return ok && u.State == vane.UpstreamLeaving
}

// rebuilt makes a new view if changed is true, and returns changed.
func (s *State) rebuilt(now time.Time, changed bool) bool {
	if !changed {
		return false
	}
	old := s.view
	v := &View{
		Config: old.Config, Upstreams: make(map[string]vane.Upstream, len(s.objects)),
		Weights: make(map[string]Weights), Peers: make(map[string]vane.PeerRecord),
	}
	maps.Copy(v.Weights, old.Weights)
	var namings []WeightsRecord
	for k, o := range s.objects {
		if o.Deleted {
			delete(s.decoded, k)
			continue
		}
		d, ok := s.decoded[k]
		if !ok || d.version != o.Version {
			d = decoded{o.Version, s.decode(k, o)}
			s.decoded[k] = d
		}
		if n, ok := d.value.(WeightsRecord); ok {
			namings = append(namings, n)
			continue
		}
		v.add(now, d.value)
	}
	for _, n := range namings {
		if w, ok := v.Weights[n.Model]; ok {
			v.Weights[n.Model] = w.merge(n)
		}
	}
	s.view = v
	return true
}

// decoded is what an object of a version says; nil if it says nothing that is of use.
type decoded struct {
	version uint64
	value   any
}

// add puts what an object says into a view under construction.
func (v *View) add(now time.Time, value any) {
	switch x := value.(type) {
	case *site.Config:
		if v.Config == nil || x.Version > v.Config.Version {
			v.Config = x
		}
	case vane.Upstream:
		v.Upstreams[x.Name] = x
	case vane.NamedWeights:
		if x.Number > v.Weights[x.Model].Number {
			h := append(slices.Clone(v.Weights[x.Model].History), WeightsVersion{x.Number, now})
			v.Weights[x.Model] = Weights{NamedWeights: x, Since: now, History: h[max(0, len(h)-maxNamings):]}
		}
	case vane.PeerRecord:
		v.Peers[x.Name] = x
	}
}

// decode returns what an object says, or nil.
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
	case strings.HasPrefix(key, namingsPrefix):
		var n WeightsRecord
		if json.Unmarshal(o.Value, &n) == nil {
			return n
		}
	case strings.HasPrefix(key, peerPrefix):
		var p vane.PeerRecord
		if json.Unmarshal(o.Value, &p) == nil && p.Name != "" && p.Mesh != "" {
			return p
		}
	}
	return nil
}
