package mesh

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

var begin = time.Unix(6000, 0)

// newSite returns the mesh of node 0 in a site with n other nodes.
func newSite(n int) *Mesh {
	m := New(vane.PeerRecord{Name: "n0", Boot: 1}, Deps{Versions: func() mirror.Versions { return mirror.Versions{Upstreams: 5, Config: 5} }, Log: slog.New(slog.DiscardHandler)})
	records := map[string]vane.PeerRecord{}
	for i := range n {
		name := fmt.Sprintf("n%d", i+1)
		records[name] = vane.PeerRecord{Name: name, Mesh: name + ":1", Boot: 1}
	}
	m.SetPeers(records)
	return m
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	in := &Message{
		Name: "n1", Boot: 7, Seq: 3, Ready: true, ConfigVersion: 9, Fence: 4, InFlight: map[string]int{"e": 2}, QuotaSpent: map[string]float64{"ws": 1.5},
		Engines: []EngineUpdate{{Upstream: "e", Weights: 3, LoadingMS: -1}}, Crashes: []CrashReport{{Workspace: "ws", Fingerprint: 1 << 63, Upstream: "e", Incarnation: 2}},
		StoreOK: true, UpstreamVersion: 8, Unresponsive: []string{"x"}, PromptParts: map[string][]uint64{"e": {1 << 62}},
	}
	in.Prefill = map[string]int{"e": 9}
	b, err := encodeMessage(in)
	is.NoErr(err)
	out, err := decodeMessage(b)
	is.NoErr(err)
	is.Equal(out, in)
}

// TestEarlierBuildReadsMessages decodes a message into the fields that the build before
// the roll-outs had.
func TestEarlierBuildReadsMessages(t *testing.T) {
	is := is.New(t)
	in := &Message{Name: "n1", Boot: 3, Seq: 9, WeightsVersion: 4, Extension: Extension{
		RolloutVersion: 8, Rollouts: []RolloutUpdate{{Service: "s", Order: "v2", Stage: 2, Fence: 6}},
		ReleaseResults: []ReleaseResult{{Service: "s", Release: "v2", Failed: true, FirstUS: 70}},
		Work:           []ServiceWork{{Service: "s", Outstanding: 900, Waiting: 40, Demand: 0.5}},
	}}
	b, err := encodeMessage(in)
	is.NoErr(err)
	out, err := decodeMessage(b)
	is.NoErr(err)
	is.Equal(out.Work, in.Work)
	var earlier struct {
		Name            string
		Boot            uint64
		Seq             uint64
		Ready           bool
		Leaving         bool
		ConfigVersion   uint64
		Fence           uint64
		InFlight        map[string]int
		QuotaSpent      map[string]float64
		QuotaLevels     map[string]float64
		Engines         []EngineUpdate
		Crashes         []CrashReport
		Callers         string
		StoreOK         bool
		UpstreamVersion uint64
		Unresponsive    []string
		PromptParts     map[string][]uint64
		WeightsVersion  uint64
	}
	is.NoErr(decode(b, &earlier))
	is.Equal(earlier.Name, "n1")
	is.Equal(earlier.WeightsVersion, uint64(4))
	m, err := decodeMessage(b)
	is.NoErr(err)
	is.Equal(m, in)
	b, err = encode(&earlier)
	is.NoErr(err)
	m, err = decodeMessage(b)
	is.NoErr(err)
	is.Equal(m.WeightsVersion, uint64(4))
	is.Equal(len(m.Rollouts), 0)
}

