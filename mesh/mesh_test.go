package mesh

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

var begin = time.Unix(6000, 0)

// site returns the mesh of node 0 in a site of n other nodes.
func site(n int) *Mesh {
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
		Name: "n1", Boot: 7, Seq: 3, Ready: true, ConfigVersion: 9, Fence: 4, InFlight: map[string]int{"e": 2}, Spent: map[string]float64{"ws": 1.5},
		Engines: []EngineNote{{Upstream: "e", Weights: 3, LoadingMS: -1}}, Crashes: []CrashNote{{Workspace: "ws", Fingerprint: 1 << 63, Upstream: "e", Incarnation: 2}},
		StoreOK: true, UpstreamVersion: 8, Aside: []string{"x"}, Reads: map[string][]uint64{"e": {1 << 62}},
	}
	b, err := encode(in)
	is.NoErr(err)
	out, err := decodeMessage(b)
	is.NoErr(err)
	is.Equal(out, in)
}

func TestOldMessagesAreIgnored(t *testing.T) {
	m := site(2)
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
			is.Equal(m.note(begin, &Message{Name: "n1", Boot: tt.boot, Seq: tt.seq}), tt.taken)
		})
	}
	is := is.New(t)
	is.True(!m.note(begin, &Message{Name: "stranger", Boot: 1, Seq: 1}))
}

func TestAlive(t *testing.T) {
	is := is.New(t)
	m := site(7)
	m.note(begin, &Message{Name: "n1", Boot: 1, Seq: 1})
	is.True(m.alive(m.peers["n1"], begin.Add(time.Second)))
	is.True(!m.alive(m.peers["n1"], begin.Add(1400*time.Millisecond)))
	is.True(!m.alive(m.peers["n2"], begin))
	large := site(80)
	large.note(begin, &Message{Name: "n1", Boot: 1, Seq: 1})
	is.True(large.alive(large.peers["n1"], begin.Add(2*Interval(80))))
}

// A node takes a snapshot only from one that has known more for some time: the
// store's own watch usually brings it first.
func TestAhead(t *testing.T) {
	is := is.New(t)
	m := site(3)
	m.note(begin, &Message{Name: "n1", Boot: 1, Seq: 1, ConfigVersion: 6})
	_, ok := m.ahead(begin.Add(behindTime / 2))
	is.True(!ok)
	addr, ok := m.ahead(begin.Add(behindTime + time.Millisecond))
	is.True(ok)
	is.Equal(addr, "n1:1")
	m.note(begin.Add(time.Second), &Message{Name: "n1", Boot: 1, Seq: 2, ConfigVersion: 5})
	_, ok = m.ahead(begin.Add(1100 * time.Millisecond))
	is.True(!ok)
}

// A node of a large site that does not follow the store promptly takes a newer
// configuration from another node at once.
func TestLateNodeAsksAtOnce(t *testing.T) {
	is := is.New(t)
	m := site(80)
	now := time.Now()
	for name := range m.peers {
		m.note(now, &Message{Name: name, Boot: 1, Seq: 1, ConfigVersion: 5, UpstreamVersion: 5})
	}
	if m.IsPromptWatcher() {
		t.Fatal("the name of node 0 makes it a prompt node; choose another")
	}
	m.note(now, &Message{Name: "n7", Boot: 1, Seq: 2, ConfigVersion: 6, UpstreamVersion: 5})
	select {
	case <-m.lag:
	default:
		t.Fatal("no snapshot is asked for")
	}
	addr, ok := m.ahead(now)
	is.True(ok)
	is.Equal(addr, "n7:1")
	m.pulled(addr, false)
	_, ok = m.ahead(now)
	is.True(!ok) // not again before it has spoken again
}

// All nodes of a small site follow the store promptly; in a large one a few do, and
// each node knows by itself whether it is one of them.
func TestPrompt(t *testing.T) {
	is := is.New(t)
	is.True(site(7).IsPromptWatcher())
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
			m.note(time.Now(), &Message{Name: name, Boot: 1, Seq: 1})
		}
		if m.IsPromptWatcher() {
			count++
		}
	}
	is.Equal(count, prompt)
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
	m := &Message{Name: "n1", Boot: 7, Seq: 3, InFlight: map[string]int{}, Spent: map[string]float64{}}
	for i := range 20 {
		m.InFlight[fmt.Sprintf("i-%08d", i)] = i
		m.Spent[fmt.Sprintf("ws%d", i)] = float64(i)
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
