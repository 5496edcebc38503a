package main

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"k8s.io/klog/v2"

	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/trace"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	testscript.Main(m, map[string]func(){"vanectl": main})
}

// TestSessions runs each script in testdata against a fleet of two nodes and two
// simulated engines, and compares the output of vanectl.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f, err := bench.Start(context.Background(), bench.WithNodes(2), bench.WithEngines(2, engine.WithSpeed(4_000_000, time.Millisecond)))
			if err != nil {
				return err
			}
			env.Defer(f.Close)
			env.Values["fleet"] = f
			env.Setenv("VANE_PLATFORM", f.PlatformURL())
			env.Setenv("VANE_NODES", f.Nodes[0].AdminAddr()+","+f.Nodes[1].AdminAddr())
			env.Setenv("CALLERS", f.Nodes[0].Addr())
			env.Setenv("KEY_HASH", config.HashKey(bench.KeyOf("w1")))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value("fleet").(*bench.Fleet).Platform.SetFaults(plat.Faults{Down: args[0] == "down"})
			},
			"send":   send,
			"settle": settle,
			"expand": expand,
		},
	})
}

// settle implements the script command "settle": it waits until the nodes hold all
// leases and every node holds a share of each workspace's budget.
func settle(ts *testscript.TestScript, _ bool, _ []string) {
	f := ts.Value("fleet").(*bench.Fleet)
	ts.Check(f.AwaitLeases(context.Background()))
	ts.Check(f.AwaitShares(context.Background(), f.Nodes[0].Config().Fleet))
}

// send implements the script command "send WORKSPACE small|large": it sends one
// request with a prompt of 100 or 50,000 tokens, and puts the request's id into the
// variable REQUEST. With "!" the request must fail.
func send(ts *testscript.TestScript, neg bool, args []string) {
	f := ts.Value("fleet").(*bench.Fleet)
	c := bench.NewCaller()
	defer c.Close()
	tokens := map[string]int{"small": 100, "large": 50_000}[args[1]]
	r := c.Send(context.Background(), f.Nodes[0].Addr(), bench.KeyOf(args[0]), trace.Request{
		Workspace: args[0], Model: bench.ModelName, Question: trace.Part{Name: "q", Tokens: tokens}, MaxTokens: 4, Stream: true,
	})
	if r.Complete == neg {
		ts.Fatalf("complete %v, status %d, reason %s", r.Complete, r.Status, r.Reason)
	}
	ts.Setenv("REQUEST", r.RequestID)
}

// expand implements the script command "expand FILE": it replaces the variables in
// the file by their values.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