// A node of a build without learned rates decodes a message that has them, and this build
// decodes messages whose rates are no numbers or are those of a later build.
func TestBuildsWithoutRates(t *testing.T) {
	is := is.New(t)
	in := &Message{Name: "n", Boot: 1, Extension: Extension{RolloutVersion: 4, Rates: []ServiceRates{{Service: "s", PrefillPerMS: 36.1, Samples: 70}}}}
	b, err := encodeMessage(in)
	is.NoErr(err)
	m, err := decodeMessage(b)
	is.NoErr(err)
	is.Equal(m, in)
	type before struct {
		RolloutVersion uint64 `msgpack:"rollout_version,omitempty"`
		StoreFailing   bool   `msgpack:"store_failing,omitempty"`
	}
	ext, err := msgpack.Marshal(&in.Extension)
	is.NoErr(err)
	var old before
	is.NoErr(msgpack.Unmarshal(ext, &old))
	is.Equal(old.RolloutVersion, uint64(4))
	head, err := encode(&Message{Name: "n", Boot: 1})
	is.NoErr(err)
	for _, x := range []any{
		&before{RolloutVersion: 4},
		map[string]any{"rollout_version": 4, "rates": []map[string]any{{"service": "s", "prefill_per_ms": math.NaN(), "steps": []int{1}}}},
		map[string]any{"rollout_version": 4, "rates": nil},
	} {
		ext, err := msgpack.Marshal(x)
		is.NoErr(err)
		m, err := decodeMessage(append(slices.Clone(head), ext...))
		is.NoErr(err)
		is.Equal(m.RolloutVersion, uint64(4))
	}
}

// A node of a build without the reports on prompt parts decodes a message that has them,
// and its own messages are decoded by this build.
func TestBuildsWithoutPromptParts(t *testing.T) {
	is := is.New(t)
	type before struct {
		Name                 string
		Boot, Seq            uint64
		Ready, Leaving       bool
		ConfigVersion, Fence uint64
		InFlight             map[string]int
		QuotaSpent           map[string]float64
		QuotaLevels          map[string]float64
		Engines              []EngineUpdate
		Crashes              []CrashReport
		Callers              string
		StoreOK              bool
		UpstreamVersion      uint64
		Unresponsive         []string
		PromptParts          map[string][]uint64
		WeightsVersion       uint64
	}
	b, err := encodeMessage(&Message{Name: "n", Boot: 1, WeightsVersion: 7, Extension: Extension{
		PartCrashes: []PartCrash{{Upstream: "u", Incarnation: 2, Workspace: 3, Parts: []uint64{4, 5}, AgeMS: 6}},
		PartClears:  []uint64{8}, Convictions: []Conviction{{Part: 9, Workspaces: []uint64{3}, AgeMS: 10}},
	}})
	is.NoErr(err)
	var old before
	is.NoErr(decode(b, &old))
	is.Equal(old.WeightsVersion, uint64(7))
	m, err := decodeMessage(b)
	is.NoErr(err)
	is.Equal(m.Extension.PartCrashes[0].Parts, []uint64{4, 5})
	is.Equal(m.Extension.Convictions[0].AgeMS, 10)
	b, err = encode(&before{Name: "n", Boot: 1, WeightsVersion: 7})
	is.NoErr(err)
	m, err = decodeMessage(b)
	is.NoErr(err)
	is.Equal(m.WeightsVersion, uint64(7))
	is.Equal(len(m.Extension.Convictions), 0)
}

func TestOldMessagesAreIgnored(t *testing.T) {
	m := newSite(2)
	for _, tt := range []struct {
		name      string
		boot, seq uint64
		taken     bool
	}{
		{"first", 1, 5, true},
		{"repeated", 1, 5, false},
		{"older", 1, 4, false},
		{"newer", 1, 6, true},
		{"restarted", 2, 1, true},
		{"from before the restart", 1, 9, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(m.recordSender(begin, &Message{Name: "n1", Boot: tt.boot, Seq: tt.seq}), tt.taken)
		})
	}
	is := is.New(t)
	is.True(!m.recordSender(begin, &Message{Name: "stranger", Boot: 1, Seq: 1}))
}

