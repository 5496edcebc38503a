package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/logs"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show what each node has in force",
		Description: "Example:\n  vanectl --nodes 10.0.0.7:8081,10.0.0.8:8081 status",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON lines"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := nodes(cmd)
			if err != nil {
				return err
			}
			sts := c.Status(ctx)
			if cmd.Bool("json") {
				return printJSON(cmd.Root().Writer, sts)
			}
			printStatus(cmd.Root().Writer, sts)
			return nil
		},
	}
}

// printJSON prints one line for each node that answered.
func printJSON(w io.Writer, sts []admin.NodeStatus) error {
	enc := json.NewEncoder(w)
	for _, s := range sts {
		if s.Err == nil {
			if err := enc.Encode(s.Status); err != nil {
				return err
			}
		}
	}
	return nil
}

// printStatus prints a table with one row for each node.
func printStatus(w io.Writer, sts []admin.NodeStatus) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "NODE\tDATA CENTRE\tSTATE\tREVISION\tKEYS\tIN FLIGHT\tWAITING\tUPSTREAMS")
	for _, s := range sts {
		if s.Err != nil {
			fmt.Fprintf(tw, "%s\t-\tunreachable\t-\t-\t-\t-\t-\n", s.Addr)
			continue
		}
		st := s.Status
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\n", st.Node, st.DataCentre, state(s), st.Revision, keys(s), st.InFlight, st.Waiting, len(st.Upstreams))
	}
	_ = tw.Flush()
}

// state names a node's state.
func state(s admin.NodeStatus) string {
	switch {
	case s.Status.Leaving:
		return "leaving"
	case !s.Status.Ready:
		return "not ready"
	default:
		return "serving"
	}
}

// keys says whether a node can confirm keys.
func keys(s admin.NodeStatus) string {
	if s.Status.Keys.Confirmed {
		return "confirmed"
	}
	return "refused: " + s.Status.Keys.Why
}

func entriesCommand() *cli.Command {
	return &cli.Command{
		Name: "entries", Usage: "show the addresses that a node gives to callers", ArgsUsage: "CALLER-ADDRESS",
		Description: "Example:\n  vanectl entries 10.0.0.7:8080",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return cli.Exit("entries takes one caller address of a node", exitUsage)
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmd.Args().First()+"/v1/entries", nil)
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return cli.Exit(err.Error(), exitRefused)
			}
			defer resp.Body.Close()
			_, err = io.Copy(cmd.Root().Writer, resp.Body)
			return err
		},
	}
}

// filterFlags select events.
func filterFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "workspace"}, &cli.StringFlag{Name: "request"},
		&cli.StringFlag{Name: "subject", Usage: "upstream, shard or key concerned"},
		&cli.StringFlag{Name: "what", Usage: "kind of event"},
	}
}

// filter returns the filter that the flags state.
func filter(cmd *cli.Command) event.Filter {
	return event.Filter{Workspace: cmd.String("workspace"), RequestID: cmd.String("request"), Subject: cmd.String("subject"), Kind: cmd.String("what")}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "show the events of all nodes in one order",
		Description: "Example:\n  vanectl --nodes A,B timeline --workspace taller-sur --follow",
		Flags:       append(filterFlags(), &cli.BoolFlag{Name: "follow", Aliases: []string{"f"}, Usage: "go on with new events"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := nodes(cmd)
			if err != nil {
				return err
			}
			if cmd.Bool("follow") {
				ctx, cancel := signal.NotifyContext(ctx, os.Interrupt)
				defer cancel()
				c.Follow(ctx, filter(cmd), func(evs []vane.Event) { printEvents(cmd.Root().Writer, evs) })
				return nil
			}
			evs, errs := c.Timeline(ctx, filter(cmd))
			printEvents(cmd.Root().Writer, evs)
			return report(cmd, errs)
		},
	}
}

