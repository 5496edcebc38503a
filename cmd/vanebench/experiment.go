package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"k8s.io/klog/v2"
)

// finding is one figure of an experiment.
type finding struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Case       string  `json:"case"`
	What       string  `json:"what"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
}

// lab collects the findings of an experiment.
type lab struct {
	name     string
	seed     uint64
	w        io.Writer
	findings []finding
}

// note prints and keeps a figure.
func (l *lab) note(kase, what string, value float64, unit string) {
	l.findings = append(l.findings, finding{l.name, l.seed, kase, what, value, unit})
	fmt.Fprintf(l.w, "%-28s %-34s %12.3f %s\n", kase, what, value, unit)
}

// noteTime keeps a duration in milliseconds.
func (l *lab) noteTime(kase, what string, d time.Duration) {
	l.note(kase, what, float64(d.Microseconds())/1000, "ms")
}

// experiments are the names and functions of all experiments.
var experiments = map[string]func(context.Context, *lab) error{
	"latency":  latency,
	"restart":  restart,
	"wild":     wild,
	"budget":   budgets,
	"withdraw": withdraw,
	"detect":   detect,
	"streams":  streams,
}

func experimentCommand() *cli.Command {
	names := make([]string, 0, len(experiments))
	for n := range experiments {
		names = append(names, n)
	}
	sort.Strings(names)
	return &cli.Command{
		Name: "experiment", Usage: "measure one matter on real sockets", ArgsUsage: fmt.Sprint(names),
		Description: "Writes out/NAME.jsonl and out/NAME.svg.\n\nExample:\n  vanebench experiment budget --seed 3",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "out", Value: "out", Usage: "`DIRECTORY` of the results"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name := cmd.Args().First()
			f, ok := experiments[name]
			if !ok {
				return fmt.Errorf("no experiment %q; take one of %v", name, names)
			}
			klog.LogToStderr(false)
			klog.SetOutput(io.Discard)
			l := &lab{name: name, seed: cmd.Uint64("seed"), w: os.Stdout}
			fmt.Printf("experiment %s, seed %d\n", l.name, l.seed)
			if err := f(ctx, l); err != nil {
				return err
			}
			return l.save(cmd.String("out"))
		},
	}
}

// save writes the findings and a picture of them.
func (l *lab) save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, l.name+".jsonl"))
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for _, x := range l.findings {
		if err := enc.Encode(x); err != nil {
			return err
		}
	}
	return l.plot(filepath.Join(dir, l.name+".svg"))
}

// plot draws one bar for each finding of the most frequent unit.
func (l *lab) plot(file string) error {
	count := map[string]int{}
	unit := ""
	for _, x := range l.findings {
		if count[x.Unit]++; count[x.Unit] > count[unit] {
			unit = x.Unit
		}
	}
	var values plotter.Values
	var labels []string
	for _, x := range l.findings {
		if x.Unit == unit {
			values = append(values, x.Value)
			labels = append(labels, x.Case+": "+x.What)
		}
	}
	bars, err := plotter.NewBarChart(values, vg.Points(8))
	if err != nil {
		return err
	}
	bars.Horizontal = true
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", l.name, l.seed)
	p.X.Label.Text = unit
	p.Add(bars)
	p.NominalY(labels...)
	return p.Save(20*vg.Centimeter, vg.Length(2+float64(len(values))*0.6)*vg.Centimeter, file)
}
