package edge

import (
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mesh"
)

// The directory names each node once, and none that is not ready if it hears one that is.
func TestDirectoryAddresses(t *testing.T) {
	peer := func(name string, ready, alive, leaving bool) mesh.Peer {
		return mesh.Peer{PeerRecord: vane.PeerRecord{Callers: name}, Ready: ready, Alive: alive, Leaving: leaving}
	}
	on, starting := func(n string) mesh.Peer { return peer(n, true, true, false) }, func(n string) mesh.Peer { return peer(n, false, true, false) }
	off, leaving := func(n string) mesh.Peer { return peer(n, true, false, false) }, func(n string) mesh.Peer { return peer(n, true, true, true) }
	for _, tt := range []struct {
		name    string
		self    string
		leaving bool
		peers   []mesh.Peer
		want    []string
	}{
		{"all ready", "a", false, []mesh.Peer{on("b"), on("c")}, []string{"a", "b", "c"}},
		{"few ready", "a", false, []mesh.Peer{on("b"), off("c"), starting("d")}, []string{"a", "b"}},
		{"starts, one ready", "", false, []mesh.Peer{on("b"), off("c"), starting("d")}, []string{"b"}},
		{"starts, none heard", "", false, []mesh.Peer{off("b"), starting("c")}, []string{"b", "c"}},
		{"cut off", "a", false, []mesh.Peer{off("b"), off("c")}, []string{"a", "b", "c"}},
		{"alone of two", "a", false, []mesh.Peer{off("b")}, []string{"a"}},
		{"the others stop", "a", false, []mesh.Peer{leaving("b"), leaving("c")}, []string{"a"}},
		{"stops", "", true, []mesh.Peer{on("b"), off("c")}, []string{"b"}},
		{"stops, none heard", "", true, []mesh.Peer{off("b"), off("c")}, nil},
		{"none known", "", false, nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(directoryAddresses(tt.self, tt.leaving, tt.peers), tt.want)
		})
	}
}
