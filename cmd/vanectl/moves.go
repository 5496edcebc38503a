package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/canary"
	"mustardvane.org/vane/node"
)

func movesCommand() *cli.Command {
	return &cli.Command{
		Name: "moves", Usage: "show the stage of each model's move to a new version, and why it was rolled back",
		Description: "Example:\n  vanectl --nodes 10.0.0.7:8081,10.0.0.8:8081 moves",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newAdminClient(cmd)
			if err != nil {
				return err
			}
			printMoves(cmd.Root().Writer, c.Status(ctx))
			return nil
		},
	}
}

// printMoves prints a table with one row for each model and node, and one for each
// node that did not answer.
func printMoves(w io.Writer, statuses []admin.NodeStatus) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "MODEL\tNODE\tFROM\tTO\tSTAGE\tSHARE\tGOOD\tDEADLINE\tCAUSE")
	for _, s := range statuses {
		if s.Err != nil {
			fmt.Fprintf(tw, "-\t%s\tunreachable\t-\t-\t-\t-\t-\t-\n", s.Addr)
			continue
		}
		for _, m := range s.Status.Moves {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%.1f %%\t%d\t%s\t%s\n",
				m.Model, s.Status.Node, m.From, m.To, m.Stage, 100*m.Share, m.Good, deadlineStatus(m), rollbackCause(m))
		}
	}
	_ = tw.Flush()
}

// deadlineStatus returns "none" for a move without a deadline, "met" for a completed
// move, and otherwise the deadline, followed by "can't be met" if it is too late.
func deadlineStatus(m node.MoveStatus) string {
	switch {
	case m.MoveBy == "":
		return "none"
	case m.Stage == canary.StageDone:
		return "met"
	case m.Late:
		return m.MoveBy + " can't be met"
	default:
		return m.MoveBy
	}
}

// rollbackCause returns why a move was rolled back: the reason, the route, and the
// observed and expected share of bad results. It returns "-" for any other move.
func rollbackCause(m node.MoveStatus) string {
	if m.Stage != canary.StageRolledBack {
		return "-"
	}
	routes := "all routes"
	if m.Route != "" {
		routes = m.Route
	}
	return fmt.Sprintf("%s on %s: %.0f %%, expected %.1f %%", m.Reason, routes, 100*m.Have, 100*m.Want)
}