// A node whose record arrives before the first message of its restart is heard at once.
func TestRestartedNodeIsNotHeardAfterItsRecord(t *testing.T) {
	is := is.New(t)
	m := newSite(3)
	is.True(m.recordSender(begin, &Message{Name: "n1", Boot: 1, Seq: 70}))
	m.SetPeers(map[string]vane.PeerRecord{"n1": {Name: "n1", Mesh: "n1:1", Boot: 2}})
	is.True(m.recordSender(begin, &Message{Name: "n1", Boot: 2, Seq: 1}))
	is.True(!m.recordSender(begin, &Message{Name: "n1", Boot: 2, Seq: 1}))
}

// A node that restarts after its clock was set back is heard once its earlier start is not
// alive any more.
func TestRestartWithAnEarlierBootNumberIsNotHeard(t *testing.T) {
	is := is.New(t)
	m := newSite(3)
	begin := time.Now()
	m.now = func() time.Time { return begin }
	is.True(m.recordSender(begin, &Message{Name: "n1", Boot: 10, Seq: 70}))
	is.True(!m.recordSender(begin.Add(aliveTimeout/2), &Message{Name: "n1", Boot: 4, Seq: 1}))
	later := begin.Add(aliveTimeout)
	m.now = func() time.Time { return later }
	m.SetPeers(map[string]vane.PeerRecord{"n1": {Name: "n1", Mesh: "new:1", Boot: 4}})
	is.True(m.recordSender(later, &Message{Name: "n1", Boot: 4, Seq: 2}))
	is.True(!m.recordSender(later, &Message{Name: "n1", Boot: 4, Seq: 2}))
	is.Equal(m.peers["n1"].Mesh, "new:1")
	is.True(m.alive(m.peers["n1"], later))
}

func TestAlive(t *testing.T) {
	is := is.New(t)
	m := newSite(7)
	m.recordSender(begin, &Message{Name: "n1", Boot: 1, Seq: 1})
	is.True(m.alive(m.peers["n1"], begin.Add(time.Second)))
	is.True(!m.alive(m.peers["n1"], begin.Add(1400*time.Millisecond)))
	is.True(!m.alive(m.peers["n2"], begin))
	large := newSite(80)
	large.recordSender(begin, &Message{Name: "n1", Boot: 1, Seq: 1})
	is.True(large.alive(large.peers["n1"], begin.Add(2*MaxInterval(80))))
}

// A node fetches a snapshot only from a peer that has been ahead for some time, because
// the store's own watch usually delivers the change first.
func TestPeerAhead(t *testing.T) {
	is := is.New(t)
	m := newSite(3)
	m.recordSender(begin, &Message{Name: "n1", Boot: 1, Seq: 1, ConfigVersion: 6})
	_, ok := m.peerAhead(begin.Add(aheadDelay / 2))
	is.True(!ok)
	addr, ok := m.peerAhead(begin.Add(aheadDelay + time.Millisecond))
	is.True(ok)
	is.Equal(addr, "n1:1")
	m.recordSender(begin.Add(time.Second), &Message{Name: "n1", Boot: 1, Seq: 2, ConfigVersion: 5})
	_, ok = m.peerAhead(begin.Add(1100 * time.Millisecond))
	is.True(!ok)
}

// A node of a large site that watches the store with delay fetches a newer
// configuration from a peer at once.
func TestDelayedWatcherFetchesAtOnce(t *testing.T) {
	is := is.New(t)
	m := newSite(80)
	now := time.Now()
	for name := range m.peers {
		m.recordSender(now, &Message{Name: name, Boot: 1, Seq: 1, ConfigVersion: 5, UpstreamVersion: 5})
	}
	if m.IsPromptWatcher() {
		t.Fatal("the name of node 0 makes it a prompt watcher; choose another name")
	}
	m.recordSender(now, &Message{Name: "n7", Boot: 1, Seq: 2, ConfigVersion: 6, UpstreamVersion: 5})
	select {
	case <-m.fetchNow:
	default:
		t.Fatal("no snapshot is requested")
	}
	addr, ok := m.peerAhead(now)
	is.True(ok)
	is.Equal(addr, "n7:1")
	m.resetAhead(addr, false)
	_, ok = m.peerAhead(now)
	is.True(!ok) // not again before the peer's next message
}

