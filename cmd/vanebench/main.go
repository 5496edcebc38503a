// Command vanebench drives synthetic and recorded traffic through the router on one
// machine, against simulated upstreams and a simulated platform, and measures the outcome.
//
// Exit codes: 0 for success, 1 for any error or failed check.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "vanebench:", err)
		os.Exit(1)
	}
}

// command returns the definition of the command line.
func command() *cli.Command {
	return &cli.Command{
		Name: "vanebench", Usage: "demo, load tests and measurements with simulated upstreams",
		Description:           "Examples:\n  vanebench demo\n  vanebench generate --seed 7 > trace.jsonl\n  vanebench compare --trace trace.jsonl",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{demoCommand(), generateCommand(), compareCommand(), replayCommand(), experimentCommand(), soakCommand()},
	}
}
