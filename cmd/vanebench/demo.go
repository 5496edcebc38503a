package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/node"
	"mustardvane.org/vane/place"
	"mustardvane.org/vane/trace"
)

// Size and speed of the demo's fleet.
const (
	demoNodes       = 3
	demoEngines     = 6
	demoCacheBlocks = 40                   // blocks in the prefix cache of each engine
	demoSlots       = 8                    // requests that an engine runs at once
	demoPrefillRate = 60_000.0             // tokens per second and engine
	demoTokenGap    = 8 * time.Millisecond // time between generated tokens
	blockTokens     = 4000                 // tokens in one block of the engines' prefix caches
)

// policy is a method of placing requests on upstreams.
type policy struct {
	name      string
	newPlacer func() vane.Placer // called for each node
}

// policies are the placement policies in the order of the printed table. The first is
// the router's own and the others are baselines. The demo leaves out the last.
var policies = []policy{
	{"mustardvane", func() vane.Placer { return place.New() }},
	{"round robin", func() vane.Placer { return place.NewRoundRobin() }},
	{"least loaded", func() vane.Placer { return place.NewLeastLoaded() }},
	{"consistent hash", func() vane.Placer { return place.NewConsistentHash() }},
}

// demoShape returns the parameters of the demo's trace. Its rate is 45 requests per
// second.
func demoShape(seed uint64, requests int) trace.Shape {
	return trace.Shape{
		Seed: seed, Requests: requests, Rate: 45, Model: bench.ModelName, Docs: 16,
		Workspaces: []trace.WorkspaceShare{{Name: "taller-sur", Share: 3}, {Name: "taller-norte", Share: 1}},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "drive a trace through nodes and simulated upstreams with three placement policies, and print a table",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the trace"},
			&cli.IntFlag{Name: "requests", Value: 360},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			reqs := trace.Generate(demoShape(cmd.Uint64("seed"), cmd.Int("requests")))
			fmt.Printf("seed %d, %d requests; %d nodes, %d engines, 1 plain service, 1 platform\n\n", cmd.Uint64("seed"), len(reqs), demoNodes, demoEngines)
			return compare(ctx, reqs, policies[:3], os.Stdout)
		},
	}
}

