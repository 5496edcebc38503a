package bench

import (
	"slices"
	"time"

	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
)

// MeteredUsage is what an independent meter at the engines found for a workspace.
type MeteredUsage struct {
	Workspace string
	Tokens    float64 // spent in all
	OverLimit float64 // spent above rate and burst in the worst window
}

// Meter adds up what the engines ran for each workspace and compares it with its
// rate and burst in every window. It knows nothing of the router's own counts.
func (f *Fleet) Meter(fleet *config.Fleet) []MeteredUsage {
	logs := make(map[string][]engine.LogEntry)
	for _, e := range f.Engines {
		for _, l := range e.Log() {
			logs[l.Workspace] = append(logs[l.Workspace], l)
		}
	}
	var out []MeteredUsage
	for _, w := range fleet.Workspaces {
		log := logs[w.Name]
		slices.SortFunc(log, func(a, b engine.LogEntry) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
		out = append(out, meter(w, log))
	}
	return out
}

// meter runs the entries, sorted by time, through the strictest bucket that the
// workspace's rate and burst allow.
func meter(w config.Workspace, log []engine.LogEntry) MeteredUsage {
	m := MeteredUsage{Workspace: w.Name}
	level, at := w.Burst, time.Time{}
	for _, l := range log {
		if !at.IsZero() {
			level = min(w.Burst, level+w.Rate*l.ArrivedAt.Sub(at).Seconds())
		}
		at = l.ArrivedAt
		n := float64(l.PromptTokens + l.GeneratedTokens)
		level -= n
		m.Tokens += n
		m.OverLimit = max(m.OverLimit, -level)
	}
	return m
}
