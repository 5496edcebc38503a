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
		Name: "status", Usage: "show the state of each node and the revision that it has in force",
		Description: "Example:\n  vanectl --nodes 10.0.0.7:8081,10.0.0.8:8081 status",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON lines"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newAdminClient(cmd)
			if err != nil {
				return err
			}
			statuses := c.Status(ctx)
			if cmd.Bool("json") {
				return printJSON(cmd.Root().Writer, statuses)
			}
			printStatus(cmd.Root().Writer, statuses)
			return nil
		},
	}
}

// printJSON prints the status of each node that answered as one JSON line. Nodes
// that did not answer are left out.
func printJSON(w io.Writer, statuses []admin.NodeStatus) error {
	enc := json.NewEncoder(w)
	for _, s := range statuses {
		if s.Err == nil {
			if err := enc.Encode(s.Status); err != nil {
				return err
			}
		}
	}
	return nil
}

// printStatus prints a table with one row for each node, including nodes that did
// not answer.
func printStatus(w io.Writer, statuses []admin.NodeStatus) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "NODE\tDATA CENTRE\tSTATE\tREVISION\tKEYS\tIN FLIGHT\tWAITING\tUPSTREAMS")
	for _, s := range statuses {
		if s.Err != nil {
			fmt.Fprintf(tw, "%s\t-\tunreachable\t-\t-\t-\t-\t-\n", s.Addr)
			continue
		}
		st := s.Status
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\n", st.Node, st.DataCentre, nodeState(s), st.Revision, keyState(s), st.InFlight, st.Waiting, len(st.Upstreams))
	}
	_ = tw.Flush()
}

// nodeState returns the value of the STATE column for a node that answered.
func nodeState(s admin.NodeStatus) string {
	switch {
	case s.Status.Leaving:
		return "leaving"
	case !s.Status.Ready:
		return "not ready"
	default:
		return "serving"
	}
}

// keyState returns the value of the KEYS column: whether the node accepts the keys of
// callers, and why not.
func keyState(s admin.NodeStatus) string {
	if s.Status.Keys.Confirmed {
		return "confirmed"
	}
	return "refused: " + s.Status.Keys.Reason
}

func entriesCommand() *cli.Command {
	return &cli.Command{
		Name: "entries", Usage: "show the list of node addresses that a node returns to callers", ArgsUsage: "CALLER-ADDRESS",
		Description: "Example:\n  vanectl entries 10.0.0.7:8080",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return cli.Exit("entries takes one address, at which a node serves callers", exitUsage)
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmd.Args().First()+"/v1/entries", nil)
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return cli.Exit(err.Error(), exitFailed)
			}
			defer resp.Body.Close()
			_, err = io.Copy(cmd.Root().Writer, resp.Body)
			return err
		},
	}
}

// filterFlags returns the flags that select events.
func filterFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "workspace"}, &cli.StringFlag{Name: "request"},
		&cli.StringFlag{Name: "subject", Usage: "name of the upstream, shard or key"},
		&cli.StringFlag{Name: "what", Usage: "kind of event"},
	}
}

// eventFilter returns the filter given by the flags of filterFlags. A flag that is not
// set selects all events.
func eventFilter(cmd *cli.Command) event.Filter {
	return event.Filter{Workspace: cmd.String("workspace"), RequestID: cmd.String("request"), Subject: cmd.String("subject"), Kind: cmd.String("what")}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "show the events of all nodes in causal order",
		Description: "Example:\n  vanectl --nodes A,B timeline --workspace taller-sur --follow",
		Flags:       append(filterFlags(), &cli.BoolFlag{Name: "follow", Aliases: []string{"f"}, Usage: "keep printing new events until interrupted"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newAdminClient(cmd)
			if err != nil {
				return err
			}
			if cmd.Bool("follow") {
				ctx, cancel := signal.NotifyContext(ctx, os.Interrupt)
				defer cancel()
				c.Follow(ctx, eventFilter(cmd), func(evs []vane.Event) { printEvents(cmd.Root().Writer, evs) })
				return nil
			}
			evs, errs := c.Timeline(ctx, eventFilter(cmd))
			printEvents(cmd.Root().Writer, evs)
			return reportErrors(cmd, errs)
		},
	}
}

// reportErrors prints the errors of nodes that did not answer. It returns an error if
// there are any, because the output lacks those nodes.
func reportErrors(cmd *cli.Command, errs []error) error {
	for _, err := range errs {
		fmt.Fprintln(cmd.Root().ErrWriter, "vanectl:", err)
	}
	if len(errs) > 0 {
		return cli.Exit("output is incomplete because not every node answered", exitFailed)
	}
	return nil
}

// printEvents prints one line for each event. Fields without a value are left out.
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
				return cli.Exit("why takes one argument: the id of a request or the name of a workspace or upstream", exitUsage)
			}
			if path := cmd.String("logs"); path != "" {
				return whyFromLogs(cmd, path, cmd.Args().First())
			}
			c, err := newAdminClient(cmd)
			if err != nil {
				return err
			}
			name := cmd.Args().First()
			evs, errs := c.Timeline(ctx, event.Filter{})
			explain(cmd.Root().Writer, name, evs)
			return reportErrors(cmd, errs)
		},
	}
}

// whyFromLogs explains what happened to the request, workspace or upstream with the
// given name from the logs at path, which may be "-" for standard input. Lines that
// are not log lines are counted on standard error.
func whyFromLogs(cmd *cli.Command, path, name string) error {
	lines, skipped, err := logs.Read(path)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	if skipped > 0 {
		fmt.Fprintf(cmd.Root().ErrWriter, "vanectl: skipped %d lines that are not log lines\n", skipped)
	}
	logs.Explain(lines, name).Print(cmd.Root().Writer)
	return nil
}

// explain prints, for the request, workspace or subject with the given name, the number
// of refusals, waits, reroutes and broken streams for each reason, and then the events. Events of served requests are left out because they need no explanation.
func explain(w io.Writer, name string, evs []vane.Event) {
	var matching []vane.Event
	countByReason := map[vane.Reason]int{}
	for _, e := range evs {
		if e.RequestID != name && e.Workspace != name && e.Subject != name {
			continue
		}
		if e.Kind != vane.EventServed {
			matching = append(matching, e)
		}
		if e.Kind == vane.EventRefused || e.Kind == vane.EventWaited || e.Kind == vane.EventRerouted || e.Kind == vane.EventStreamBroken {
			countByReason[e.Reason]++
		}
	}
	if len(matching) == 0 {
		fmt.Fprintf(w, "no events except served requests are recorded for %s since %s\n", name, oldestTime(evs))
		return
	}
	for r := vane.ReasonNone; r <= vane.ReasonInternal; r++ {
		if countByReason[r] > 0 {
			fmt.Fprintf(w, "%6d × %s\n", countByReason[r], r)
		}
	}
	printEvents(w, matching)
}

// oldestTime returns the time of the first event, or "the nodes started" if there
// are none. The events must be sorted by time.
func oldestTime(evs []vane.Event) string {
	if len(evs) == 0 {
		return "the nodes started"
	}
	return evs[0].Wall.UTC().Format(time.RFC3339)
}
