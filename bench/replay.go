package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/trace"
)

// Case is a recorded trace with its fleet, its fault schedule and the outcomes
// that are stated for it. docs/TRACES.md describes the file.
type Case struct {
	Name        string   `yaml:"-"`
	Description string   `yaml:"about"`
	Nodes       int      `yaml:"nodes"`
	Engines     int      `yaml:"engines"`
	Rate        float64  `yaml:"rate"`  // of each workspace, tokens a second; zero for plenty
	Burst       float64  `yaml:"burst"` // of each workspace, tokens
	Faults      []Fault  `yaml:"faults"`
	Outcomes    Outcomes `yaml:"outcomes"`

	Requests []trace.Request `yaml:"-"`
}

// Fault is one entry of a fault schedule.
type Fault struct {
	AtMS           int64         `yaml:"at_ms"`
	Engine         string        `yaml:"engine"`   // name of the engine concerned
	Node           int           `yaml:"node"`     // number of the node concerned, from 1
	Action         string        `yaml:"do"`       // kill, start or drain
	Faults         engine.Faults `yaml:"faults"`   // of the engine, if do is empty
	Platform       *plat.Faults  `yaml:"platform"` // of the platform
	WithdrawKeysOf string        `yaml:"withdraw"` // workspace whose keys are withdrawn
	fleet          *config.Fleet
}

// Outcomes are what must come of a replay. Fields that are left out state nothing.
type Outcomes struct {
	Complete  *int           `yaml:"complete"`   // requests answered in full, at least
	Refused   map[string]int `yaml:"refused"`    // refusals by reason, at most; others may not occur
	NotRun    bool           `yaml:"not_run"`    // every refusal before a stream says not_run
	OverLimit float64        `yaml:"over_limit"` // tokens above rate and burst, at most
	Crashes   *int           `yaml:"crashes"`    // engines that crashed, at most
	Resumed   *int           `yaml:"resumed"`    // streams that another engine went on with, at least
	HitRate   float64        `yaml:"hit_rate"`   // cached part of the prompt tokens, at least
}

// ReadCase reads case.yaml and trace.jsonl from a directory.
func ReadCase(dir string) (*Case, error) {
	c := &Case{Name: filepath.Base(dir), Nodes: defaultNodes, Engines: defaultEngines}
	b, err := os.ReadFile(filepath.Join(dir, "case.yaml"))
	if err != nil {
		return nil, errors.Wrap(err, "bench: replay")
	}
	if err := yaml.UnmarshalWithOptions(b, c, yaml.Strict(), yaml.UseJSONUnmarshaler()); err != nil {
		return nil, errors.Wrapf(err, "bench: %s/case.yaml", dir)
	}
	f, err := os.Open(filepath.Join(dir, "trace.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "bench: replay")
	}
	defer f.Close()
	c.Requests, err = trace.Read(f)
	return c, err
}

// fleet returns the configuration of the case.
func (c *Case) fleet() *config.Fleet {
	seen := map[string]bool{}
	var names []string
	for _, r := range c.Requests {
		if !seen[r.Workspace] {
			seen[r.Workspace] = true
			names = append(names, r.Workspace)
		}
	}
	sort.Strings(names)
	f := DefaultFleet(names...)
	for i := range f.Workspaces {
		if c.Rate > 0 {
			f.Workspaces[i].Rate, f.Workspaces[i].Burst = c.Rate, c.Burst
		}
	}
	return f
}

// Replay drives the case on a fresh fleet and returns the report and every
// outcome that was missed.
func (c *Case) Replay(ctx context.Context) (*Report, []string, error) {
	f, err := Start(ctx, WithNodes(c.Nodes), WithEngines(c.Engines, engine.WithSpeed(2e6, 2*time.Millisecond), engine.WithCache(4000, 64)))
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	fleet := c.fleet()
	if err := f.Apply(ctx, fleet); err != nil {
		return nil, nil, err
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.schedule(ctx, c.Faults, fleet) })
	rep := f.Drive(ctx, c.Requests, nil)
	wg.Wait()
	return rep, c.check(f, fleet, rep), nil
}

