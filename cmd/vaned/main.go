// Command vaned is the node of the router. Each entry host runs one.
//
// Exit codes: 0 after a planned stop or for good settings, 1 for bad settings, 2
// for a wrong command line, 3 if the node can't start or a service failed.
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
	"mustardvane.org/vane/node"
	"mustardvane.org/vane/platform"
)

// Exit codes.
const (
	exitSettings = 1
	exitUsage    = 2
	exitFailed   = 3
)

// stopSlack is added to the longest drain before the process gives up.
const stopSlack = 15 * time.Second

func main() {
	os.Exit(run(os.Args))
}

// run executes the command line and returns the exit code.
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

// command describes the command line.
func command() *cli.Command {
	return &cli.Command{
		Name:                  "vaned",
		Usage:                 "node of a router for language-model traffic",
		Description:           "Examples:\n  vaned check vaned.yaml\n  vaned run --config vaned.yaml",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "serve until SIGTERM, then stop without cutting a request",
				Description: "Example:\n  vaned run --config /etc/vaned.yaml",
				Flags:       []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true}},
				Action:      serve,
			},
			{
				Name: "check", Usage: "check a settings file", ArgsUsage: "FILE",
				Description: "Exits 0 if the file is good and 1 if not.\n\nExample:\n  vaned check /etc/vaned.yaml",
				Action:      check,
			},
			{
				Name: "platform", Usage: "serve routed traffic on the users' platform until SIGTERM",
				Description: "The settings file is named by " + platform.SettingsEnv + ".\n\nExample:\n  vaned platform",
				Action:      servePlatform,
			},
		},
	}
}

// check reads a settings file and says what is wrong with it.
func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("check takes one settings file; see vaned check --help", exitUsage)
	}
	if _, err := config.ReadSettings(cmd.Args().First()); err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	fmt.Fprintln(cmd.Root().Writer, "settings are good")
	return nil
}

// serve runs a node until a signal or a failure.
func serve(ctx context.Context, cmd *cli.Command) error {
	set, err := config.ReadSettings(cmd.String("config"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	logJSON(set.Log.Verbosity)
	defer klog.Flush()
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

// logJSON makes klog write JSON lines to standard error.
func logJSON(verbosity int) {
	var level klog.Level
	_ = level.Set(strconv.Itoa(verbosity))
	h := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(h))
}
