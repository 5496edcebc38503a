package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/lint"
)

// exitWarnings is the exit code of check --strict if there are only warnings.
const exitWarnings = 2

// againstPlatform is the value of --against that names the configuration in force.
const againstPlatform = "platform"

// checkReport is the result of check, as --json prints it.
type checkReport struct {
	File     string        `json:"file"`
	Findings []lineFinding `json:"findings"`          // by line
	Against  string        `json:"against,omitempty"` // what the file was compared with
	Changes  []lint.Change `json:"changes,omitzero"`  // nil if not compared
}

// lineFinding is a finding with its line in the file.
type lineFinding struct {
	Line int `json:"line"`
	lint.Finding
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a configuration before it is applied", ArgsUsage: "FILE",
		Description: "Exit codes: 0 no errors, 1 errors, 2 warnings with --strict.\n" +
			"Example:\n  vanectl --platform URL check --against platform --strict fleet.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "show the changes from `SOURCE`: \"platform\" for the configuration in force, or a YAML file"},
			&cli.BoolFlag{Name: "upstreams", Usage: "ask the nodes of --nodes which models have upstreams"},
			&cli.BoolFlag{Name: "strict", Usage: "fail with exit code 2 if there are warnings only"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: check,
	}
}

func check(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("name one file to check", exitUsage)
	}
	r, err := newCheckReport(ctx, cmd, cmd.Args().First())
	if err != nil {
		if c, ok := err.(cli.ExitCoder); ok {
			return c
		}
		return cli.Exit(err.Error(), exitFailed)
	}
	if err := r.print(cmd.Root().Writer, cmd.Bool("json")); err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	nErr, nWarn := r.count()
	switch {
	case nErr > 0:
		return cli.Exit(fmt.Sprintf("%s: errors: %d, warnings: %d", r.File, nErr, nWarn), exitFailed)
	case nWarn > 0 && cmd.Bool("strict"):
		return cli.Exit(fmt.Sprintf("%s: warnings: %d", r.File, nWarn), exitWarnings)
	}
	return nil
}

// newCheckReport checks the file and, if the flags ask for it, compares it with
// another configuration. An invalid file gives a report with one error and no changes.
func newCheckReport(ctx context.Context, cmd *cli.Command, file string) (*checkReport, error) {
	r := &checkReport{File: file, Findings: []lineFinding{}}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	f, err := config.ParseFleet(file, b)
	var fe *config.FieldError
	if errors.As(err, &fe) {
		r.Findings = append(r.Findings, lineFinding{Line: fe.Line, Finding: lint.Finding{
			Severity: lint.Error, Rule: "invalid", Field: fe.Field, Problem: fe.Problem, Remedy: fe.Remedy,
		}})
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	lines, err := config.ParseLines(file, b)
	if err != nil {
		return nil, err
	}
	found := lint.Check(f, time.Now())
	if cmd.Bool("upstreams") {
		served, err := servedModels(ctx, cmd)
		if err != nil {
			return nil, err
		}
		found = append(found, lint.CheckServed(f, served)...)
	}
	for _, x := range found {
		r.Findings = append(r.Findings, lineFinding{Line: lines.Line(x.Field), Finding: x})
	}
	slices.SortStableFunc(r.Findings, func(a, b lineFinding) int { return a.Line - b.Line })
	return r, r.compare(ctx, cmd, f)
}

// servedModels returns the models of the upstreams that the nodes of --nodes know. It
// returns an error if no node answers.
func servedModels(ctx context.Context, cmd *cli.Command) ([]string, error) {
	c, err := newAdminClient(cmd)
	if err != nil {
		return nil, err
	}
	var models []string
	answered := false
	for _, s := range c.Status(ctx) {
		if s.Err != nil {
			continue
		}
		answered = true
		for _, u := range s.Status.Upstreams {
			models = append(models, u.Model)
		}
	}
	if !answered {
		return nil, errors.New("no node answers; check that the nodes run, or leave out --upstreams")
	}
	return models, nil
}

// compare adds the changes from the configuration that --against names.
func (r *checkReport) compare(ctx context.Context, cmd *cli.Command, f *config.Fleet) error {
	source := cmd.String("against")
	if source == "" {
		return nil
	}
	if source != againstPlatform {
		b, err := os.ReadFile(source)
		if err != nil {
			return err
		}
		old, err := config.ParseFleet(source, b)
		if err != nil {
			return err
		}
		r.Against, r.Changes = source, append([]lint.Change{}, lint.Diff(old, f)...)
		return nil
	}
	st, err := newStoreClient(cmd)
	if err != nil {
		return err
	}
	defer st.Close()
	old, rev, err := admin.Current(ctx, st)
	if err != nil {
		return err
	}
	r.Against, r.Changes = fmt.Sprintf("revision %d", rev), append([]lint.Change{}, lint.Diff(old, f)...)
	return nil
}

// count returns the numbers of errors and warnings.
func (r *checkReport) count() (nErr, nWarn int) {
	for _, x := range r.Findings {
		if x.Severity == lint.Error {
			nErr++
		} else {
			nWarn++
		}
	}
	return nErr, nWarn
}

// print writes the report as JSON or as text with one finding or change a line.
func (r *checkReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	var sb strings.Builder
	for _, x := range r.Findings {
		e := config.FieldError{File: r.File, Line: x.Line, Field: x.Field, Problem: x.Problem, Remedy: x.Remedy}
		fmt.Fprintf(&sb, "%s [%s %s]\n", e.Error(), x.Severity, x.Rule)
	}
	if r.Against != "" {
		fmt.Fprintf(&sb, "changes from %s: %d\n", r.Against, len(r.Changes))
	}
	for _, c := range r.Changes {
		if c.Kind == lint.Changed {
			fmt.Fprintf(&sb, "  changed %s: %s -> %s\n", c.Field, c.Old, c.New)
		} else {
			fmt.Fprintf(&sb, "  %s %s\n", c.Kind, c.Field)
		}
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&sb, "%s: good\n", r.File)
	}
	_, err := io.WriteString(w, sb.String())
	return err
}
