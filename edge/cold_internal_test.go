package edge

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/ramp"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/site"
	"mustardvane.org/vane/store"
)

// coldControl answers health checks for the cold time.
type coldControl struct {
	vane.EngineControl
	left  time.Duration
	known bool
	err   error
	calls int
}

func (c *coldControl) ColdLeft(context.Context, vane.Upstream, string) (time.Duration, bool, error) {
	c.calls++
	return c.left, c.known, c.err
}

// configDecoder decodes one configuration with a cold start, whatever the object is.
type configDecoder struct{ plainDecoder }

func (configDecoder) Config(vane.Object) (*site.Config, bool) {
	return site.New(1, site.WithServices(vane.Service{Name: "llm", HealthPath: "/ok", ColdStart: 3 * time.Second, ColdRate: 10})), true
}

func (configDecoder) Upstream(vane.Object) (vane.Upstream, bool) {
	return vane.Upstream{Name: "i-1", Service: "llm", Role: vane.RoleService, Incarnation: 1, Slots: 6, DataCentre: "dc0"}, true
}

// newColdNode returns a node that does not run, and knows one upstream.
func newColdNode(t *testing.T, c *coldControl) *Node {
	t.Helper()
	s := DefaultSettings()
	s.Node, s.DataCentre, s.IP, s.StoreAddr = "self", "dc0", "127.0.0.1", "127.0.0.1:1"
	s.CallerAddr, s.ReadyAddr, s.DirectoryAddr, s.MeshPort = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 4
	n, err := New(s, Adapter{Protocol: store.Native(), Decoder: configDecoder{}, Control: c}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.mirror.Import([]vane.Object{{Key: "config/main", Version: 1}, {Key: "servers/i-1", Version: 2}})
	return n
}

// picks reports whether the node may send a request to the upstream.
func (n *Node) picks() bool {
	_, ok := n.placer.Pick(clock.BootTime(), sched.Query{Service: "llm"})
	return ok
}

// Guards against an upstream that failed and stays without requests although its health check
// says that it is warm, and one that gets requests although the check says nothing or that it is cold.
func TestChecksAfterAFailure(t *testing.T) {
	for _, tt := range []struct {
		name    string
		control coldControl
		picks   bool
		reports int
	}{
		{"warm", coldControl{known: true}, true, 1},
		{"cold", coldControl{known: true, left: time.Minute}, false, 1},
		{"not stated", coldControl{}, false, 0},
		{"no answer", coldControl{err: context.DeadlineExceeded}, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newColdNode(t, &tt.control)
			is.True(n.picks())
			failed := clock.BootTime()
			n.placer.RecordFailure(failed.Add(-time.Second), "i-1") // the ejection is over
			is.True(!n.picks())
			ups := n.placer.ColdUpstreams(clock.BootTime())
			due := n.coldStarts.due(clock.BootTime(), ups)
			is.Equal(len(due), 1)
			is.Equal(len(n.coldStarts.due(clock.BootTime(), ups)), 0) // one check at a time
			n.coldStarts.check(context.Background(), due[0])
			is.Equal(n.picks(), tt.picks)
			n.coldStarts.active = true
			var m mesh.Message
			n.coldStarts.fill(clock.BootTime(), &m)
			is.Equal(len(m.Extension.Cold), tt.reports)
		})
	}
}

// Guards against messages of another node about an upstream that are not believed, or that
// outweigh a later failure.
func TestColdReportsOfOtherNodes(t *testing.T) {
	report := func(left, age int64) *mesh.Message {
		return &mesh.Message{Name: "other", Extension: mesh.Extension{Cold: []mesh.ColdReport{{Upstream: "i-1", LeftMS: left, AgeMS: age}}}}
	}
	for _, tt := range []struct {
		name   string
		failed time.Duration // how long ago; negative for never
		m      *mesh.Message
		picks  bool
	}{
		{"cold", -1, report(2000, 0), false},
		{"cold without end", -1, report(1<<62, 1<<62), false},
		{"warm after the failure", 2 * time.Second, report(0, 100), true},
		{"warm before the failure", 2 * time.Second, report(0, 2100), false},
		{"odd age", 2 * time.Second, report(0, -1<<62), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newColdNode(t, &coldControl{})
			now := clock.BootTime()
			if tt.failed >= 0 {
				n.placer.RecordFailure(now.Add(-tt.failed), "i-1")
			}
			n.coldStarts.receive(now, tt.m)
			is.Equal(n.picks(), tt.picks)
		})
	}
}

// Guards against checks by all nodes of a site, and none when the one that should check does
// not.
func TestOneNodeChecks(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("n", i))
	}
	names = append(names, "self")
	n := newColdNode(t, &coldControl{})
	now := clock.BootTime()
	mine, late := 0, 0
	for i := range 200 {
		u := sched.ColdUpstream{Upstream: vane.Upstream{Name: fmt.Sprint(i)}, Unknown: true, InService: true}
		n.coldStarts.doubtSince[u.Name] = now
		first, _ := ramp.First(names, u.Name)
		is.Equal(n.coldStarts.isDue(now, u, false, names), first == "self")
		if first == "self" {
			mine++
		}
		if n.coldStarts.isDue(now.Add(coldTakeover+1), u, false, names) {
			late++
		}
		u.Unknown = false
		is.Equal(n.coldStarts.isDue(now, u, true, names), first == "self")
		is.True(!n.coldStarts.isDue(now, u, false, names))
	}
	is.True(mine > 0 && mine < 40)
	is.Equal(late, 200)
}

// Guards against messages and checks at sites without a cold start.
func TestSitesWithoutColdStarts(t *testing.T) {
	is := is.New(t)
	c := &coldControl{known: true}
	n := newColdNode(t, c)
	v := *n.mirror.View()
	v.Config = site.New(2, site.WithServices(vane.Service{Name: "llm", HealthPath: "/ok"}))
	n.placer.Update(&v)
	n.placer.RecordFailure(clock.BootTime().Add(-time.Second), "i-1")
	n.coldStarts.tick(context.Background(), clock.BootTime())
	is.True(n.picks())
	var m mesh.Message
	n.coldStarts.fill(clock.BootTime(), &m)
	is.Equal(m.Extension.NodesVersion, uint64(0))
	is.Equal(len(m.Extension.Cold), 0)
	is.Equal(c.calls, 0)
	is.Equal(n.mirror.CompleteAsOf(mirror.NodeStatePrefix), time.Time{})
}