// schedule lets the faults happen at their times.
func (f *Fleet) schedule(ctx context.Context, faults []Fault, fleet *config.Fleet) {
	begin := time.Now()
	for _, x := range faults {
		if !clock.SleepUntil(ctx, begin.Add(time.Duration(x.AtMS)*time.Millisecond)) {
			return
		}
		x.fleet = fleet
		f.happen(ctx, x)
	}
}

// happen lets one fault happen.
func (f *Fleet) happen(ctx context.Context, x Fault) {
	if x.Platform != nil {
		f.Platform.SetFaults(*x.Platform)
	}
	if x.WithdrawKeysOf != "" {
		_ = f.withdraw(ctx, x)
	}
	for _, e := range f.Engines {
		if e.Name != x.Engine {
			continue
		}
		switch x.Action {
		case "kill":
			e.Kill()
		case "start":
			_ = f.RestartEngine(e)
		default:
			e.SetFaults(x.Faults)
		}
	}
	if x.Node > 0 {
		f.nodeFault(ctx, x)
	}
}

// nodeFault kills, drains or starts a node.
func (f *Fleet) nodeFault(ctx context.Context, x Fault) {
	switch i := x.Node - 1; x.Action {
	case "kill":
		f.KillNode(i)
	case "drain":
		go func() { _ = f.Nodes[i].Drain(ctx) }()
	case "start":
		_ = f.StartNode(ctx, i)
	}
}

// withdraw takes all keys of a workspace back.
func (f *Fleet) withdraw(ctx context.Context, x Fault) error {
	next := *x.fleet
	next.Workspaces = append([]config.Workspace(nil), x.fleet.Workspaces...)
	for i := range next.Workspaces {
		if next.Workspaces[i].Name == x.WithdrawKeysOf {
			next.Workspaces[i].Keys = nil
		}
	}
	return f.Apply(ctx, &next)
}

// check compares what came of a replay with the stated outcomes.
func (c *Case) check(f *Fleet, fleet *config.Fleet, rep *Report) []string {
	var missed []string
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	o := c.Outcomes
	for _, w := range rep.Mismatches {
		miss("a wrong answer: %s", w)
	}
	if o.Complete != nil && rep.Complete < *o.Complete {
		miss("%d of %d requests complete, stated are at least %d", rep.Complete, rep.Requests, *o.Complete)
	}
	for r, n := range rep.Reasons {
		if n > o.Refused[r] {
			miss("%d refused as %s, stated are at most %d", n, r, o.Refused[r])
		}
	}
	for _, r := range rep.Results {
		if o.NotRun && r.Execution != "" && r.Execution != "not_run" {
			miss("a refusal as %s says %s", r.Reason, r.Execution)
		}
	}
	for _, m := range f.Meter(fleet) {
		if m.OverLimit > o.OverLimit {
			miss("%.0f tokens of %s over the limit", m.OverLimit, m.Workspace)
		}
	}
	if rep.HitRate < o.HitRate {
		miss("hit rate %.3f, stated is %.3f", rep.HitRate, o.HitRate)
	}
	return append(missed, f.checkEngines(o)...)
}

// checkEngines compares what happened to the engines with the stated outcomes.
func (f *Fleet) checkEngines(o Outcomes) []string {
	var missed []string
	crashes, resumed := 0, 0
	for _, e := range f.Engines {
		if !e.Alive() {
			crashes++
		}
		for _, l := range e.Log() {
			if l.ResumeOffset > 0 {
				resumed++
			}
		}
	}
	if o.Crashes != nil && crashes > *o.Crashes {
		missed = append(missed, fmt.Sprintf("%d engines crashed, stated are at most %d", crashes, *o.Crashes))
	}
	if o.Resumed != nil && resumed < *o.Resumed {
		missed = append(missed, fmt.Sprintf("%d streams resumed, stated are at least %d", resumed, *o.Resumed))
	}
	return missed
}
