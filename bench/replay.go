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

// Case is a recorded trace with the fleet it runs on, a fault schedule and the
// expected outcomes. docs/TRACES.md describes the files.
type Case struct {
	Name        string   `yaml:"-"`
	Description string   `yaml:"about"`
	Nodes       int      `yaml:"nodes"`
	Engines     int      `yaml:"engines"`
	Rate        float64  `yaml:"rate"`  // tokens per second of each workspace; zero leaves rate and burst as in DefaultFleet
	Burst       float64  `yaml:"burst"` // tokens of each workspace; ignored if Rate is zero
	Faults      []Fault  `yaml:"faults"`
	Outcomes    Outcomes `yaml:"outcomes"`

	Requests []trace.Request `yaml:"-"`
}

// Fault is one entry of a fault schedule. It may combine faults of the platform, of an
// engine, of a node and of a workspace's keys.
type Fault struct {
	AtMS           int64         `yaml:"at_ms"`    // time in milliseconds after the start of the replay
	Engine         string        `yaml:"engine"`   // name of the engine that Action or Faults concerns, such as engine-1
	Node           int           `yaml:"node"`     // number of the node that Action concerns, counted from 1
	Action         string        `yaml:"do"`       // kill, start or, for nodes only, drain
	Faults         engine.Faults `yaml:"faults"`   // new faults of the engine; ignored if Action is kill or start
	Platform       *plat.Faults  `yaml:"platform"` // new faults of the platform; nil leaves them as they are
	WithdrawKeysOf string        `yaml:"withdraw"` // name of the workspace whose keys are removed
	baseFleet      *config.Fleet // configuration from which the keys are removed
}

// Outcomes are the expected results of a replay. Refused and OverLimit apply also when
// absent, as zero; the other fields are checked only if set.
type Outcomes struct {
	Complete  *int           `yaml:"complete"`   // minimum number of complete responses
	Refused   map[string]int `yaml:"refused"`    // maximum number of failed requests by reason; zero for reasons not listed
	NotRun    bool           `yaml:"not_run"`    // whether every refusal before the start of a stream must state the execution not_run
	OverLimit float64        `yaml:"over_limit"` // maximum tokens of a workspace above its rate and burst
	Crashes   *int           `yaml:"crashes"`    // maximum number of engines that do not listen at the end
	Resumed   *int           `yaml:"resumed"`    // minimum number of streams that an engine continued at an offset
	HitRate   float64        `yaml:"hit_rate"`   // minimum share of the prompt tokens that was cached
}

// ReadCase reads case.yaml and trace.jsonl from a directory. Unknown fields in
// case.yaml are errors.
func ReadCase(dir string) (*Case, error) {
	c := &Case{Name: filepath.Base(dir), Nodes: defaultNodes, Engines: defaultEngines}
	b, err := os.ReadFile(filepath.Join(dir, "case.yaml"))
	if err != nil {
		return nil, errors.Wrap(err, "bench: read case")
	}
	if err := yaml.UnmarshalWithOptions(b, c, yaml.Strict(), yaml.UseJSONUnmarshaler()); err != nil {
		return nil, errors.Wrapf(err, "bench: %s/case.yaml", dir)
	}
	f, err := os.Open(filepath.Join(dir, "trace.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "bench: read case")
	}
	defer f.Close()
	c.Requests, err = trace.Read(f)
	return c, err
}

// fleet returns DefaultFleet for the workspaces in the trace, with the case's limits.
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

// Replay runs the case on a new fleet. It returns the report and one message for
// each expectation that was not met. An error means that the fleet failed to start
// or to accept its configuration.
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
	wg.Go(func() { f.runFaults(ctx, c.Faults, fleet) })
	rep := f.Drive(ctx, c.Requests, nil)
	wg.Wait()
	return rep, c.check(f, fleet, rep), nil
}

// runFaults injects each fault at its time until ctx ends.
func (f *Fleet) runFaults(ctx context.Context, faults []Fault, fleet *config.Fleet) {
	begin := time.Now()
	for _, x := range faults {
		if !clock.SleepUntil(ctx, begin.Add(time.Duration(x.AtMS)*time.Millisecond)) {
			return
		}
		x.baseFleet = fleet
		f.inject(ctx, x)
	}
}

// inject injects one fault. Errors of the calls involved are ignored.
func (f *Fleet) inject(ctx context.Context, x Fault) {
	if x.Platform != nil {
		f.Platform.SetFaults(*x.Platform)
	}
	if x.WithdrawKeysOf != "" {
		_ = f.withdrawKeys(ctx, x)
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
		f.injectNodeFault(ctx, x)
	}
}

// injectNodeFault kills, drains or starts a node. It does not wait for a drain to end.
func (f *Fleet) injectNodeFault(ctx context.Context, x Fault) {
	switch i := x.Node - 1; x.Action {
	case "kill":
		f.KillNode(i)
	case "drain":
		go func() { _ = f.Nodes[i].Drain(ctx) }()
	case "start":
		_ = f.StartNode(ctx, i)
	}
}

// withdrawKeys applies the configuration x.baseFleet without the keys of one workspace.
func (f *Fleet) withdrawKeys(ctx context.Context, x Fault) error {
	next := *x.baseFleet
	next.Workspaces = append([]config.Workspace(nil), x.baseFleet.Workspaces...)
	for i := range next.Workspaces {
		if next.Workspaces[i].Name == x.WithdrawKeysOf {
			next.Workspaces[i].Keys = nil
		}
	}
	return f.Apply(ctx, &next)
}

// check compares the results of a replay with the expected outcomes and returns one
// message for each difference.
func (c *Case) check(f *Fleet, fleet *config.Fleet, rep *Report) []string {
	var missed []string
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	o := c.Outcomes
	for _, w := range rep.Mismatches {
		miss("incorrect response: %s", w)
	}
	if o.Complete != nil && rep.Complete < *o.Complete {
		miss("%d of %d responses complete, want at least %d", rep.Complete, rep.Requests, *o.Complete)
	}
	for r, n := range rep.Reasons {
		if n > o.Refused[r] {
			miss("%d requests failed with reason %s, want at most %d", n, r, o.Refused[r])
		}
	}
	for _, r := range rep.Results {
		if o.NotRun && r.Execution != "" && r.Execution != "not_run" {
			miss("a refusal with reason %s states execution %s, want not_run", r.Reason, r.Execution)
		}
	}
	for _, m := range f.Meter(fleet) {
		if m.OverLimit > o.OverLimit {
			miss("%.0f tokens above the limit of workspace %s", m.OverLimit, m.Workspace)
		}
	}
	if rep.HitRate < o.HitRate {
		miss("cache hit rate %.3f, want at least %.3f", rep.HitRate, o.HitRate)
	}
	return append(missed, f.checkEngines(o)...)
}

// checkEngines compares the crashes and resumed streams of the engines with the
// expected outcomes and returns one message for each difference.
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
		missed = append(missed, fmt.Sprintf("%d engines crashed, want at most %d", crashes, *o.Crashes))
	}
	if o.Resumed != nil && resumed < *o.Resumed {
		missed = append(missed, fmt.Sprintf("%d streams resumed, want at least %d", resumed, *o.Resumed))
	}
	return missed
}
