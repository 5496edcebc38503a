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

// keyBytes is the size of a generated key before encoding.
const keyBytes = 32

// platform returns a client of the platform.
func platform(cmd *cli.Command) (*store.Client, error) {
	u := cmd.String("platform")
	if u == "" {
		return nil, cli.Exit("name the platform with --platform or VANE_PLATFORM", exitUsage)
	}
	return store.New(u), nil
}

// nodes returns a client of the nodes.
func nodes(cmd *cli.Command) (*admin.Client, error) {
	list := cmd.StringSlice("nodes")
	if len(list) == 0 {
		return nil, cli.Exit("name admin addresses with --nodes or VANE_NODES", exitUsage)
	}
	return admin.NewClient(list...), nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "have a configuration accepted",
		Description: "Example:\n  vanectl --platform URL --nodes A,B apply --file fleet.yaml --base 17 --wait",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML `FILE`", Required: true},
			&cli.Uint64Flag{Name: "base", Value: admin.AnyRevision, DefaultText: "any", Usage: "accept only while this `REVISION` is in force"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until each node has it in force"},
			&cli.DurationFlag{Name: "timeout", Value: 14 * time.Second, Usage: "longest wait"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	st, err := platform(cmd)
	if err != nil {
		return err
	}
	defer st.Close()
	b, err := os.ReadFile(cmd.String("file"))
	if err != nil {
		return cli.Exit(err.Error(), exitRefused)
	}
	f, err := config.ParseFleet(cmd.String("file"), b)
	if err != nil {
		return cli.Exit(err.Error(), exitRefused)
	}
	rev, err := admin.Apply(ctx, st, f, cmd.Uint64("base"))
	if err != nil {
		return cli.Exit(err.Error(), exitRefused)
	}
	fmt.Fprintf(cmd.Root().Writer, "accepted as revision %d\n", rev)
	if !cmd.Bool("wait") {
		return nil
	}
	return await(ctx, cmd, rev)
}

// await reports for each node whether the revision is in force.
func await(ctx context.Context, cmd *cli.Command, rev uint64) error {
	c, err := nodes(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	sts, all := c.AwaitRevision(ctx, rev)
	printStatus(cmd.Root().Writer, sts)
	if !all {
		return cli.Exit(fmt.Sprintf("revision %d is not in force on every node; run vanectl status", rev), exitRefused)
	}
	return nil
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print the accepted configuration",
		Description: "Example:\n  vanectl --platform URL get > fleet.yaml",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			st, err := platform(cmd)
			if err != nil {
				return err
			}
			defer st.Close()
			f, rev, err := admin.Current(ctx, st)
			if err != nil {
				return cli.Exit(err.Error(), exitRefused)
			}
			b, err := yaml.Marshal(f)
			if err != nil {
				return cli.Exit(err.Error(), exitRefused)
			}
			fmt.Fprintf(cmd.Root().Writer, "# revision %d\n%s", rev, b)
			return nil
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "make and hash keys",
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
				Name: "hash", Usage: "print the hash of a key read from standard input",
				Action: func(_ context.Context, cmd *cli.Command) error {
					sc := bufio.NewScanner(os.Stdin)
					if !sc.Scan() || strings.TrimSpace(sc.Text()) == "" {
						return cli.Exit("write the key on standard input", exitUsage)
					}
					fmt.Fprintln(cmd.Root().Writer, config.HashKey(strings.TrimSpace(sc.Text())))
					return nil
				},
			},
		},
	}
}
