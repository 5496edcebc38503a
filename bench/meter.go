package bench

import (
	"slices"
	"time"

	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
)

// MeteredUsage is the usage of a workspace as logged by the engines.
type MeteredUsage struct {
	Workspace string
	Tokens    float64 // sum of prompt and generated tokens
	OverLimit float64 // largest number of tokens above what rate and burst allow at any time
}

// Meter adds up the tokens that the engines logged for each workspace and compares
// them with the workspace's rate and burst. It uses only the engines' logs, so that
// errors in the router's own accounting show.
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
		out = append(out, meterWorkspace(w, log))
	}
	return out
}

// meterWorkspace charges the entries, sorted by arrival, to a token bucket with the
// workspace's rate and burst that is full at the start. A negative level is usage
// above the limit.
func meterWorkspace(w config.Workspace, log []engine.LogEntry) MeteredUsage {
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
