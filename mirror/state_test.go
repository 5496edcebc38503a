package mirror_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/site"
)

var begin = time.Unix(9000, 0)

// plainDecoder decodes plain strings. An upstream's value is its state, with its
// incarnation as a second word if that is not zero. For other kinds, the length of the
// value is the version or number.
type plainDecoder struct{}

func (plainDecoder) ConfigPrefix() string   { return "c/" }
func (plainDecoder) UpstreamPrefix() string { return "u/" }
func (plainDecoder) WeightsPrefix() string  { return "w/" }
func (plainDecoder) RolloutPrefix() string  { return "r/" }

func (plainDecoder) Config(o vane.Object) (*site.Config, bool) {
	return site.New(uint64(len(o.Value))), len(o.Value) > 0
}

func (plainDecoder) Upstream(o vane.Object) (vane.Upstream, bool) {
	u := vane.Upstream{Name: strings.TrimPrefix(o.Key, "u/")}
	state, incarnation, _ := strings.Cut(string(o.Value), " ")
	u.Incarnation, _ = strconv.ParseUint(incarnation, 10, 64)
	if state == "leaving" {
		u.State = vane.UpstreamLeaving
	}
	return u, string(o.Value) != "junk"
}

func (plainDecoder) Weights(o vane.Object) (vane.TargetWeights, bool) {
	return vane.TargetWeights{Model: "m", Version: uint64(len(o.Value))}, true
}

func (plainDecoder) Rollout(o vane.Object) (vane.Rollout, bool) {
	return vane.Rollout{Service: "s", Target: string(o.Value), Revision: o.Version}, true
}

// obj returns an object of the store.
func obj(key, value string, version uint64) vane.Object {
	return vane.Object{Key: key, Value: []byte(value), Version: version}
}

// removed returns the removal of an object.
func removed(key string, version uint64) vane.Object {
	return vane.Object{Key: key, Version: version, Deleted: true}
}

// A node that knows most objects gets only the missing ones, but always all removals: a
// removal that was delayed until the end of the grace period has an old version.
func TestExportIsWhatIsMissing(t *testing.T) {
	is := is.New(t)
	a, b := mirror.NewState(plainDecoder{}), mirror.NewState(plainDecoder{})
	old := []vane.Object{obj("c/main", "1", 10), obj("u/a", "live", 11), obj("u/b", "live", 12), obj("u/c", "live", 13)}
	a.Apply(begin, old)
	b.Apply(begin, old)
	a.SetStoreDown(begin, true)
	a.Apply(begin, []vane.Object{removed("u/a", 14), obj("u/b", "leaving", 15), obj("c/main", "12", 16)})
	delta := a.Export(b.Versions())
	is.Equal(len(delta), 2)
	b.Apply(begin, delta)
	a.SetStoreDown(begin, false)
	a.Tick(begin.Add(2 * mirror.RecoveryGrace)) // the removal takes effect
	is.Equal(a.Versions(), b.Versions())
	b.Apply(begin, a.Export(b.Versions()))
	is.Equal(a.View().Upstreams, b.View().Upstreams)
	is.Equal(b.View().Config.Version, uint64(2))
}

// Delayed information neither reverts an object to an older version nor a newer
// configuration to an older one.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(plainDecoder{})
	is.True(s.Apply(begin, []vane.Object{obj("c/main", "12345", 10), obj("u/a", "live", 11)}))
	is.True(!s.Apply(begin, []vane.Object{obj("c/main", "1234", 9)})) // an older object
	is.True(!s.Apply(begin, []vane.Object{removed("u/a", 10)}))       // an older removal
	is.True(s.Apply(begin, []vane.Object{obj("c/main", "123", 12)}))  // newer object with an older configuration
	is.Equal(s.View().Config.Version, uint64(5))
	is.Equal(len(s.View().Upstreams), 1)
	is.True(s.Apply(begin, []vane.Object{removed("u/a", 11)}))
	is.Equal(len(s.View().Upstreams), 0)
}

func TestMalformedEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(plainDecoder{})
	s.Apply(begin, []vane.Object{obj("u/a", "live", 1), obj("u/b", "junk", 2)})
	is.Equal(len(s.View().Upstreams), 1)
}

