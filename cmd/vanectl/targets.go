package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/target"
)

func targetsCommand() *cli.Command {
	return &cli.Command{
		Name: "targets", Usage: "show for each class whether its targets are met, and the main cause of misses",
		Description: "A target is met if at most 5 in 100 results miss it. Refusals that a workspace causes itself, such as\n" +
			"limit_rate, are not counted.\n\nExample:\n  vanectl --nodes 10.0.0.7:8081,10.0.0.8:8081 targets",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := newAdminClient(cmd)
			if err != nil {
				return err
			}
			statuses := c.Status(ctx)
			printTargets(cmd.Root().Writer, statuses)
			return reportErrors(cmd, nodeErrors(statuses))
		},
	}
}

// nodeErrors returns the errors of the nodes that did not answer.
func nodeErrors(statuses []admin.NodeStatus) []error {
	var out []error
	for _, s := range statuses {
		if s.Err != nil {
			out = append(out, s.Err)
		}
	}
	return out
}

// printTargets prints a table with one row for each class, target and window. The
// counts of the nodes that answered are added up.
func printTargets(w io.Writer, statuses []admin.NodeStatus) {
	var all []target.Report
	for _, s := range statuses {
		all = append(all, s.Status.Targets...)
	}
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tTARGET\tWINDOW\tMET\tRESULTS\tMISSED\tFIRST CAUSE\tWORST WORKSPACE")
	for _, r := range target.Merge(all) {
		met, cause, worst := "yes", "-", "-"
		if !r.Met() {
			met = "NO"
		}
		if r.Missed > 0 {
			cause = fmt.Sprintf("%s (%d)", r.Cause(), r.Causes[r.Cause()])
			worst = fmt.Sprintf("%s %.1f %%", r.WorstWorkspace, 100*r.WorstMissRatio)
		}
		fmt.Fprintf(tw, "%s\t%s\t%d min\t%s\t%d\t%.1f %%\t%s\t%s\n", r.Class, r.Kind, r.Minutes, met, r.Results, 100*r.MissRatio(), cause, worst)
	}
	_ = tw.Flush()
}
