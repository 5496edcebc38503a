// Command vanebench shows, loads and measures the router on one machine.
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

// command describes the command line.
func command() *cli.Command {
	return &cli.Command{
		Name: "vanebench", Usage: "demo, load and experiments on stand-ins",
		Description:           "Examples:\n  vanebench demo\n  vanebench generate --seed 7 > trace.jsonl\n  vanebench compare --trace trace.jsonl",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{demoCommand(), generateCommand(), compareCommand(), replayCommand(), experimentCommand(), soakCommand()},
	}
}
