package bench_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/trace"
)

// eventually polls f every 2 ms until it returns true. The test fails after 20 s with
// the awaited condition.
func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for !f() {
		select {
		case <-time.After(2 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("timed out after 20 s waiting until %s", condition)
		}
	}
}

// pollQuietly polls f every 10 ms until it returns true, at most 1000 times. It does
// not fail the test.
func pollQuietly(t *testing.T, f func() bool) {
	t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestFaultyEngines injects one kind of fault into one of two engines. Every caller
// must still get its complete response.
func TestFaultyEngines(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults engine.Faults
	}{
		{"status 500", engine.Faults{FailShare: 1}},
		{"empty body", engine.Faults{EmptyShare: 1}},
		{"completion id of another request", engine.Faults{WrongIDShare: 1}},
		{"breaks streams off", engine.Faults{CutAfterTokens: 3}},
		{"sends malformed events", engine.Faults{MalformedEvent: true}},
		{"is draining", engine.Faults{Draining: true}},
	} {
		for _, streamed := range []bool{true, false} {
			name := tt.name + ", plain"
			if streamed {
				name = tt.name + ", streamed"
			}
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				f := startFleet(t, bench.WithNodes(1), bench.WithEngines(2, fastEngine()...))
				f.Engines[0].SetFaults(tt.faults)
				reqs := trace.Generate(twoWorkspaces(12))
				for i := range reqs {
					reqs[i].Stream = streamed
				}
				rep := f.Drive(t.Context(), reqs, nil)
				is.Equal(rep.Mismatches, nil)
				is.Equal(rep.Reasons, map[string]int{})
				is.Equal(rep.Complete, len(reqs))
			})
		}
	}
}

// TestEngineKilledMidStream kills the engine that generates a stream. Another engine
// must resume it, and the caller must get every token once and in order.
func TestEngineKilledMidStream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1), bench.WithEngines(2, engine.WithSpeed(4_000_000, 4*time.Millisecond)))
	req := trace.Generate(twoWorkspaces(1))[0]
	req.MaxTokens = 200
	done := make(chan bench.Result, 1)
	c := bench.NewCaller()
	defer c.Close()
	go func() { done <- c.Send(t.Context(), f.Nodes[0].Addr(), bench.KeyOf(req.Workspace), req) }()
	busy := func() *bench.Engine {
		for _, e := range f.Engines {
			if log := e.Log(); len(log) > 0 && log[0].GeneratedTokens > 20 {
				return e
			}
		}
		return nil
	}
	eventually(t, "an engine has sent more than 20 tokens", func() bool { return busy() != nil })
	busy().Kill()
	r := <-done
	is.Equal(r.Mismatch, "")
	is.True(r.Complete)
	is.Equal(r.Tokens, req.MaxTokens)
	resumed := 0
	for _, e := range f.Engines {
		for _, l := range e.Log() {
			if l.ResumeOffset > 0 {
				resumed++
			}
		}
	}
	is.Equal(resumed, 1) // the other engine resumed the stream where the first one stopped
}

// TestNodeKilledMidStream kills a node while a caller reads a stream from it. The
// caller must see that the stream is incomplete, and be able to resume it at another
// node with Last-Event-ID, but not for a different request.
func TestNodeKilledMidStream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(2), bench.WithEngines(2, engine.WithSpeed(4_000_000, 4*time.Millisecond)))
	req := trace.Generate(twoWorkspaces(1))[0]
	req.MaxTokens = 200
	c := bench.NewCaller()
	defer c.Close()
	done := make(chan bench.Result, 1)
	go func() { done <- c.Send(t.Context(), f.Nodes[0].Addr(), bench.KeyOf(req.Workspace), req) }()
	eventually(t, "an engine has sent more than 20 tokens", func() bool {
		for _, e := range f.Engines {
			if log := e.Log(); len(log) > 0 && log[0].GeneratedTokens > 20 {
				return true
			}
		}
		return false
	})
	f.KillNode(0)
	first := <-done
	is.Equal(first.Reason, "cut") // a truncated stream must not look complete
	is.True(!first.Complete)
	is.True(first.Tokens > 0)
	second := c.SendFrom(t.Context(), f.Nodes[1].Addr(), bench.KeyOf(req.Workspace), req, first.LastEventID, first.Tokens)
	is.Equal(second.Mismatch, "")
	is.Equal(second.Reason, "")
	is.True(second.Complete) // the tokens continue exactly after those of the first part
	is.Equal(first.Tokens+second.Tokens, req.MaxTokens)

	other := req
	other.Question.Name = "another question"
	bad := c.SendFrom(t.Context(), f.Nodes[1].Addr(), bench.KeyOf(req.Workspace), other, first.LastEventID, 0)
	is.Equal(bad.Reason, "resume_invalid")
	is.Equal(bad.Execution, "not_run")
}

// TestLeavingEngineGetsNoNewWork lets an engine announce that it is draining while
// the platform still lists it as live. Every node must believe the engine and send it
// no further requests.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(2), bench.WithEngines(3, fastEngine()...))
	leaving := f.Engines[0]
	is.Equal(f.Drive(t.Context(), trace.Generate(twoWorkspaces(20)), nil).Complete, 20)
	leaving.SetFaults(engine.Faults{Draining: true})
	eventually(t, "every node lists the engine as leaving", func() bool {
		for _, n := range f.Nodes {
			for _, u := range n.Status().Upstreams {
				if u.Name == leaving.Name && u.State.String() != "leaving" {
					return false
				}
			}
		}
		return true
	})
	before := len(leaving.Headers())
	is.Equal(f.Drive(t.Context(), trace.Generate(twoWorkspaces(40)), nil).Complete, 40)
	chats := 0
	for _, h := range leaving.Headers()[before:] {
		if h.Get("X-Workspace") != "" {
			chats++
		}
	}
	is.Equal(chats, 0)
}

// TestCrashingRequest repeatedly sends a request that crashes every engine that runs
// it, to each node in turn. After two crashes, all nodes must refuse the request.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(3), bench.WithEngines(6, fastEngine()...))
	crashing := trace.Generate(twoWorkspaces(1))[0]
	crashing.Question = trace.Part{Name: "poison", Tokens: 50}
	for _, e := range f.Engines {
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	c := bench.NewCaller()
	defer c.Close()
	crashed := func() int {
		n := 0
		for _, e := range f.Engines {
			if !e.Alive() {
				n++
			}
		}
		return n
	}
	r := c.Send(t.Context(), f.Nodes[0].Addr(), bench.KeyOf(crashing.Workspace), crashing)
	is.Equal(r.Reason, "suspect_request")
	is.Equal(r.Execution, "may_have_run")
	is.Equal(crashed(), 2)
	eventually(t, "every node refuses the request", func() bool {
		for _, n := range f.Nodes {
			if n.SuspectRequests() == 0 {
				return false
			}
		}
		return true
	})
	for i := range 9 {
		r := c.Send(t.Context(), f.Nodes[i%3].Addr(), bench.KeyOf(crashing.Workspace), crashing)
		is.Equal(r.Reason, "suspect_request")
		is.Equal(r.Execution, "not_run")
	}
	is.Equal(crashed(), 2) // no crash beyond the first two, however often the request is sent
	is.Equal(f.Drive(t.Context(), trace.Generate(twoWorkspaces(20)), nil).Complete, 20)
}
