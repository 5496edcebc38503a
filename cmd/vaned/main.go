// Command vaned runs one node of the router, which accepts requests from callers
// and forwards them to upstreams. Each host that callers connect to runs one.
//
// Exit codes: 0 after a graceful stop, or if the settings are valid; 1 if the
// settings are invalid; 2 for a wrong command line; 3 if the node can't start,
// or fails while it runs or stops.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"mustardvane.org/vane/config"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/node"
	"mustardvane.org/vane/platform"
)

// Exit codes of the process.
const (
	exitSettings = 1 // invalid settings
	exitUsage    = 2 // wrong command line
	exitFailed   = 3 // the node did not start, failed while it ran, or did not stop in time
)

// stopSlack is the time, beyond the longest drain that the settings allow, within
// which a stopping node must also end its services.
const stopSlack = 15 * time.Second

func main() {
	os.Exit(run(os.Args))
}

// run executes the command line and returns the exit code of the process.
func run(args []string) int {
	err := command().Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "vaned:", err)
	if c, ok := err.(cli.ExitCoder); ok {
		return c.ExitCode()
	}
	return exitUsage
}

// command returns the definition of the command line.
func command() *cli.Command {
	return &cli.Command{
		Name:                  "vaned",
		Usage:                 "node of a router for language-model traffic",
		Description:           "Examples:\n  vaned check vaned.yaml\n  vaned run --config vaned.yaml",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "serve until SIGTERM or SIGINT, then let requests in progress finish and exit",
				Description: "Example:\n  vaned run --config /etc/vaned.yaml",
				Flags:       []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true}},
				Action:      serve,
			},
			{
				Name: "check", Usage: "check a settings file", ArgsUsage: "FILE",
				Description: "Exits 0 if the settings are valid and 1 if not.\n\nExample:\n  vaned check /etc/vaned.yaml",
				Action:      check,
			},
			{
				Name: "platform", Usage: "serve traffic on the users' platform, which supplies the routes, until SIGTERM or SIGINT",
				Description: "The path of the settings file is the value of " + platform.SettingsEnv + ".\n\nExample:\n  vaned platform",
				Action:      servePlatform,
			},
		},
	}
}

// check validates the settings file named on the command line. It returns an error
// that says what is wrong with it.
func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("check takes the path of one settings file; see vaned check --help", exitUsage)
	}
	if _, err := config.ReadSettings(cmd.Args().First()); err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	fmt.Fprintln(cmd.Root().Writer, "settings are valid")
	return nil
}

// serve runs a node with the settings file of --config until SIGTERM, SIGINT or a
// failure. A signal drains the node; a failure stops it at once.
func serve(ctx context.Context, cmd *cli.Command) error {
	set, err := config.ReadSettings(cmd.String("config"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	logJSON(set.Log.Verbosity)
	defer klog.Flush()
	if stated := set.Memory.Stated(); stated > 0 {
		memory.ApplyRuntime(stated)
	}
	n, err := node.New(set)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(sig)
	if err := n.Start(ctx); err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	stop, cancel := context.WithTimeout(ctx, set.Drain.EntriesTTL+set.Drain.MaxWait+stopSlack)
	defer cancel()
	select {
	case <-sig:
		if err := n.Drain(stop); err != nil {
			return cli.Exit(err.Error(), exitFailed)
		}
		return nil
	case err := <-n.Failed():
		_ = n.Stop(stop)
		return cli.Exit(err.Error(), exitFailed)
	}
}

// logJSON makes klog write JSON lines to standard error, up to the given verbosity.
func logJSON(verbosity int) {
	var level klog.Level
	_ = level.Set(strconv.Itoa(verbosity))
	h := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(h))
}
