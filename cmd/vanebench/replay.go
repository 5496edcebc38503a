package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"mustardvane.org/vane/bench"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay recorded traces and check their expected outcomes", ArgsUsage: "DIRECTORY...",
		Description: "Exits 1 if an outcome is not as expected.\n\nExample:\n  vanebench replay bench/testdata/replays/*",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			klog.LogToStderr(false)
			klog.SetOutput(io.Discard)
			totalMissed := 0
			for _, dir := range cmd.Args().Slice() {
				missed, err := replay(ctx, dir)
				if err != nil {
					return err
				}
				totalMissed += missed
			}
			if totalMissed > 0 {
				return fmt.Errorf("%d expected outcomes were not met", totalMissed)
			}
			return nil
		},
	}
}

// replay replays the case in dir on a fresh fleet, prints a summary and the
// expected outcomes that were not met, and returns their number.
func replay(ctx context.Context, dir string) (int, error) {
	c, err := bench.ReadCase(dir)
	if err != nil {
		return 0, err
	}
	rep, missed, err := c.Replay(ctx)
	if err != nil {
		return 0, err
	}
	fmt.Printf("%-18s %4d of %4d complete, hit rate %5.1f %%, first token p95 %s, refused %s, in %s\n", c.Name, rep.Complete, rep.Requests,
		100*rep.HitRate, formatMS(bench.Quantile(rep.FirstToken, 95)), formatReasons(rep.Reasons), rep.Elapsed.Round(100*time.Millisecond))
	for _, m := range missed {
		fmt.Printf("  missed: %s\n", m)
	}
	return len(missed), nil
}
