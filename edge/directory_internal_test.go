package edge

import (
	"testing"
	"time"

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

// Guards against answers that name nodes that ended, which callers then try in vain, where
// the settings state a limit. A node that has just started names those it knows.
func TestDirectoryForgetsSilentNodes(t *testing.T) {
	now := time.Now()
	peer := func(name string, silent time.Duration) mesh.Peer {
		p := mesh.Peer{PeerRecord: vane.PeerRecord{Callers: name}, Ready: true}
		if silent >= 0 {
			p.LastHeard = now.Add(-silent)
		}
		return p
	}
	for _, tt := range []struct {
		name  string
		nodes int
		ready bool
		peers []mesh.Peer
		want  []string
	}{
		{"silent", 6, true, []mesh.Peer{peer("b", time.Second), peer("c", 6400*time.Millisecond), peer("d", 6600*time.Millisecond)}, []string{"b", "c"}},
		{"large site, where messages wait at relays", 295, true, []mesh.Peer{peer("b", 4400*time.Millisecond), peer("c", 4600*time.Millisecond)}, []string{"b"}},
		{"never heard", 6, true, []mesh.Peer{peer("b", -1)}, nil},
		{"starts", 6, false, []mesh.Peer{peer("b", -1), peer("c", 7*time.Second)}, []string{"b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := &Node{settings: Settings{ContactLimit: 4 * time.Second}}
			var got []string
			for _, p := range recentPeers(now, tt.peers, n.silenceLimit(tt.nodes-1), tt.ready) {
				got = append(got, p.Callers)
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against callers that are sent to another region although nodes of theirs are there.
func TestDirectoryNamesTheCallersRegionFirst(t *testing.T) {
	regions := map[string]string{"dc0": "north", "dc1": "south", "dc2": "north"}
	peers := []mesh.Peer{
		{PeerRecord: vane.PeerRecord{Callers: "b", DataCentre: "dc1"}}, {PeerRecord: vane.PeerRecord{Callers: "c", DataCentre: "dc2"}},
		{PeerRecord: vane.PeerRecord{Callers: "d", DataCentre: "dc1"}},
	}
	for _, tt := range []struct {
		caller string
		want   []string
	}{
		{"dc2", []string{"a", "c", "b", "d"}},
		{"dc1", []string{"b", "d", "a", "c"}},
		{"dc9", []string{"a", "b", "c", "d"}},
		{"", []string{"a", "b", "c", "d"}},
	} {
		t.Run(tt.caller, func(t *testing.T) {
			is := is.New(t)
			n := &Node{settings: Settings{DataCentre: "dc0", Regions: regions, CallerAddr: "a"}}
			addrs := []string{"a", "b", "c", "d"}
			n.sortByRegion(addrs, tt.caller, peers)
			is.Equal(addrs, tt.want)
		})
	}
}
