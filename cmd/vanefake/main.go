// Command vanefake runs a fake platform, model engine or plain service, so that the
// router can be tried on one machine.
//
// Exit codes: 0 after SIGTERM or SIGINT, 1 for any error and for a simulated crash
// of the engine.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/fake/plain"
	"mustardvane.org/vane/fake/plat"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "vanefake:", err)
		os.Exit(1)
	}
}

// commonFlags returns the flags that all subcommands share. The default address is
// the given port on the loopback interface.
func commonFlags(port string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:" + port, Usage: "`ADDRESS` to listen on"},
		&cli.StringFlag{Name: "schedule", Usage: "JSON `FILE` with the faults to inject and their times"},
	}
}

// command returns the definition of the command line.
func command() *cli.Command {
	return &cli.Command{
		Name: "vanefake", Usage: "fake platform, model engine and plain service for trying the router",
		Description: "Each fake returns its faults for GET /fake/faults and sets them with PUT.\n\nExamples:\n" +
			"  vanefake platform --hosts hosts.json\n  vanefake engine --name e1 --listen 127.0.0.1:9001\n  vanefake service --name b1 --service booking",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "serve a fake of the platform's object API", Action: runPlatform,
				Flags: append(commonFlags("7000"), &cli.StringFlag{Name: "hosts", Usage: "JSON `FILE` with the upstreams that the platform lists"}),
			},
			{
				Name: "engine", Usage: "serve a fake model engine", Action: runEngine,
				Flags: append(commonFlags("9000"),
					&cli.StringFlag{Name: "name", Value: "engine-1"}, &cli.StringFlag{Name: "model", Value: "quill"},
					&cli.StringFlag{Name: "model-version", Value: "v1"}, &cli.IntFlag{Name: "slots", Value: 16},
					&cli.FloatFlag{Name: "prefill", Value: 40_000, Usage: "prefill rate in tokens per second"},
					&cli.DurationFlag{Name: "gap", Value: 5 * time.Millisecond, Usage: "time between generated tokens"},
				),
			},
			{
				Name: "service", Usage: "serve a fake plain service", Action: runService,
				Flags: append(commonFlags("9100"), &cli.StringFlag{Name: "name", Value: "booking-1"}, &cli.StringFlag{Name: "service", Value: "booking"}),
			},
		},
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	p := plat.New()
	if f := cmd.String("hosts"); f != "" {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		var ups []vane.Upstream
		if err := json.Unmarshal(b, &ups); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		p.SetHosts(ups)
	}
	return serveUntilSignal(ctx, cmd, p, p.SetFaults)
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	e := engine.New(cmd.String("name"),
		engine.WithModel(cmd.String("model"), cmd.String("model-version")), engine.WithSlots(cmd.Int("slots")),
		engine.WithSpeed(cmd.Float("prefill"), cmd.Duration("gap")),
		engine.WithIncarnation(uint64(time.Now().UnixMilli())), engine.WithCrashFunc(func() { os.Exit(1) }))
	return serveUntilSignal(ctx, cmd, e, e.SetFaults)
}

func runService(ctx context.Context, cmd *cli.Command) error {
	s := plain.New(cmd.String("name"), cmd.String("service"))
	return serveUntilSignal(ctx, cmd, s, s.SetFaults)
}

// serveUntilSignal serves h on --listen until SIGTERM or SIGINT, and injects the
// faults of --schedule, if given, through setFaults.
func serveUntilSignal[F any](ctx context.Context, cmd *cli.Command, h http.Handler, setFaults func(F)) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	srv, err := fake.Listen(cmd.String("listen"), h)
	if err != nil {
		return err
	}
	defer srv.Close()
	fmt.Println(strings.TrimPrefix(cmd.FullName(), "vanefake "), "listens on", srv.Addr())
	if f := cmd.String("schedule"); f != "" {
		steps, err := fake.ReadSchedule[F](f)
		if err != nil {
			return err
		}
		go fake.RunSchedule(ctx, steps, setFaults)
	}
	<-ctx.Done()
	return nil
}
