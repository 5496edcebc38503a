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

// measurement is one figure of an experiment, in the form of the result file.
type measurement struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Case       string  `json:"case"`
	Quantity   string  `json:"what"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
}

// recorder collects the measurements of an experiment and prints each to w.
type recorder struct {
	name         string
	seed         uint64
	w            io.Writer
	measurements []measurement
}

// record prints a figure and adds it to the measurements.
func (rec *recorder) record(caseName, quantity string, value float64, unit string) {
	rec.measurements = append(rec.measurements, measurement{rec.name, rec.seed, caseName, quantity, value, unit})
	fmt.Fprintf(rec.w, "%-28s %-34s %12.3f %s\n", caseName, quantity, value, unit)
}

// recordTime records a duration in milliseconds.
func (rec *recorder) recordTime(caseName, quantity string, d time.Duration) {
	rec.record(caseName, quantity, float64(d.Microseconds())/1000, "ms")
}

// experiments maps the name of each experiment to its function.
var experiments = map[string]func(context.Context, *recorder) error{
	"latency":  measureLatency,
	"restart":  measureRestart,
	"wild":     measureFlood,
	"budget":   measureBudgets,
	"withdraw": measureWithdrawal,
	"detect":   measureCrashDetection,
	"streams":  measureStreams,
}

func experimentCommand() *cli.Command {
	names := make([]string, 0, len(experiments))
	for n := range experiments {
		names = append(names, n)
	}
	sort.Strings(names)
	return &cli.Command{
		Name: "experiment", Usage: "run one experiment over loopback sockets", ArgsUsage: fmt.Sprint(names),
		Description: "Writes out/NAME.jsonl and out/NAME.svg.\n\nExample:\n  vanebench experiment budget --seed 3",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "out", Value: "out", Usage: "`DIRECTORY` for the results"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name := cmd.Args().First()
			f, ok := experiments[name]
			if !ok {
				return fmt.Errorf("unknown experiment %q; choose one of %v", name, names)
			}
			klog.LogToStderr(false)
			klog.SetOutput(io.Discard)
			rec := &recorder{name: name, seed: cmd.Uint64("seed"), w: os.Stdout}
			fmt.Printf("experiment %s, seed %d\n", rec.name, rec.seed)
			if err := f(ctx, rec); err != nil {
				return err
			}
			return rec.save(cmd.String("out"))
		},
	}
}

// save writes the measurements to NAME.jsonl and a bar chart of them to NAME.svg in
// dir, which it creates if needed.
func (rec *recorder) save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, rec.name+".jsonl"))
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for _, x := range rec.measurements {
		if err := enc.Encode(x); err != nil {
			return err
		}
	}
	return rec.plot(filepath.Join(dir, rec.name+".svg"))
}

// plot writes a bar chart of the measurements in the most frequent unit to file.
// Measurements in other units would not share its axis and are left out.
func (rec *recorder) plot(file string) error {
	count := map[string]int{}
	unit := ""
	for _, x := range rec.measurements {
		if count[x.Unit]++; count[x.Unit] > count[unit] {
			unit = x.Unit
		}
	}
	var values plotter.Values
	var labels []string
	for _, x := range rec.measurements {
		if x.Unit == unit {
			values = append(values, x.Value)
			labels = append(labels, x.Case+": "+x.Quantity)
		}
	}
	bars, err := plotter.NewBarChart(values, vg.Points(8))
	if err != nil {
		return err
	}
	bars.Horizontal = true
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", rec.name, rec.seed)
	p.X.Label.Text = unit
	p.Add(bars)
	p.NominalY(labels...)
	return p.Save(20*vg.Centimeter, vg.Length(2+float64(len(values))*0.6)*vg.Centimeter, file)
}
