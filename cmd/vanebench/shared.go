package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/trace"
)

// budgets drives five workspaces, one at several times its rate, over eight nodes
// through a steady state, the crash of a node, and an outage of the platform in
// which half of the nodes are restarted. A meter at the engines looks for tokens
// over the limit; a model bucket tells which refusals were wrongful.
func budgets(ctx context.Context, l *lab) error {
	f, err := bench.Start(ctx, bench.WithNodes(8), bench.WithEngines(8, engine.WithSpeed(5e6, time.Millisecond), engine.WithSlots(64)))
	if err != nil {
		return err
	}
	defer f.Close()
	names := []string{"a", "b", "c", "d", "wild"}
	fleet := bench.DefaultFleet(names...)
	for i := range fleet.Workspaces {
		fleet.Workspaces[i].Rate, fleet.Workspaces[i].Burst = 100_000, 500_000
	}
	if err := f.Apply(ctx, fleet); err != nil {
		return err
	}
	phases := []struct {
		name string
		act  func() error
	}{
		{"steady", func() error { return nil }},
		{"a node crashes", func() error { f.KillNode(0); return nil }},
		{"it is back", func() error { return f.StartNode(ctx, 0) }},
		{"platform down, half restarted", func() error {
			f.Platform.SetFaults(plat.Faults{Down: true})
			for _, i := range []int{1, 3, 5, 7} {
				f.KillNode(i)
				if err := f.StartNode(ctx, i); err != nil {
					return err
				}
			}
			return nil
		}},
		{"platform back", func() error { f.Platform.SetFaults(plat.Faults{}); return nil }},
	}
	for k, p := range phases {
		done := make(chan error, 1)
		go func() {
			time.Sleep(2 * time.Second)
			done <- p.act()
		}()
		rep := f.Drive(ctx, budgetTrace(l.seed+uint64(k), names), nil)
		if err := <-done; err != nil {
			return err
		}
		l.wrongful(p.name, rep, fleet)
	}
	for _, m := range f.Meter(fleet) {
		l.note("all phases", m.Workspace+": tokens over the limit", m.OverLimit, "tokens")
	}
	return nil
}

// budgetTrace is 15 seconds of traffic in which the last workspace sends four
// times its rate and the others three quarters of theirs.
func budgetTrace(seed uint64, names []string) []trace.Request {
	const seconds, tokens = 15, 2000
	var out []trace.Request
	for i, n := range names {
		factor := 0.75
		if i == len(names)-1 {
			factor = 4
		}
		rate := factor * 100_000 / (tokens + 20)
		out = merge(out, trace.Generate(trace.Shape{
			Seed: seed*10 + uint64(i), Requests: int(rate * seconds), Rate: rate, Model: bench.ModelName, Roots: 1, Docs: 4,
			RootTokens: tokens / 2, DocTokens: tokens/2 - 200, QuestionTokens: 200, MaxTokens: 20, MaxTurns: 1, Workspaces: []trace.WorkspaceShare{{Name: n, Share: 1}},
		}))
	}
	return out
}

// wrongful notes the refusals that a workspace got though it was inside its rate
// and burst: those of the workspaces that never send more than their rate.
func (l *lab) wrongful(phase string, rep *bench.Report, _ *config.Fleet) {
	n, bad, wildN, wildBad := 0, 0, 0, 0
	reasons := map[string]int{}
	for _, r := range rep.Results {
		if r.Request.Workspace == "wild" {
			wildN++
			if !r.Complete {
				wildBad++
			}
			continue
		}
		n++
		if !r.Complete {
			bad++
			reasons[r.Reason]++
		}
	}
	l.note(phase, "wrongful refusals", 100*float64(bad)/float64(n), "%")
	for r, k := range reasons {
		l.note(phase, "of these "+r, float64(k), "requests")
	}
	l.note(phase, "wild one refused", 100*float64(wildBad)/float64(wildN), "%")
}

// withdraw measures how soon a configuration is in force on eight nodes, and how
// soon a withdrawn key stops working, at the first and at the last node.
func withdraw(ctx context.Context, l *lab) error {
	f, err := bench.Start(ctx, bench.WithNodes(8), bench.WithEngines(1))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet("w1")); err != nil {
		return err
	}
	var worst, worstGossip time.Duration
	for i := range 20 {
		fleet := bench.DefaultFleet("w1")
		fleet.Models = append(fleet.Models, config.Model{Name: fmt.Sprint("m", i)})
		begin := time.Now()
		if err := f.Apply(ctx, fleet); err != nil {
			return err
		}
		worst = max(worst, time.Since(begin))
	}
	l.noteTime("platform up", "in force on 8 nodes, worst of 20", worst)
	f.Platform.SetFaults(plat.Faults{Down: true})
	value, err := bench.DefaultFleet("w2").Encode()
	if err != nil {
		return err
	}
	rev := f.Nodes[0].Config().Revision + 1
	begin := time.Now()
	if _, err := f.Nodes[0].ApplyConfigIfNewer(rev, value); err != nil {
		return err
	}
	if err := f.AwaitRevision(ctx, rev); err != nil {
		return err
	}
	worstGossip = time.Since(begin)
	l.noteTime("platform down, one node knows", "in force on 8 nodes", worstGossip)
	for i, n := range f.Nodes {
		code, err := direct(ctx, "http://"+n.Addr()+"/v1/models", bench.KeyOf("w1"))
		if err != nil || code != http.StatusUnauthorized {
			return fmt.Errorf("node %d still answers %d to the withdrawn key: %v", i, code, err)
		}
	}
	return nil
}

// detect measures on eight nodes how soon a crashed one is taken out of the
// entry lists and how soon its budget shards have other holders.
func detect(ctx context.Context, l *lab) error {
	f, err := bench.Start(ctx, bench.WithNodes(8), bench.WithEngines(1))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet("w1")); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	gone := f.Nodes[3]
	addr := gone.Addr()
	f.KillNode(3)
	begin := time.Now()
	c := bench.NewCaller()
	defer c.Close()
	listed := func() bool {
		for i, n := range f.Nodes {
			if i == 3 {
				continue
			}
			addrs, err := c.EntryAddresses(ctx, n.Addr())
			if err != nil {
				return true
			}
			for _, a := range addrs {
				if a == addr {
					return true
				}
			}
		}
		return false
	}
	for listed() && time.Since(begin) < time.Minute {
		time.Sleep(20 * time.Millisecond)
	}
	l.noteTime("a node crashes", "out of every entry list", time.Since(begin))
	if err := f.AwaitLeases(ctx); err != nil {
		return err
	}
	l.noteTime("a node crashes", "its shards have other holders", time.Since(begin))
	calls := f.Platform.Counts()
	time.Sleep(10 * time.Second)
	later := f.Platform.Counts()
	l.note("7 nodes, steady", "platform reads", float64(later.Reads-calls.Reads)/10, "1/s")
	l.note("7 nodes, steady", "platform writes", float64(later.Writes-calls.Writes)/10, "1/s")
	_, err = admin.Apply(ctx, f.Store, bench.DefaultFleet("w1"), admin.AnyRevision)
	return err
}
