package mirror_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// after returns the version of a revision after one restore.
func after(revision uint64) uint64 { return vane.VersionOf(1, revision) }

// peerObject returns the record of a node.
func peerObject(name string, version uint64) vane.Object {
	return obj(mirror.PeerKey(name), `{"name":"`+name+`","mesh":"1.2.3.4:5"}`, version)
}

// What was written shortly before a restore is missing in the store until its writers write
// it again. It stays in force meanwhile, and goes if they don't.
func TestLostObjectsAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(plainDecoder{})
	s.Replace(begin, "u/", vane.Batch{Revision: 5, Objects: []vane.Object{obj("u/a", "live", 1), obj("u/b", "live", 4), obj("u/c", "live", 5)}})
	s.Replace(begin, "r/", vane.Batch{Revision: 8, Objects: []vane.Object{obj("r/s", "v2", 8)}})
	s.Replace(begin, mirror.NodeStatePrefix, vane.Batch{Revision: 9, Objects: []vane.Object{peerObject("n", 6), peerObject("o", 7)}})

	back := begin.Add(5 * time.Second)
	s.Replace(back, "u/", vane.Batch{Revision: after(3), Objects: []vane.Object{obj("u/a", "live", after(1))}})
	s.Replace(back, "r/", vane.Batch{Revision: after(3)})
	s.Replace(back, mirror.NodeStatePrefix, vane.Batch{Revision: after(3)})
	is.Equal(len(s.View().Upstreams), 3)
	is.Equal(len(s.View().Rollouts), 1)
	is.Equal(len(s.View().Peers), 2)

	s.Apply(back.Add(time.Second), []vane.Object{obj("u/b", "live", after(4)), obj("r/s", "v2", after(5)), peerObject("n", after(6))})
	s.Tick(back.Add(mirror.RecoveryGrace + time.Millisecond))
	is.Equal(len(s.View().Upstreams), 2)
	is.Equal(len(s.View().Rollouts), 1)
	is.Equal(len(s.View().Peers), 1)
	s.Apply(back.Add(mirror.RecoveryGrace+time.Second), []vane.Object{removed("r/s", after(7))})
	is.Equal(len(s.View().Rollouts), 0) // at once after the grace period
}

// An entry that comes back with the copy does not bring back an upstream that is known to
// leave or to be gone, unless it is written again or outlasts the store's own check.
func TestLeavingUpstreamComesBackWithTheCopy(t *testing.T) {
	back := begin.Add(5 * time.Second)
	soon, late := back.Add(time.Second), back.Add(mirror.RestoredEntryHold+time.Millisecond)
	list := func(value string) vane.Batch {
		return vane.Batch{Revision: after(3), Objects: []vane.Object{obj("u/a", value, after(3))}}
	}
	for _, tt := range []struct {
		name   string
		known  []vane.Object // after the first entry
		listed string        // entry in the first list after the restore
		then   func(s *mirror.State)
		live   bool
	}{
		{"gone", []vane.Object{removed("u/a", 4)}, "live 7", func(*mirror.State) {}, false},
		{"leaving", []vane.Object{obj("u/a", "leaving 7", 4)}, "live 7", func(*mirror.State) {}, false},
		{"another incarnation", []vane.Object{removed("u/a", 4)}, "live 8", func(*mirror.State) {}, true},
		{"not known to leave", nil, "live 7", func(*mirror.State) {}, true},
		{"written again", []vane.Object{removed("u/a", 4)}, "live 7", func(s *mirror.State) {
			s.Apply(soon, []vane.Object{obj("u/a", "live 7", after(4))})
		}, true},
		{"told by another node", []vane.Object{removed("u/a", 4)}, "live 7", func(s *mirror.State) {
			s.Apply(soon, []vane.Object{obj("u/a", "live 7", after(3))})
		}, false},
		{"still there later", []vane.Object{removed("u/a", 4)}, "live 7", func(s *mirror.State) { s.Tick(late) }, true},
		{"removal told by another node", []vane.Object{removed("u/a", 4)}, "live 7", func(s *mirror.State) {
			s.Apply(soon, []vane.Object{removed("u/a", 4)})
			s.Tick(late)
		}, true},
		{"removed", []vane.Object{removed("u/a", 4)}, "live 7", func(s *mirror.State) {
			s.Apply(soon, []vane.Object{removed("u/a", after(4))})
			s.Tick(late)
		}, false},
		{"not in a later list", []vane.Object{removed("u/a", 4)}, "live 7", func(s *mirror.State) {
			s.Replace(soon, "u/", vane.Batch{Revision: after(4)})
			s.Tick(late)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := mirror.NewState(plainDecoder{})
			s.Replace(begin, "u/", vane.Batch{Revision: 3, Objects: []vane.Object{obj("u/a", "live 7", 3)}})
			s.Apply(begin, tt.known)
			s.Replace(back, "u/", list(tt.listed))
			tt.then(s)
			u, ok := s.View().Upstreams["a"]
			is.Equal(ok && u.State == vane.UpstreamLive, tt.live)
		})
	}
}

// An upstream that registers again only after the grace period is used at once: its entry
// is not from the copy.
func TestUpstreamThatRegistersLateIsHeldBack(t *testing.T) {
	is := is.New(t)
	s := mirror.NewState(plainDecoder{})
	s.Replace(begin, "u/", vane.Batch{Revision: 3, Objects: []vane.Object{obj("u/a", "live 7", 3)}})
	back := begin.Add(5 * time.Second)
	s.Replace(back, "u/", vane.Batch{Revision: after(2)})
	later := back.Add(mirror.RecoveryGrace + time.Millisecond)
	s.Tick(later)
	is.Equal(len(s.View().Upstreams), 0)
	s.Apply(later, []vane.Object{obj("u/a", "live 7", after(5))})
	is.Equal(len(s.View().Upstreams), 1)
}
