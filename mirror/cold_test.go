package mirror_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// coldDecoder is a plainDecoder whose upstreams state a cold time: their value is followed by
// a duration.
type coldDecoder struct{ plainDecoder }

func (coldDecoder) Upstream(o vane.Object) (vane.Upstream, bool) {
	value, left, _ := strings.Cut(string(o.Value), ", ")
	o.Value = []byte(value)
	u, ok := plainDecoder{}.Upstream(o)
	u.ColdLeft, _ = time.ParseDuration(left)
	return u, ok
}

func (coldDecoder) EvacuationPrefix() string { return "e/" }
func (coldDecoder) Evacuation(o vane.Object) (string, bool) {
	return strings.TrimPrefix(o.Key, "e/"), true
}

// Guards against upstreams that count as warm after a start that this node saw, or as cold
// after one that it did not see, and against cold times that change without a new entry.
func TestColdTimes(t *testing.T) {
	list := func(objs ...vane.Object) func(s *mirror.State) {
		return func(s *mirror.State) { s.Replace(begin, "u/", vane.Batch{Revision: 5, Objects: objs}) }
	}
	at := begin.Add(10 * time.Second)
	apply := func(objs ...vane.Object) func(s *mirror.State) {
		return func(s *mirror.State) { s.Apply(at, objs) }
	}
	for _, tt := range []struct {
		name        string
		then        []func(s *mirror.State)
		until, seen time.Time
	}{
		{"first list", []func(s *mirror.State){list(obj("u/a", "live 1", 1))}, time.Time{}, time.Time{}},
		{"cold in the first list", []func(s *mirror.State){list(obj("u/a", "live 1, 2s", 1))}, begin.Add(2 * time.Second), time.Time{}},
		{"first list by a node", []func(s *mirror.State){apply(obj("u/a", "live 1", 1)), list(obj("u/a", "live 1", 1))}, time.Time{}, time.Time{}},
		{"starts", []func(s *mirror.State){list(), apply(obj("u/a", "live 1, 2901ms", 6))}, at.Add(3 * time.Second), at},
		{"starts without a cold time", []func(s *mirror.State){list(), apply(obj("u/a", "live 1", 6))}, time.Time{}, at},
		{"starts again", []func(s *mirror.State){list(obj("u/a", "live 1", 1)), apply(obj("u/a", "live 2", 6))}, time.Time{}, at},
		{"is warm then", []func(s *mirror.State){list(), apply(obj("u/a", "live 1, 3s", 6)), apply(obj("u/a", "live 1", 7))}, time.Time{}, time.Time{}},
		{"is still cold then", []func(s *mirror.State){list(), apply(obj("u/a", "live 1, 3s", 6)), apply(obj("u/a", "live 1, 1s", 7))}, at.Add(time.Second), at},
		{"turns cold again", []func(s *mirror.State){list(obj("u/a", "live 1", 1)), apply(obj("u/a", "live 1, 1s", 6))}, at.Add(time.Second), time.Time{}},
		{"another entry changes", []func(s *mirror.State){list(obj("u/a", "live 1, 2s", 1)), apply(obj("u/b", "live 1", 6))}, begin.Add(2 * time.Second), time.Time{}},
		{"lapses and comes back", []func(s *mirror.State){list(obj("u/a", "live 1", 1)), apply(removed("u/a", 6)), apply(obj("u/a", "live 1", 7))}, time.Time{}, time.Time{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := mirror.NewState(coldDecoder{})
			for _, f := range tt.then {
				f(s)
			}
			u := s.View().Upstreams["a"]
			is.Equal(u.ColdUntil, tt.until)
			is.Equal(u.StartSeen, tt.seen)
			is.Equal(u.ColdLeft, time.Duration(0))
		})
	}
}

// Guards against a node that starts during an evacuation and serves before it knows of it,
// and one that never serves since the store has no such objects.
func TestEvacuationsAreKnownBeforeTheConfiguration(t *testing.T) {
	is := is.New(t)
	start := func() *mirror.State {
		s := mirror.NewState(coldDecoder{})
		s.FollowEvacuations(coldDecoder{})
		s.Replace(begin, "c/", vane.Batch{Revision: 5, Objects: []vane.Object{obj("c/main", "1", 4)}})
		is.True(s.View().Config == nil)
		return s
	}
	list := vane.Batch{Revision: 6, Objects: []vane.Object{obj("e/dc1", "", 3)}}
	s := start()
	is.True(s.Replace(begin, "e/", list))
	is.True(s.View().Config != nil)
	is.Equal(s.View().Evacuated, map[string]uint64{"dc1": 3})

	other := start()
	is.True(other.Import(begin, s.Export(other.Versions())))
	is.True(other.View().Config != nil)
	is.Equal(other.View().Evacuated, map[string]uint64{"dc1": 3})
	is.Equal(other.Versions(), mirror.Versions{Config: 4, Evacuations: 3})

	alone := start()
	is.True(!alone.Tick(begin.Add(3 * time.Second)))
	is.True(alone.Tick(begin.Add(3*time.Second + 1)))
	is.True(alone.View().Config != nil)

	empty := start()
	is.True(empty.Replace(begin, "e/", vane.Batch{Revision: 6}))
	is.True(empty.View().Config != nil)
}

// Guards against an end of an evacuation that is not noticed, and one that is only the loss of
// the entry by a store that came back from a copy.
func TestEndOfAnEvacuation(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(coldDecoder{})
	s.FollowEvacuations(coldDecoder{})
	s.Replace(begin, "e/", vane.Batch{Revision: 6, Objects: []vane.Object{obj("e/dc1", "", 3), obj("e/dc2", "", 6)}})
	is.True(s.Apply(begin, []vane.Object{removed("e/dc1", 7)}))
	is.Equal(s.View().Evacuated, map[string]uint64{"dc2": 6})
	s.Replace(begin, "e/", vane.Batch{Revision: after(3)})
	is.Equal(s.View().Evacuated, map[string]uint64{"dc2": 6})
	s.Tick(begin.Add(mirror.RecoveryGrace))
	is.Equal(s.View().Evacuated, map[string]uint64{})
	without := mirror.NewState(coldDecoder{})
	without.Apply(begin, []vane.Object{obj("u/a", "live", 2)})
	is.Equal(without.View().Evacuated, nil)
}
