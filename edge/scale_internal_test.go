package edge

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/site"
	"mustardvane.org/vane/store"
)

// plainDecoder decodes no objects.
type plainDecoder struct{}

func (plainDecoder) ConfigPrefix() string                       { return "config/" }
func (plainDecoder) UpstreamPrefix() string                     { return "servers/" }
func (plainDecoder) WeightsPrefix() string                      { return "versions/" }
func (plainDecoder) RolloutPrefix() string                      { return "rollouts/" }
func (plainDecoder) Config(vane.Object) (*site.Config, bool)    { return nil, false }
func (plainDecoder) Upstream(vane.Object) (vane.Upstream, bool) { return vane.Upstream{}, false }
func (plainDecoder) Weights(vane.Object) (vane.TargetWeights, bool) {
	return vane.TargetWeights{}, false
}
func (plainDecoder) Rollout(vane.Object) (vane.Rollout, bool) { return vane.Rollout{}, false }

// Size of a large site besides its nodes.
const (
	scaleEngines    = 256
	scaleWorkspaces = 40
)

// newScaleNode returns a node of a site with the given number of other nodes. It does not
// run.
func newScaleNode(b *testing.B, peers int) *Node {
	b.Helper()
	s := DefaultSettings()
	s.Node, s.DataCentre, s.IP, s.StoreAddr = "self", "dc0", "127.0.0.1", "127.0.0.1:1"
	s.CallerAddr, s.ReadyAddr, s.DirectoryAddr, s.MeshPort = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 4
	n, err := New(s, Adapter{Protocol: store.Native(), Decoder: plainDecoder{}}, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	v := &mirror.View{Upstreams: map[string]vane.Upstream{}, Peers: map[string]vane.PeerRecord{}}
	var opts []site.Option
	for i := range scaleWorkspaces {
		opts = append(opts, site.WithWorkspaces(vane.WorkspaceConfig{Workspace: fmt.Sprint("ws", i), Quota: vane.Quota{Rate: 1e6, Burst: 1e6}}))
	}
	v.Config = site.New(1, opts...)
	for i := range scaleEngines {
		name := engineName(i)
		v.Upstreams[name] = vane.Upstream{Name: name, Service: "llm", Model: "m", Role: vane.RoleEngine, Slots: 16, DataCentre: fmt.Sprint("dc", i%5), Incarnation: 1}
	}
	for i := range peers {
		name := fmt.Sprint("n", i)
		v.Peers[name] = vane.PeerRecord{Name: name, Mesh: fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200+1), DataCentre: fmt.Sprint("dc", i%5), Boot: 1, LinkMbps: 20}
	}
	n.placer.Update(v)
	n.mesh.SetPeers(v.Peers)
	n.quota.update(v, "self")
	for i := range peers {
		n.receive(time.Now(), scaleMessage(i, 1))
	}
	return n
}

// engineName returns the name of engine i.
func engineName(i int) string { return fmt.Sprintf("i-%08x", 77*i) }

// scaleMessage returns message seq of node i.
func scaleMessage(i, seq int) *mesh.Message {
	m := &mesh.Message{Name: fmt.Sprint("n", i), Boot: 1, Seq: uint64(seq), Ready: true, InFlight: map[string]int{}, QuotaSpent: map[string]float64{}}
	for k := range 4 {
		m.InFlight[engineName((i*4+k+seq)%scaleEngines)] = 1
	}
	for w := range scaleWorkspaces {
		m.QuotaSpent[fmt.Sprint("ws", w)] = float64(1000 * seq * (w % 3))
	}
	return m
}

// BenchmarkReceive applies a message of another node.
func BenchmarkReceive(b *testing.B) {
	for _, peers := range []int{20, 100, 300} {
		b.Run(fmt.Sprintf("%d nodes", peers), func(b *testing.B) {
			n := newScaleNode(b, peers)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				b.StopTimer()
				m := scaleMessage(i%peers, 2+i/peers)
				b.StartTimer()
				n.receive(time.Now(), m)
				i++
			}
		})
	}
}

// BenchmarkTake admits a request within a workspace's rate.
func BenchmarkTake(b *testing.B) {
	for _, peers := range []int{20, 100, 300} {
		b.Run(fmt.Sprintf("%d nodes", peers), func(b *testing.B) {
			n := newScaleNode(b, peers)
			b.ReportAllocs()
			for b.Loop() {
				n.quota.mu.Lock()
				n.quota.buckets.TakeAsOwner(time.Now(), "ws1", 1)
				n.quota.mu.Unlock()
			}
		})
	}
}

// BenchmarkCompose fills in a message to the other nodes.
func BenchmarkCompose(b *testing.B) {
	for _, peers := range []int{20, 100, 300} {
		b.Run(fmt.Sprintf("%d nodes", peers), func(b *testing.B) {
			n := newScaleNode(b, peers)
			b.ReportAllocs()
			for b.Loop() {
				n.compose(time.Now(), &mesh.Message{})
			}
		})
	}
}
