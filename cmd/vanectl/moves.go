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
		Name: "moves", Usage: "show how far each model's move to a new version is, and why it stopped",
		Description: "Example:\n  vanectl --nodes 10.0.0.7:8081,10.0.0.8:8081 moves",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := nodes(cmd)
			if err != nil {
				return err
			}
			printMoves(cmd.Root().Writer, c.Status(ctx))
			return nil
		},
	}
}

// printMoves prints one row for each model and node.
func printMoves(w io.Writer, sts []admin.NodeStatus) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "MODEL\tNODE\tFROM\tTO\tSTAGE\tSHARE\tGOOD\tDEADLINE\tCAUSE")
	for _, s := range sts {
		if s.Err != nil {
			fmt.Fprintf(tw, "-\t%s\tunreachable\t-\t-\t-\t-\t-\t-\n", s.Addr)
			continue
		}
		for _, m := range s.Status.Moves {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%.1f %%\t%d\t%s\t%s\n",
				m.Model, s.Status.Node, m.From, m.To, m.Stage, 100*m.Share, m.Good, deadline(m), cause(m))
		}
	}
	_ = tw.Flush()
}

// deadline says whether a move's deadline can be met.
func deadline(m node.MoveStatus) string {
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

// cause names why a move was taken back.
func cause(m node.MoveStatus) string {
	if m.Stage != canary.StageRolledBack {
		return "-"
	}
	where := "all routes"
	if m.Route != "" {
		where = m.Route
	}
	return fmt.Sprintf("%s on %s: %.0f %%, expected %.1f %%", m.Reason, where, 100*m.Have, 100*m.Want)
}