// Entries expire during a store outage and reappear after it. An upstream that
// announced its leaving is removed at once.
func TestRemovalsAfterAnOutage(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(plainDecoder{})
	s.Replace(begin, "u/", vane.Batch{Revision: 3, Objects: []vane.Object{obj("u/a", "live", 1), obj("u/b", "live", 2), obj("u/c", "leaving", 3)}})
	s.SetStoreDown(begin, true)
	back := begin.Add(5 * time.Second)
	s.SetStoreDown(back, false)
	s.Replace(back, "u/", vane.Batch{Revision: 9})
	is.Equal(len(s.View().Upstreams), 2) // a and b are kept for now
	s.Apply(back.Add(time.Second), []vane.Object{obj("u/a", "live", 10)})
	s.Tick(back.Add(mirror.RecoveryGrace / 2))
	is.Equal(len(s.View().Upstreams), 2)
	is.True(s.Tick(back.Add(mirror.RecoveryGrace + time.Millisecond)))
	is.Equal(len(s.View().Upstreams), 1) // b did not reappear
	_, ok := s.View().Upstreams["a"]
	is.True(ok)
}

func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(plainDecoder{})
	s.Apply(begin, []vane.Object{obj("u/a", "live", 1)})
	s.Apply(begin, []vane.Object{removed("u/a", 1)})
	is.Equal(len(s.View().Upstreams), 0)
}

func TestWeightsHistory(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(plainDecoder{})
	s.Apply(begin, []vane.Object{obj("w/m", "1", 1)})
	s.Apply(begin.Add(2*time.Second), []vane.Object{obj("w/m", "12", 2)})
	s.Apply(begin.Add(6*time.Second), []vane.Object{obj("w/m", "1234", 3)})
	w := s.View().Weights["m"]
	now := begin.Add(10 * time.Second)
	is.Equal(w.OutdatedFor(now, 4), time.Duration(0))
	is.Equal(w.OutdatedFor(now, 2), 4*time.Second)
	is.Equal(w.OutdatedFor(now, 1), 8*time.Second)

	// A node that starts later learns the times from the record.
	late := mirror.NewState(plainDecoder{})
	late.Apply(now, []vane.Object{obj("w/m", "1234", 3)})
	is.Equal(late.View().Weights["m"].OutdatedFor(now, 1), time.Duration(0))
	late.Apply(now, []vane.Object{obj(mirror.WeightsRecordKey("m"),
		`{"model":"m","numbers":[1,2,4],"at_ms":[9000000,9002000,9006000]}`, 4)})
	is.Equal(late.View().Weights["m"].OutdatedFor(now, 2), 4*time.Second)
	is.Equal(late.View().Weights["m"].OutdatedFor(now, 1), 8*time.Second)
}

// Versions are tracked per kind of object: a node that knows newer weights may still
// lack a configuration that was written before them.
func TestNewerWeightsHideNoConfiguration(t *testing.T) {
	is := is.New(t)
	a, b := mirror.NewState(plainDecoder{}), mirror.NewState(plainDecoder{})
	a.Apply(begin, []vane.Object{obj("c/main", "1", 10), obj("w/m", "1", 11)})
	b.Apply(begin, []vane.Object{obj("c/main", "1", 10), obj("w/m", "1", 11)})
	a.Apply(begin, []vane.Object{obj("c/main", "12", 12), obj("w/m", "12", 13)})
	b.Apply(begin, []vane.Object{obj("w/m", "12", 13)})
	is.True(a.Versions() != b.Versions())
	b.Apply(begin, a.Export(b.Versions()))
	is.Equal(b.View().Config.Version, uint64(2))
}

func TestRolloutHidesNoConfiguration(t *testing.T) {
	is := is.New(t)
	a, b := mirror.NewState(plainDecoder{}), mirror.NewState(plainDecoder{})
	a.Apply(begin, []vane.Object{obj("c/main", "12", 12), obj("r/s", "v2", 13)})
	b.Apply(begin, []vane.Object{obj("r/s", "v2", 13)})
	b.Apply(begin, a.Export(b.Versions()))
	is.Equal(b.View().Config.Version, uint64(2))
	is.Equal(b.View().Rollouts["s"].Target, "v2")
	b.Apply(begin, []vane.Object{removed("r/s", 14)})
	is.Equal(len(b.View().Rollouts), 0)
}

func TestSnapshotOfAnotherNode(t *testing.T) {
	is := is.New(t)
	a, b := mirror.NewState(plainDecoder{}), mirror.NewState(plainDecoder{})
	a.Apply(begin, []vane.Object{obj("c/main", "123", 5), obj("u/a", "live", 6), obj("u/b", "live", 7)})
	b.Apply(begin, a.Export(b.Versions()))
	is.Equal(b.Versions(), mirror.Versions{Upstreams: 7, Config: 5})
	a.Apply(begin, []vane.Object{removed("u/a", 8), obj("c/main", "1234", 9)})
	is.Equal(a.Versions().Config, uint64(9))
	b.Apply(begin, a.Export(b.Versions()))
	is.Equal(len(b.View().Upstreams), 1)
	is.Equal(b.View().Config.Version, uint64(4))
}
