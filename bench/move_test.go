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

// moving starts a fleet of engines with v1 and some with v2, and has it move to v2.
func moving(t *testing.T, faults engine.Faults) (*bench.Fleet, *config.Fleet) {
	t.Helper()
	is := is.New(t)
	f := start(t, bench.WithNodes(2), bench.WithEngines(4, fast()...))
	for _, e := range f.Engines[2:] {
		e.SetVersion("v2")
		e.SetFaults(faults)
	}
	f.PublishHosts()
	fleet := bench.DefaultFleet("w1", "w2")
	fleet.Models[0].Version = "v1"
	is.NoErr(f.Apply(t.Context(), fleet))
	eventually(t, "the first version", func() bool { return stage(f) == "done" })
	next := bench.DefaultFleet("w1", "w2")
	next.Models[0].Version = "v2"
	_, err := admin.Apply(t.Context(), f.Store, next, admin.AnyRevision)
	is.NoErr(err)
	eventually(t, "the move", func() bool { return target(f) == "v2" })
	return f, next
}

// stage returns the stage of the move that all nodes agree on.
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

// target returns the version that all nodes move to.
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

// drive sends requests until the context ends, and returns a function that waits
// for the report.
func drive(t *testing.T, f *bench.Fleet) (stop func() *bench.Report) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *bench.Report, 1)
	sh := shape(40_000)
	sh.Rate, sh.RootTokens, sh.DocTokens = 250, 400, 400
	reqs := trace.Generate(sh)
	go func() { done <- f.Drive(ctx, reqs, nil) }()
	return func() *bench.Report { cancel(); return <-done }
}

// requests returns how many requests the engines of a version ran.
func requests(f *bench.Fleet, version string) int {
	n := 0
	for _, e := range f.Engines {
		if e.Version() == version {
			n += len(e.Log())
		}
	}
	return n
}

// TestBadVersionIsTakenBack moves to a version that breaks its streams. It must get
// a small share only, and nothing after the verdict, also from a node that starts
// while the platform is down.
func TestBadVersionIsTakenBack(t *testing.T) {
	is := is.New(t)
	f, _ := moving(t, engine.Faults{CutAfterTokens: 2})
	stop := drive(t, f)
	eventually(t, "the end of the move", func() bool { return stage(f) == "taken_back" })
	rep := stop()
	is.Equal(rep.Mismatches, nil) // every caller got its whole answer all the same
	bad, good := requests(f, "v2"), requests(f, "v1")
	t.Logf("%d requests reached the bad version, %d the good one", bad, good)
	is.True(bad <= 20) // a handful convicts
	for _, m := range f.Nodes[0].Status().Moves {
		is.Equal(m.Reason.String(), "version_fails") // and says why
	}
	f.Platform.SetFaults(plat.Faults{Down: true})
	f.KillNode(1)
	is.NoErr(f.StartNode(t.Context(), 1))
	eventually(t, "the node's word of the move", func() bool { return stage(f) == "taken_back" })
	eventually(t, "confirmed keys", func() bool { return f.Nodes[1].Status().Keys.Confirmed && f.Nodes[1].Status().Ready })
	before := requests(f, "v2")
	f.Drive(t.Context(), trace.Generate(shape(100)), nil)
	is.Equal(requests(f, "v2"), before) // nothing soon after, nor later
}

// TestGoodVersionCarriesTheTraffic moves to a version that is as good, with a node
// killed in the midst.
func TestGoodVersionCarriesTheTraffic(t *testing.T) {
	is := is.New(t)
	f, _ := moving(t, engine.Faults{})
	stop := drive(t, f)
	eventually(t, "the second stage", func() bool { return stage(f) == "tenth" })
	f.KillNode(0)
	is.NoErr(f.StartNode(t.Context(), 0))
	moveEnds(t, f)
	stop()
	before := requests(f, "v1")
	is.Equal(f.Drive(t.Context(), trace.Generate(shape(50)), nil).Mismatches, nil)
	is.Equal(requests(f, "v1"), before) // the old version gets nothing any more
}

// moveEnds waits until the move is done.
func moveEnds(t *testing.T, f *bench.Fleet) {
	t.Helper()
	for range 4 {
		if stage(f) != "done" {
			eventuallySoft(t, func() bool { return stage(f) == "done" })
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
