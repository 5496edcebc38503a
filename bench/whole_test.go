package bench_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/trace"
)

// fastEngine returns options for engines with short prefill and decode times.
func fastEngine() []engine.Option {
	return []engine.Option{engine.WithSpeed(4_000_000, 200*time.Microsecond), engine.WithCache(4000, 64)}
}

// startFleet starts a fleet with workspaces w1 and w2 and closes it after the test.
func startFleet(t *testing.T, opts ...bench.Option) *bench.Fleet {
	t.Helper()
	is := is.New(t)
	opts = append([]bench.Option{bench.WithEngines(3, fastEngine()...)}, opts...)
	f, err := bench.Start(t.Context(), opts...)
	is.NoErr(err)
	t.Cleanup(f.Close)
	is.NoErr(f.Apply(t.Context(), bench.DefaultFleet("w1", "w2")))
	return f
}

// twoWorkspaces is the shape of a trace of n requests from workspaces w1 and w2.
func twoWorkspaces(n int) trace.Shape {
	return trace.Shape{
		Seed: 7, Requests: n, Rate: 400, Model: bench.ModelName, MaxTokens: 12,
		Workspaces: []trace.WorkspaceShare{{Name: "w1", Share: 1}, {Name: "w2", Share: 1}},
	}
}

// TestCompleteResponses drives streams through all parts of a fleet. Every caller must
// get its complete response.
func TestCompleteResponses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	rep := f.Drive(t.Context(), trace.Generate(twoWorkspaces(60)), nil)
	is.Equal(rep.Mismatches, nil)           // every response has the expected tokens in order
	is.Equal(rep.Reasons, map[string]int{}) // no request is refused
	is.Equal(rep.Complete, 60)
	is.True(rep.HitRate > 0) // engines reuse cached prefixes
}

// TestPlainResponse requests responses without streaming.
func TestPlainResponse(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	reqs := trace.Generate(twoWorkspaces(4))
	for i := range reqs {
		reqs[i].Stream = false
	}
	rep := f.Drive(t.Context(), reqs, nil)
	is.Equal(rep.Complete, 4)
}

// TestDrainFailsNoRequest drains a node under load. No request may fail as long as the
// callers ask for entry addresses before each request, as the platform's callers do.
func TestDrainFailsNoRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(2), bench.WithSettings(func(s *config.Settings) { s.Drain.EntriesTTL = 2 * time.Second }))
	c := bench.NewCaller()
	defer c.Close()
	sh := twoWorkspaces(300)
	sh.Rate = 50 // requests per second; the trace has to last longer than the drain
	reqs := trace.Generate(sh)
	results := make(chan bench.Result, len(reqs))
	underLoad := make(chan struct{})
	for i, r := range reqs {
		go func() {
			time.Sleep(time.Duration(r.AtMS) * time.Millisecond)
			if i == len(reqs)/4 {
				close(underLoad)
			}
			addrs, err := c.EntryAddresses(context.Background(), f.Nodes[1].Addr())
			if err != nil || len(addrs) == 0 {
				results <- bench.Result{Reason: fmt.Sprint("no entry addresses: ", err)}
				return
			}
			results <- c.Send(context.Background(), addrs[i%len(addrs)], bench.KeyOf(r.Workspace), r)
		}()
	}
	<-underLoad
	is.NoErr(f.Nodes[0].Drain(t.Context()))
	for range reqs {
		r := <-results
		is.Equal(r.Reason, "")
		is.True(r.Complete)
	}
}

func TestNoGoroutineIsLeft(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	f, err := bench.Start(t.Context(), bench.WithEngines(2, fastEngine()...))
	is.NoErr(err)
	is.NoErr(f.Apply(t.Context(), bench.DefaultFleet("w1", "w2")))
	rep := f.Drive(t.Context(), trace.Generate(twoWorkspaces(10)), nil)
	is.Equal(rep.Complete, 10)
	f.Close()
}
