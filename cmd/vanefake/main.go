// Command vanefake runs stand-ins of the systems outside the router, for trying
// the router on one machine.
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

// common are the flags of every stand-in.
func common(port string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:" + port, Usage: "`ADDRESS` to listen on"},
		&cli.StringFlag{Name: "schedule", Usage: "JSON `FILE` with a schedule of faults"},
	}
}

// command describes the command line.
func command() *cli.Command {
	return &cli.Command{
		Name: "vanefake", Usage: "stand-ins of the platform, of model engines and of plain services",
		Description: "Faults are read with GET and set with PUT at /fake/faults of each stand-in.\n\nExamples:\n" +
			"  vanefake platform --hosts hosts.json\n  vanefake engine --name e1 --listen 127.0.0.1:9001\n  vanefake service --name b1 --service booking",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "the object API", Action: runPlatform,
				Flags: append(common("7000"), &cli.StringFlag{Name: "hosts", Usage: "JSON `FILE` with the list of upstreams"}),
			},
			{
				Name: "engine", Usage: "a model engine", Action: runEngine,
				Flags: append(common("9000"),
					&cli.StringFlag{Name: "name", Value: "engine-1"}, &cli.StringFlag{Name: "model", Value: "quill"},
					&cli.StringFlag{Name: "model-version", Value: "v1"}, &cli.IntFlag{Name: "slots", Value: 16},
					&cli.FloatFlag{Name: "prefill", Value: 40_000, Usage: "tokens a second"},
					&cli.DurationFlag{Name: "gap", Value: 5 * time.Millisecond, Usage: "between tokens"},
				),
			},
			{
				Name: "service", Usage: "a plain service", Action: runService,
				Flags: append(common("9100"), &cli.StringFlag{Name: "name", Value: "booking-1"}, &cli.StringFlag{Name: "service", Value: "booking"}),
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
	return run(ctx, cmd, p, p.SetFaults)
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	e := engine.New(cmd.String("name"),
		engine.WithModel(cmd.String("model"), cmd.String("model-version")), engine.WithSlots(cmd.Int("slots")),
		engine.WithSpeed(cmd.Float("prefill"), cmd.Duration("gap")),
		engine.WithIncarnation(uint64(time.Now().UnixMilli())), engine.WithCrashFunc(func() { os.Exit(1) }))
	return run(ctx, cmd, e, e.SetFaults)
}

func runService(ctx context.Context, cmd *cli.Command) error {
	s := plain.New(cmd.String("name"), cmd.String("service"))
	return run(ctx, cmd, s, s.SetFaults)
}

// run serves a stand-in until a signal.
func run[F any](ctx context.Context, cmd *cli.Command, h http.Handler, set func(F)) error {
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
		go fake.RunSchedule(ctx, steps, set)
	}
	<-ctx.Done()
	return nil
}
