package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"mustardvane.org/vane/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run nodes as processes under random faults and check the guarantees to callers and upstreams",
		Description: "Settings and logs are kept for seeds with violations and removed for the others.\n\nExample:\n  vanebench soak --binary bin/vaned --seed 1 --seeds 50",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "`FILE` of the vaned program", Value: "bin/vaned"},
			&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for settings and logs", Value: "out/soak"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; 0 derives one from the time"},
			&cli.Uint64Flag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "duration of the faults for each seed", Value: 10 * time.Second},
			&cli.BoolFlag{Name: "stops", Usage: "inject planned stops, reloads and configurations only, under callers that keep their connections"},
			&cli.BoolFlag{Name: "crashes", Usage: "with --stops: also crash upstreams, kill and pause nodes, and vary requests and responses"},
		},
		Action: runSoak,
	}
}

// runSoak runs one soak test for each seed, in order. It returns an error if any
// seed had violations.
func runSoak(ctx context.Context, cmd *cli.Command) error {
	first := cmd.Uint64("seed")
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	failedSeeds := 0
	for seed := first; seed < first+cmd.Uint64("seeds") && ctx.Err() == nil; seed++ {
		dir := filepath.Join(cmd.String("dir"), fmt.Sprint(seed))
		run := soak.Run
		if cmd.Bool("stops") {
			run = soak.RunStops
		}
		res, err := run(ctx, soak.Options{Binary: cmd.String("binary"), Dir: dir, Seed: seed, Length: cmd.Duration("length"), Crashes: cmd.Bool("crashes")})
		if err != nil {
			return cli.Exit(err.Error(), 1)
		}
		fmt.Fprintf(cmd.Root().Writer, "seed %d: %d requests, %d answered, %d faults, %d stops, %d crashes, %d violations\n", seed, res.Requests, res.Answered, len(res.Faults), res.Stops, res.Crashes, len(res.Violations))
		for _, v := range res.Violations {
			fmt.Fprintln(cmd.Root().Writer, "  ", v)
		}
		if len(res.Violations) > 0 {
			failedSeeds++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return cli.Exit(err.Error(), 1)
		}
	}
	if failedSeeds > 0 {
		return cli.Exit(fmt.Sprintf("%d seeds had violations; their logs are in %s", failedSeeds, cmd.String("dir")), 1)
	}
	return nil
}
