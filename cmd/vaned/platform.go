package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"mustardvane.org/vane/edge"
	"mustardvane.org/vane/jlog"
	"mustardvane.org/vane/platform"
)

// memoryShare is the part, in percent, of a host's memory that the garbage
// collector aims to stay under; the rest is for sockets and spikes.
const memoryShare = 60

// servePlatform runs a node for routed traffic until a signal or a failure.
func servePlatform(ctx context.Context, _ *cli.Command) error {
	// Before anything else, since a SIGHUP without a handler ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	set, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(set.MemoryMB) << 20 * memoryShare / 100)
	}
	w := jlog.NewWriter(os.Stdout)
	defer w.Close()
	log := slog.New(slog.NewJSONHandler(w, nil)).With("node", set.Node)
	n, err := edge.New(set, edge.Adapter{
		Protocol: platform.ObjectProtocol{}, Decoder: platform.ObjectDecoder{}, Dialect: platform.Headers{},
		Control: platform.NewControl(), Directory: platform.Directory{},
	}, log)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, hup, log)
	if err := n.Run(ctx); err != nil {
		log.Error("failed", "err", err.Error())
		return cli.Exit(err.Error(), exitFailed)
	}
	return nil
}

// reload checks the settings file after each SIGHUP. Names and addresses of a
// running node do not change.
func reload(ctx context.Context, hup <-chan os.Signal, log *slog.Logger) {
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