// All nodes of a small site watch the store without delay. In a large site a few do,
// and each node finds out on its own whether it is one of them.
func TestPromptWatchers(t *testing.T) {
	is := is.New(t)
	is.True(newSite(7).IsPromptWatcher())
	const n = 81
	count := 0
	for i := range n {
		m := New(vane.PeerRecord{Name: fmt.Sprintf("n%d", i), Boot: 1}, Deps{Versions: func() mirror.Versions { return mirror.Versions{} }, Log: slog.New(slog.DiscardHandler)})
		records := map[string]vane.PeerRecord{}
		for j := range n {
			name := fmt.Sprintf("n%d", j)
			records[name] = vane.PeerRecord{Name: name, Mesh: "x", Boot: 1}
		}
		m.SetPeers(records)
		for name := range m.peers {
			m.recordSender(time.Now(), &Message{Name: name, Boot: 1, Seq: 1})
		}
		if m.IsPromptWatcher() {
			count++
		}
	}
	is.Equal(count, promptWatchers)
}

func FuzzDecode(f *testing.F) {
	b, err := encode(&Message{Name: "n", Boot: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0x91})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeMessage(b)
		var e envelope
		_ = decode(b, &e)
	})
}

func BenchmarkMessage(b *testing.B) {
	m := &Message{Name: "n1", Boot: 7, Seq: 3, InFlight: map[string]int{}, QuotaSpent: map[string]float64{}}
	for i := range 20 {
		m.InFlight[fmt.Sprintf("i-%08d", i)] = i
		m.QuotaSpent[fmt.Sprintf("ws%d", i)] = float64(i)
	}
	for b.Loop() {
		d, err := encode(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeMessage(d); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(d)), "bytes")
	}
}

// Nodes that the store does not answer are replaced as prompt watchers by as many others.
func TestPromptWatchersThatTheStoreRefuses(t *testing.T) {
	is := is.New(t)
	const n = 81
	records := map[string]vane.PeerRecord{}
	for j := range n {
		name := fmt.Sprintf("n%d", j)
		records[name] = vane.PeerRecord{Name: name, Mesh: "x", Boot: 1}
	}
	watchers := func(seq uint64, failing map[string]bool) map[string]bool {
		out := make(map[string]bool)
		for name, r := range records {
			m := New(r, Deps{Versions: func() mirror.Versions { return mirror.Versions{} }, Log: slog.New(slog.DiscardHandler)})
			m.SetPeers(records)
			for peer := range m.peers {
				m.recordSender(time.Now(), &Message{Name: peer, Boot: 1, Seq: seq, Extension: Extension{StoreFailing: failing[peer]}})
			}
			if m.IsPromptWatcher() && !failing[name] {
				out[name] = true
			}
		}
		return out
	}
	first := watchers(1, nil)
	is.Equal(len(first), promptWatchers)
	second := watchers(1, first)
	is.Equal(len(second), promptWatchers)
	for name := range second {
		is.True(!first[name])
	}
}

// The wall clock from which boot numbers are taken may be set back between two starts. The other
// nodes ignored the messages of the later start for up to twelve seconds in a large site.
func TestBootNumberBelowThatOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	m, other := newSite(2), newSite(2)
	is.True(other.recordSender(begin, &Message{Name: "n1", Boot: 10, Seq: 70}))
	m.self = vane.PeerRecord{Name: "n1", Boot: 4}
	records := map[string]vane.PeerRecord{"n1": {Name: "n1", Mesh: "n1:1", Boot: 10}, "n2": {Name: "n2", Mesh: "n2:1", Boot: 1}}
	m.SetPeers(records) // before the first message, which needs the addresses
	is.Equal(m.self.Boot, uint64(11))
	other.now = func() time.Time { return begin }
	is.True(other.recordSender(begin, &Message{Name: "n1", Boot: m.self.Boot, Seq: 1}))
	records["n1"] = m.self
	m.SetPeers(records) // its own record
	is.Equal(m.self.Boot, uint64(11))
}
