package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/store"
)

// keyBytes is the number of random bytes in a generated key, before encoding.
const keyBytes = 32

// newStoreClient returns a client of the platform at the URL of --platform.
func newStoreClient(cmd *cli.Command) (*store.Client, error) {
	u := cmd.String("platform")
	if u == "" {
		return nil, cli.Exit("no platform URL; set it with --platform or VANE_PLATFORM", exitUsage)
	}
	return store.New(u), nil
}

// newAdminClient returns a client of the nodes at the admin addresses of --nodes.
func newAdminClient(cmd *cli.Command) (*admin.Client, error) {
	list := cmd.StringSlice("nodes")
	if len(list) == 0 {
		return nil, cli.Exit("no admin addresses of nodes; set them with --nodes or VANE_NODES", exitUsage)
	}
	return admin.NewClient(list...), nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "submit a configuration to the platform",
		Description: "Example:\n  vanectl --platform URL --nodes A,B apply --file fleet.yaml --base 17 --wait",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML `FILE`", Required: true},
			&cli.Uint64Flag{Name: "base", Value: admin.AnyRevision, DefaultText: "any", Usage: "submit only if the current configuration has this `REVISION`"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the configuration is in force on each node"},
			&cli.DurationFlag{Name: "timeout", Value: 14 * time.Second, Usage: "time limit of --wait"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	st, err := newStoreClient(cmd)
	if err != nil {
		return err
	}
	defer st.Close()
	b, err := os.ReadFile(cmd.String("file"))
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	f, err := config.ParseFleet(cmd.String("file"), b)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	rev, err := admin.Apply(ctx, st, f, cmd.Uint64("base"))
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	fmt.Fprintf(cmd.Root().Writer, "accepted as revision %d\n", rev)
	if !cmd.Bool("wait") {
		return nil
	}
	return awaitRevision(ctx, cmd, rev)
}

// awaitRevision waits up to --timeout until the revision is in force on every node
// of --nodes, and prints the status of each. It returns an error if time runs out.
func awaitRevision(ctx context.Context, cmd *cli.Command, rev uint64) error {
	c, err := newAdminClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	statuses, inForce := c.AwaitRevision(ctx, rev)
	printStatus(cmd.Root().Writer, statuses)
	if !inForce {
		return cli.Exit(fmt.Sprintf("revision %d is not in force on every node; run vanectl status", rev), exitFailed)
	}
	return nil
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print the current configuration on the platform",
		Description: "Example:\n  vanectl --platform URL get > fleet.yaml",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			st, err := newStoreClient(cmd)
			if err != nil {
				return err
			}
			defer st.Close()
			f, rev, err := admin.Current(ctx, st)
			if err != nil {
				return cli.Exit(err.Error(), exitFailed)
			}
			b, err := yaml.Marshal(f)
			if err != nil {
				return cli.Exit(err.Error(), exitFailed)
			}
			if _, err := fmt.Fprintf(cmd.Root().Writer, "# revision %d\n%s", rev, b); err != nil {
				return cli.Exit(err.Error(), exitFailed)
			}
			return nil
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "generate and hash the keys of callers",
		Commands: []*cli.Command{
			{
				Name: "new", Usage: "print a new key and its hash",
				Action: func(_ context.Context, cmd *cli.Command) error {
					b := make([]byte, keyBytes)
					_, _ = rand.Read(b)
					key := base64.RawURLEncoding.EncodeToString(b)
					fmt.Fprintf(cmd.Root().Writer, "key    %s\nsha256 %s\n", key, config.HashKey(key))
					return nil
				},
			},
			{
				Name: "hash", Usage: "print the hash of the key on the first line of standard input",
				Action: func(_ context.Context, cmd *cli.Command) error {
					sc := bufio.NewScanner(os.Stdin)
					if !sc.Scan() || strings.TrimSpace(sc.Text()) == "" {
						return cli.Exit("no key on standard input; write it as the first line", exitUsage)
					}
					fmt.Fprintln(cmd.Root().Writer, config.HashKey(strings.TrimSpace(sc.Text())))
					return nil
				},
			},
		},
	}
}