func generateCommand() *cli.Command {
	return &cli.Command{
		Name: "generate", Usage: "write a synthetic trace to standard output",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1}, &cli.IntFlag{Name: "requests", Value: 360},
			&cli.IntFlag{Name: "shift-every", Usage: "number of requests after which half of the popular prefixes change; 0 for never"},
			&cli.FloatFlag{Name: "rate", Value: 45, Usage: "requests per second"},
			&cli.FloatFlag{Name: "zipf", Value: 1.1, Usage: "Zipf exponent of the popularity of second-level prefixes"},
			&cli.IntFlag{Name: "docs", Value: 16, Usage: "number of second-level prefixes below each first-level prefix"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			s := demoShape(cmd.Uint64("seed"), cmd.Int("requests"))
			s.ShiftEvery, s.Rate, s.ZipfExponent, s.Docs = cmd.Int("shift-every"), cmd.Float("rate"), cmd.Float("zipf"), cmd.Int("docs")
			return trace.Write(os.Stdout, trace.Generate(s))
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "drive one trace with each placement policy, and print a table",
		Flags: []cli.Flag{&cli.StringFlag{Name: "trace", Usage: "trace `FILE`", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			f, err := os.Open(cmd.String("trace"))
			if err != nil {
				return err
			}
			defer f.Close()
			reqs, err := trace.Read(f)
			if err != nil {
				return err
			}
			return compare(ctx, reqs, policies, os.Stdout)
		},
	}
}

// compare drives the trace with each policy on a fresh fleet and prints a table with
// the upper bound of the hit rate. It returns an error if any response was not the expected one.
func compare(ctx context.Context, reqs []trace.Request, ps []policy, w io.Writer) error {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	reps := make([]*bench.Report, len(ps))
	for i, p := range ps {
		rep, err := runPolicy(ctx, reqs, p)
		if err != nil {
			return err
		}
		reps[i] = rep
	}
	printTable(w, ps, reps)
	fmt.Fprintf(w, "\nhighest prefix hit rate that any placement can reach on this trace: %.1f %%\n", 100*trace.MaxHitRate(reqs, blockTokens))
	return checkResponses(reps)
}

// runPolicy drives the trace on a fresh fleet with the policy. It shows the progress
// on standard error.
func runPolicy(ctx context.Context, reqs []trace.Request, p policy) (*bench.Report, error) {
	f, err := bench.Start(ctx,
		bench.WithNodes(demoNodes),
		bench.WithEngines(demoEngines, engine.WithSlots(demoSlots), engine.WithCache(blockTokens, demoCacheBlocks), engine.WithSpeed(demoPrefillRate, demoTokenGap)),
		bench.WithNodeOptions(func() []node.Option { return []node.Option{node.WithPlacer(p.newPlacer())} }),
	)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Apply(ctx, bench.DefaultFleet(workspaces(reqs)...)); err != nil {
		return nil, err
	}
	rep := f.Drive(ctx, reqs, func(done, all int) {
		if done%20 == 0 || done == all {
			fmt.Fprintf(os.Stderr, "\r%-14s %4d of %d", p.name, done, all)
		}
	})
	fmt.Fprintf(os.Stderr, "  in %s\n", rep.Elapsed.Round(100*time.Millisecond))
	return rep, nil
}

// workspaces returns the names of the workspaces in a trace, sorted.
func workspaces(reqs []trace.Request) []string {
	seen := map[string]bool{}
	var out []string
	for _, r := range reqs {
		if !seen[r.Workspace] {
			seen[r.Workspace] = true
			out = append(out, r.Workspace)
		}
	}
	sort.Strings(out)
	return out
}

// printTable prints one column for each policy. reps holds their reports, in the same
// order.
func printTable(w io.Writer, ps []policy, reps []*bench.Report) {
	row := func(label string, cell func(*bench.Report) string) {
		fmt.Fprintf(w, "%-24s", label)
		for _, r := range reps {
			fmt.Fprintf(w, "%16s", cell(r))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "\n%-24s", "")
	for _, p := range ps {
		fmt.Fprintf(w, "%16s", p.name)
	}
	fmt.Fprintln(w)
	row("requests", func(r *bench.Report) string { return fmt.Sprint(r.Requests) })
	row("complete streams", func(r *bench.Report) string { return fmt.Sprint(r.Complete) })
	row("prefix hit rate", func(r *bench.Report) string { return fmt.Sprintf("%.1f %%", 100*r.HitRate) })
	for _, q := range []float64{50, 95, 99} {
		row(fmt.Sprintf("first token p%.0f", q), func(r *bench.Report) string { return formatMS(bench.Quantile(r.FirstToken, q)) })
	}
	for _, q := range []float64{50, 95, 99} {
		row(fmt.Sprintf("between tokens p%.0f", q), func(r *bench.Report) string { return formatMS(bench.Quantile(r.TokenGap, q)) })
	}
	row("refused", func(r *bench.Report) string { return formatReasons(r.Reasons) })
}

// formatMS formats a duration in milliseconds with one decimal.
func formatMS(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// formatReasons formats the number of refusals by reason, or "0" for none.
func formatReasons(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	var out []string
	for k, n := range m {
		out = append(out, fmt.Sprintf("%d %s", n, k))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// checkResponses returns an error if a report has responses that differ from the expected
// ones.
func checkResponses(reps []*bench.Report) error {
	for _, r := range reps {
		if len(r.Mismatches) > 0 {
			return fmt.Errorf("%d responses differ from the expected ones; the first: %s", len(r.Mismatches), r.Mismatches[0])
		}
	}
	return nil
}
