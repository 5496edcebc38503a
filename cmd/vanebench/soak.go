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

// soakCommand describes vanebench soak.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run nodes as processes under random faults and check the promises",
		Description: "Logs of failed seeds are kept.\n\nExample:\n  vanebench soak --binary bin/vaned --seed 1 --seeds 50",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "the program `FILE` vaned", Value: "bin/vaned"},
			&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for settings and logs", Value: "out/soak"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; 0 takes one from the clock"},
			&cli.Uint64Flag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "time under faults for each seed", Value: 10 * time.Second},
		},
		Action: runSoak,
	}
}

// runSoak plays seeds one after the other. It fails if any promise was broken.
func runSoak(ctx context.Context, cmd *cli.Command) error {
	first := cmd.Uint64("seed")
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	bad := 0
	for seed := first; seed < first+cmd.Uint64("seeds") && ctx.Err() == nil; seed++ {
		dir := filepath.Join(cmd.String("dir"), fmt.Sprint(seed))
		res, err := soak.Run(ctx, soak.Options{Binary: cmd.String("binary"), Dir: dir, Seed: seed, Length: cmd.Duration("length")})
		if err != nil {
			return cli.Exit(err.Error(), 1)
		}
		fmt.Fprintf(cmd.Root().Writer, "seed %d: %d requests, %d answered, %d faults, %d violations\n", seed, res.Requests, res.Answered, len(res.Faults), len(res.Violations))
		for _, v := range res.Violations {
			fmt.Fprintln(cmd.Root().Writer, "  ", v)
		}
		if len(res.Violations) > 0 {
			bad++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return cli.Exit(err.Error(), 1)
		}
	}
	if bad > 0 {
		return cli.Exit(fmt.Sprintf("%d seeds with broken promises; logs in %s", bad, cmd.String("dir")), 1)
	}
	return nil
}
