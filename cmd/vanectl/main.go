// Command vanectl is the operators' tool: it submits configurations, shows the
// state of nodes, and explains what happened to requests.
//
// Exit codes: 0 for success; 1 if the command failed, for example because a
// configuration was refused or is not in force, or a node did not answer; 2 for a
// wrong command line, or for warnings of check --strict.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes of the process.
const (
	exitFailed = 1 // the command was refused or failed, or some nodes did not answer
	exitUsage  = 2 // wrong command line
)

func main() {
	os.Exit(run(os.Args, os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code of the process.
func run(args []string, stdout, stderr io.Writer) int {
	cmd := command()
	cmd.Writer, cmd.ErrWriter = stdout, stderr
	err := cmd.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "vanectl:", err)
	if c, ok := err.(cli.ExitCoder); ok {
		return c.ExitCode()
	}
	return exitUsage
}

// command returns the definition of the command line.
func command() *cli.Command {
	return &cli.Command{
		Name:  "vanectl",
		Usage: "configure the router and inspect its nodes",
		Description: "Examples:\n  vanectl --platform http://10.0.0.5:7000 apply --file fleet.yaml --wait\n" +
			"  vanectl --nodes 10.0.0.7:8081,10.0.0.8:8081 status\n  vanectl --nodes 10.0.0.7:8081 why 1f0c…",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the platform", Sources: cli.EnvVars("VANE_PLATFORM")},
			&cli.StringSliceFlag{Name: "nodes", Usage: "admin `ADDRESSES` of nodes", Sources: cli.EnvVars("VANE_NODES")},
		},
		Commands: []*cli.Command{
			applyCommand(), checkCommand(), getCommand(), statusCommand(), entriesCommand(), timelineCommand(), whyCommand(), movesCommand(), targetsCommand(), keyCommand(),
		},
	}
}
