package bench_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/trace"
)

// startMove starts a fleet with two engines of version v1 and two of version v2, which
// have the given faults, and starts the move of all traffic from v1 to v2. It returns
// the fleet and its configuration.
func startMove(t *testing.T, faults engine.Faults) (*bench.Fleet, *config.Fleet) {
	t.Helper()
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(2), bench.WithEngines(4, fastEngine()...))
	for _, e := range f.Engines[2:] {
		e.SetVersion("v2")
		e.SetFaults(faults)
	}
	f.PublishHosts()
	fleet := bench.DefaultFleet("w1", "w2")
	fleet.Models[0].Version = "v1"
	is.NoErr(f.Apply(t.Context(), fleet))
	eventually(t, "the move to v1 is done", func() bool { return stage(f) == "done" })
	next := bench.DefaultFleet("w1", "w2")
	next.Models[0].Version = "v2"
	_, err := admin.Apply(t.Context(), f.Store, next, admin.AnyRevision)
	is.NoErr(err)
	eventually(t, "every node moves to v2", func() bool { return target(f) == "v2" })
	return f, next
}

// stage returns the stage of the move, or "" if a node has no move or the nodes differ.
func stage(f *bench.Fleet) string {
	out := ""
	for _, n := range f.Nodes {
		ms := n.Status().Moves
		if len(ms) == 0 || (out != "" && out != ms[0].Stage.String()) {
			return ""
		}
		out = ms[0].Stage.String()
	}
	return out
}

// target returns the version that the nodes move to, or "" if a node has no move or the
// nodes differ.
func target(f *bench.Fleet) string {
	out := ""
	for _, n := range f.Nodes {
		ms := n.Status().Moves
		if len(ms) == 0 || (out != "" && out != ms[0].To) {
			return ""
		}
		out = ms[0].To
	}
	return out
}

// startTraffic sends requests to the fleet in the background. The function stop ends the
// traffic and returns its report.
func startTraffic(t *testing.T, f *bench.Fleet) (stop func() *bench.Report) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *bench.Report, 1)
	sh := twoWorkspaces(40_000)
	sh.Rate, sh.RootTokens, sh.DocTokens = 250, 400, 400
	reqs := trace.Generate(sh)
	go func() { done <- f.Drive(ctx, reqs, nil) }()
	return func() *bench.Report { cancel(); return <-done }
}

// requestCount returns the number of requests that the engines with the given version
// of the weights have run.
func requestCount(f *bench.Fleet, version string) int {
	n := 0
	for _, e := range f.Engines {
		if e.Version() == version {
			n += len(e.Log())
		}
	}
	return n
}

// TestBadVersionIsRolledBack moves traffic to a version that breaks its streams off. The
// move must be rolled back after a few requests. From then on the version must get
// none, also from a node that starts while the platform is down.
func TestBadVersionIsRolledBack(t *testing.T) {
	is := is.New(t)
	f, _ := startMove(t, engine.Faults{CutAfterTokens: 2})
	stop := startTraffic(t, f)
	eventually(t, "the move is rolled back", func() bool { return stage(f) == "taken_back" })
	rep := stop()
	is.Equal(rep.Mismatches, nil) // every caller still got its complete response
	bad, good := requestCount(f, "v2"), requestCount(f, "v1")
	t.Logf("%d requests reached the failing version, %d the good one", bad, good)
	is.True(bad <= 20) // a few requests suffice to roll the move back
	for _, m := range f.Nodes[0].Status().Moves {
		is.Equal(m.Reason.String(), "version_fails") // the status names the reason
	}
	f.Platform.SetFaults(plat.Faults{Down: true})
	f.KillNode(1)
	is.NoErr(f.StartNode(t.Context(), 1))
	eventually(t, "the restarted node knows that the move was rolled back", func() bool { return stage(f) == "taken_back" })
	eventually(t, "the restarted node is ready and has confirmed its keys", func() bool { return f.Nodes[1].Status().Keys.Confirmed && f.Nodes[1].Status().Ready })
	before := requestCount(f, "v2")
	f.Drive(t.Context(), trace.Generate(twoWorkspaces(100)), nil)
	is.Equal(requestCount(f, "v2"), before) // the failing version gets no request from either node
}

// TestGoodVersionCarriesTheTraffic moves traffic to a version that works as well as the
// old one, and kills and restarts a node during the move. The move must still complete.
func TestGoodVersionCarriesTheTraffic(t *testing.T) {
	is := is.New(t)
	f, _ := startMove(t, engine.Faults{})
	stop := startTraffic(t, f)
	eventually(t, "the move reaches the stage tenth", func() bool { return stage(f) == "tenth" })
	f.KillNode(0)
	is.NoErr(f.StartNode(t.Context(), 0))
	awaitMoveDone(t, f)
	stop()
	before := requestCount(f, "v1")
	is.Equal(f.Drive(t.Context(), trace.Generate(twoWorkspaces(50)), nil).Mismatches, nil)
	is.Equal(requestCount(f, "v1"), before) // the old version gets no further requests
}

// awaitMoveDone polls until the move is done on all nodes, for 40 s or more. If it is
// not, it logs every node's moves and fails the test.
func awaitMoveDone(t *testing.T, f *bench.Fleet) {
	t.Helper()
	for range 4 {
		if stage(f) != "done" {
			pollQuietly(t, func() bool { return stage(f) == "done" })
		}
	}
	if stage(f) != "done" {
		for _, n := range f.Nodes {
			for _, m := range n.Status().Moves {
				t.Logf("node %s: move %+v", n.Status().Node, m)
			}
		}
	}
	is.New(t).Equal(stage(f), "done")
}