// report prints the nodes that could not be asked.
func report(cmd *cli.Command, errs []error) error {
	for _, err := range errs {
		fmt.Fprintln(cmd.Root().ErrWriter, "vanectl:", err)
	}
	if len(errs) > 0 {
		return cli.Exit("the time line is not complete", exitRefused)
	}
	return nil
}

// printEvents prints one line for each event.
func printEvents(w io.Writer, evs []vane.Event) {
	for _, e := range evs {
		fmt.Fprintf(w, "%s %-10s %-18s", e.Wall.UTC().Format("15:04:05.000"), e.Host, e.Kind)
		for _, f := range []struct{ name, value string }{
			{"reason", e.Reason.String()}, {"workspace", e.Workspace}, {"request", e.RequestID}, {"subject", e.Subject},
		} {
			if f.value != "" && f.value != vane.ReasonNone.String() {
				fmt.Fprintf(w, " %s=%s", f.name, f.value)
			}
		}
		if e.Observed != 0 || e.Threshold != 0 {
			fmt.Fprintf(w, " have=%.3g want=%.3g", e.Observed, e.Threshold)
		}
		if e.Remedy != "" {
			fmt.Fprintf(w, " (%s)", e.Remedy)
		}
		fmt.Fprintln(w)
	}
}

func whyCommand() *cli.Command {
	return &cli.Command{
		Name: "why", Usage: "explain what happened to a request, a workspace or an upstream", ArgsUsage: "NAME",
		Description: "Examples:\n  vanectl --nodes A,B why 1f0c6a…\n  vanectl why --logs logs/ 1f0c6a…\n  cat *.log | vanectl why --logs - 1f0c6a…",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "logs", Usage: "read the nodes' logs from a file, a folder, or standard input (\"-\"), at `PATH`, instead of asking the nodes"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return cli.Exit("why takes the id of a request or the name of a workspace or upstream", exitUsage)
			}
			if path := cmd.String("logs"); path != "" {
				return whyFromLogs(cmd, path, cmd.Args().First())
			}
			c, err := nodes(cmd)
			if err != nil {
				return err
			}
			name := cmd.Args().First()
			evs, errs := c.Timeline(ctx, event.Filter{})
			explain(cmd.Root().Writer, name, evs)
			return report(cmd, errs)
		},
	}
}

// whyFromLogs explains a name from log files.
func whyFromLogs(cmd *cli.Command, path, name string) error {
	lines, skipped, err := logs.Read(path)
	if err != nil {
		return cli.Exit(err.Error(), exitRefused)
	}
	if skipped > 0 {
		fmt.Fprintf(cmd.Root().ErrWriter, "vanectl: %d lines are no log lines and were left out\n", skipped)
	}
	logs.Explain(lines, name).Print(cmd.Root().Writer)
	return nil
}

// explain prints the events that concern the name, and the count of causes.
func explain(w io.Writer, name string, evs []vane.Event) {
	var mine []vane.Event
	causes := map[vane.Reason]int{}
	for _, e := range evs {
		if e.RequestID != name && e.Workspace != name && e.Subject != name {
			continue
		}
		if e.Kind != vane.EventServed {
			mine = append(mine, e)
		}
		if e.Kind == vane.EventRefused || e.Kind == vane.EventWaited || e.Kind == vane.EventRerouted || e.Kind == vane.EventStreamBroken {
			causes[e.Reason]++
		}
	}
	if len(mine) == 0 {
		fmt.Fprintf(w, "nothing but plain service is known of %s since %s\n", name, oldest(evs))
		return
	}
	for r := vane.ReasonNone; r <= vane.ReasonInternal; r++ {
		if causes[r] > 0 {
			fmt.Fprintf(w, "%6d × %s\n", causes[r], r)
		}
	}
	printEvents(w, mine)
}

// oldest returns the time of the oldest event.
func oldest(evs []vane.Event) string {
	if len(evs) == 0 {
		return "the nodes started"
	}
	return evs[0].Wall.UTC().Format(time.RFC3339)
}
