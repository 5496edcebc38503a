package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"mustardvane.org/vane/edge"
	"mustardvane.org/vane/jlog"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/platform"
)

// servePlatform runs a node on the users' platform until SIGTERM, SIGINT or a
// failure. SIGHUP makes it validate the settings file again.
func servePlatform(ctx context.Context, _ *cli.Command) error {
	// The handler is installed first because a SIGHUP without one ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	set, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if set.MemoryMB > 0 {
		memory.ApplyRuntime(int64(set.MemoryMB) << 20)
	}
	w := jlog.NewWriter(os.Stdout)
	defer w.Close()
	log := slog.New(slog.NewJSONHandler(w, nil)).With("node", set.Node)
	n, err := edge.New(set, edge.Adapter{
		Protocol: platform.ObjectProtocol{}, Decoder: platform.ObjectDecoder{}, Dialect: platform.Headers{},
		Control: platform.NewControl(), Directory: platform.Directory{}, Rollouts: platform.ObjectDecoder{},
	}, log)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go checkSettingsOnHUP(ctx, hup, log)
	if err := n.Run(ctx); err != nil {
		log.Error("failed", "err", err.Error())
		return cli.Exit(err.Error(), exitFailed)
	}
	return nil
}

// checkSettingsOnHUP validates the settings file after each SIGHUP and logs the
// outcome, until ctx ends. It does not apply the settings, because the names and
// addresses of a running node can't change.
func checkSettingsOnHUP(ctx context.Context, hup <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			if _, err := platform.ReadSettings(platform.SettingsPath()); err != nil {
				log.Error("settings not reloaded", "err", err.Error())
				continue
			}
			log.Info("settings reloaded")
		}
	}
}
