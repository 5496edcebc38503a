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

// measureBudgets measures how exactly eight nodes enforce the rate limits of
// workspaces. It drives five workspaces, one at four times its rate, through a steady
// state, the crash and return of a node, and an outage of the platform during which
// half of the nodes are restarted. It records the tokens above each limit, counted at
// the engines, and the wrongful refusals: those of workspaces below their rate.
func measureBudgets(ctx context.Context, rec *recorder) error {
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
		name   string
		inject func() error // called two seconds after the traffic of the phase begins
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
			done <- p.inject()
		}()
		rep := f.Drive(ctx, budgetTrace(rec.seed+uint64(k), names), nil)
		if err := <-done; err != nil {
			return err
		}
		rec.recordRefusals(p.name, rep, fleet)
	}
	for _, m := range f.Meter(fleet) {
		rec.record("all phases", m.Workspace+": tokens over the limit", m.OverLimit, "tokens")
	}
	return nil
}

// budgetTrace returns 15 seconds of traffic in which the last workspace sends four
// times its rate of 100,000 tokens per second and the others three quarters of it.
func budgetTrace(seed uint64, names []string) []trace.Request {
	const seconds, tokens = 15, 2000
	var out []trace.Request
	for i, n := range names {
		factor := 0.75
		if i == len(names)-1 {
			factor = 4
		}
		rate := factor * 100_000 / (tokens + 20)
		out = mergeTraces(out, trace.Generate(trace.Shape{
			Seed: seed*10 + uint64(i), Requests: int(rate * seconds), Rate: rate, Model: bench.ModelName, Roots: 1, Docs: 4,
			RootTokens: tokens / 2, DocTokens: tokens/2 - 200, QuestionTokens: 200, MaxTokens: 20, MaxTurns: 1, Workspaces: []trace.WorkspaceShare{{Name: n, Share: 1}},
		}))
	}
	return out
}

// recordRefusals records the share of requests without a complete response, for the
// workspace named wild, which exceeds its rate, and for the others. Those of the others are wrongful,
// because these workspaces stay within their rate and burst; they are also counted by
// reason.
func (rec *recorder) recordRefusals(phase string, rep *bench.Report, _ *config.Fleet) {
	total, failed, wildTotal, wildFailed := 0, 0, 0, 0
	reasons := map[string]int{}
	for _, r := range rep.Results {
		if r.Request.Workspace == "wild" {
			wildTotal++
			if !r.Complete {
				wildFailed++
			}
			continue
		}
		total++
		if !r.Complete {
			failed++
			reasons[r.Reason]++
		}
	}
	rec.record(phase, "wrongful refusals", 100*float64(failed)/float64(total), "%")
	for r, count := range reasons {
		rec.record(phase, "of these "+r, float64(count), "requests")
	}
	rec.record(phase, "wild one refused", 100*float64(wildFailed)/float64(wildTotal), "%")
}

// measureWithdrawal measures how long a configuration takes to come into force on all
// of eight nodes: first through the platform, then during an outage of the platform,
// when one node passes it to the others. The latter configuration withdraws a key; the
// experiment fails if a node still accepts the key once it is in force everywhere.
func measureWithdrawal(ctx context.Context, rec *recorder) error {
	f, err := bench.Start(ctx, bench.WithNodes(8), bench.WithEngines(1))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet("w1")); err != nil {
		return err
	}
	var worst, throughPeers time.Duration
	for i := range 20 {
		fleet := bench.DefaultFleet("w1")
		fleet.Models = append(fleet.Models, config.Model{Name: fmt.Sprint("m", i)})
		begin := time.Now()
		if err := f.Apply(ctx, fleet); err != nil {
			return err
		}
		worst = max(worst, time.Since(begin))
	}
	rec.recordTime("platform up", "in force on 8 nodes, worst of 20", worst)
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
	throughPeers = time.Since(begin)
	rec.recordTime("platform down, one node knows", "in force on 8 nodes", throughPeers)
	for i, n := range f.Nodes {
		code, err := getStatus(ctx, "http://"+n.Addr()+"/v1/models", bench.KeyOf("w1"))
		if err != nil || code != http.StatusUnauthorized {
			return fmt.Errorf("node %d responded to a withdrawn key with status %d instead of 401: %v", i, code, err)
		}
	}
	return nil
}

// measureCrashDetection measures, with eight nodes, how long after the crash of one
// the others no longer list its address to callers, and how long until they hold the
// leases of its budget shards. It then counts the platform's reads and writes for ten
// seconds, and checks that a configuration is still accepted.
func measureCrashDetection(ctx context.Context, rec *recorder) error {
	f, err := bench.Start(ctx, bench.WithNodes(8), bench.WithEngines(1))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet("w1")); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	crashed := f.Nodes[3]
	addr := crashed.Addr()
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
	rec.recordTime("a node crashes", "out of every entry list", time.Since(begin))
	if err := f.AwaitLeases(ctx); err != nil {
		return err
	}
	rec.recordTime("a node crashes", "its shards have other holders", time.Since(begin))
	calls := f.Platform.Counts()
	time.Sleep(10 * time.Second)
	later := f.Platform.Counts()
	rec.record("7 nodes, steady", "platform reads", float64(later.Reads-calls.Reads)/10, "1/s")
	rec.record("7 nodes, steady", "platform writes", float64(later.Writes-calls.Writes)/10, "1/s")
	_, err = admin.Apply(ctx, f.Store, bench.DefaultFleet("w1"), admin.AnyRevision)
	return err
}
