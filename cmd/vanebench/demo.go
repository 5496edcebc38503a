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

// Shape of the demo's fleet.
const (
	demoNodes       = 3
	demoEngines     = 6
	demoCachePieces = 40 // pieces that each engine can cache
	demoSlots       = 8
	demoPrefill     = 60_000.0 // tokens a second
	demoGap         = 8 * time.Millisecond
	pieceTokens     = 4000
)

// policy is a way of choosing upstreams.
type policy struct {
	name string
	make func() vane.Placer
}

// policies are compared in this order; the first is the router's own.
var policies = []policy{
	{"mustardvane", func() vane.Placer { return place.New() }},
	{"round robin", func() vane.Placer { return place.NewRoundRobin() }},
	{"least loaded", func() vane.Placer { return place.NewLeastLoaded() }},
	{"plain hash", func() vane.Placer { return place.NewConsistentHash() }},
}

// demoShape is the demo's traffic.
func demoShape(seed uint64, requests int) trace.Shape {
	return trace.Shape{
		Seed: seed, Requests: requests, Rate: 45, Model: bench.ModelName, Docs: 16,
		Workspaces: []trace.WorkspaceShare{{Name: "taller-sur", Share: 3}, {Name: "taller-norte", Share: 1}},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "start a fleet of stand-ins and nodes, drive a trace, print a table",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the trace"},
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
		Name: "generate", Usage: "write a trace to standard output",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1}, &cli.IntFlag{Name: "requests", Value: 360},
			&cli.IntFlag{Name: "shift-every", Usage: "requests after which half of the hot prefixes change"},
			&cli.FloatFlag{Name: "rate", Value: 45, Usage: "requests a second"},
			&cli.FloatFlag{Name: "zipf", Value: 1.1, Usage: "exponent of the prefixes' popularity"},
			&cli.IntFlag{Name: "docs", Value: 16, Usage: "second-level prefixes below each outermost one"},
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
		Name: "compare", Usage: "drive one trace with each policy",
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

// compare drives the trace with each policy on a fresh fleet and prints a table.
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
	table(w, ps, reps)
	fmt.Fprintf(w, "\nno way of placing can exceed a hit rate of %.1f %% on this trace\n", 100*trace.MaxHitRate(reqs, pieceTokens))
	return verdict(reps)
}

// runPolicy drives the trace on a fresh fleet.
func runPolicy(ctx context.Context, reqs []trace.Request, p policy) (*bench.Report, error) {
	f, err := bench.Start(ctx,
		bench.WithNodes(demoNodes),
		bench.WithEngines(demoEngines, engine.WithSlots(demoSlots), engine.WithCache(pieceTokens, demoCachePieces), engine.WithSpeed(demoPrefill, demoGap)),
		bench.WithNodeOptions(func() []node.Option { return []node.Option{node.WithPlacer(p.make())} }),
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

// workspaces returns the names of the workspaces in a trace.
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

// table prints one column for each policy.
func table(w io.Writer, ps []policy, reps []*bench.Report) {
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
		row(fmt.Sprintf("first token p%.0f", q), func(r *bench.Report) string { return ms(bench.Quantile(r.FirstToken, q)) })
	}
	for _, q := range []float64{50, 95, 99} {
		row(fmt.Sprintf("between tokens p%.0f", q), func(r *bench.Report) string { return ms(bench.Quantile(r.TokenGap, q)) })
	}
	row("refused", func(r *bench.Report) string { return reasons(r.Reasons) })
}

// ms formats a duration in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// reasons formats the counts of refusals.
func reasons(m map[string]int) string {
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

// verdict returns an error if an answer was wrong.
func verdict(reps []*bench.Report) error {
	for _, r := range reps {
		if len(r.Mismatches) > 0 {
			return fmt.Errorf("%d answers were wrong, the first: %s", len(r.Mismatches), r.Mismatches[0])
		}
	}
	return nil
}
