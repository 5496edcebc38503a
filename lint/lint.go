package lint

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mustardvane.org/vane/config"
)

// Severity is the weight of a finding.
type Severity int

// Severities.
const (
	Warning Severity = iota
	Error
)

// String returns the name in snake case, or "unknown".
func (s Severity) String() string {
	switch s {
	case Warning:
		return "warning"
	case Error:
		return "error"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     string   `json:"rule"`  // name of the rule, in snake case
	Field    string   `json:"field"` // YAML path, for example $.workspaces[0].burst
	Problem  string   `json:"problem"`
	Remedy   string   `json:"remedy"`
}

// Check returns the findings in f, in the order of classes, models, services and
// workspaces. f must be valid, see config.ParseFleet.
func Check(f *config.Fleet, now time.Time) []Finding {
	var out []Finding
	out = append(out, checkClasses(f)...)
	out = append(out, checkModels(f, now)...)
	out = append(out, checkServices(f)...)
	return append(out, checkWorkspaces(f)...)
}

// CheckServed returns a finding for each model of f that is not among the models
// that upstreams serve.
func CheckServed(f *config.Fleet, served []string) []Finding {
	var out []Finding
	for i, m := range f.Models {
		if !slices.Contains(served, m.Name) {
			out = append(out, warn("model_without_upstream", fmt.Sprintf("$.models[%d].name", i),
				fmt.Sprintf("no upstream serves the model %q", m.Name), "start an engine that serves it, or remove the model"))
		}
	}
	return out
}

func warn(rule, field, problem, remedy string) Finding {
	return Finding{Severity: Warning, Rule: rule, Field: field, Problem: problem, Remedy: remedy}
}

func checkClasses(f *config.Fleet) []Finding {
	var out []Finding
	for i, c := range f.Classes {
		used := slices.ContainsFunc(f.Workspaces, func(w config.Workspace) bool { return w.Class == c.Name })
		if !used {
			out = append(out, warn("class_unused", fmt.Sprintf("$.classes[%d].name", i),
				fmt.Sprintf("no workspace has the class %q", c.Name), "give the class to a workspace, or remove it"))
		}
	}
	return out
}

func checkModels(f *config.Fleet, now time.Time) []Finding {
	var out []Finding
	for i, m := range f.Models {
		by, err := time.Parse(time.RFC3339, m.MoveBy)
		if err == nil && by.Before(now) {
			out = append(out, warn("move_overdue", fmt.Sprintf("$.models[%d].move_by", i),
				"the deadline "+m.MoveBy+" is past", "set a later deadline, or remove it if the move is completed"))
		}
	}
	return out
}

func checkServices(f *config.Fleet) []Finding {
	var out []Finding
	for i, s := range f.Services {
		p := fmt.Sprintf("$.services[%d]", i)
		if len(s.Routes) == 0 {
			out = append(out, warn("service_without_route", p+".name",
				fmt.Sprintf("the service %q has no routes, so that no request reaches it", s.Name), "add a route, or remove the service"))
		}
		out = append(out, checkRoutes(p, s.Routes)...)
	}
	return out
}

// checkRoutes finds methods of routes that never match, since Fleet.FindRoute takes
// the first of several routes with the same path.
func checkRoutes(p string, routes []config.Route) []Finding {
	var out []Finding
	first := map[string]int{} // index of the first route by method and path
	for j, r := range routes {
		var shadowed []string
		by := 0
		for _, m := range r.Methods {
			at, ok := first[m+" "+r.Path]
			if !ok {
				first[m+" "+r.Path] = j
			} else if at != j {
				shadowed, by = append(shadowed, m), at
			}
		}
		field := fmt.Sprintf("%s.routes[%d].path", p, j)
		switch {
		case len(shadowed) == 0:
		case len(shadowed) == len(r.Methods):
			out = append(out, warn("route_shadowed", field,
				fmt.Sprintf("the route never matches: earlier routes, the last of them routes[%d], have the same path and methods", by), "remove one of the routes"))
		default:
			out = append(out, warn("method_shadowed", field,
				fmt.Sprintf("never matches %s: routes[%d] has the same path and comes first", strings.Join(shadowed, ", "), by), "list each method in one route only"))
		}
	}
	return out
}

func checkWorkspaces(f *config.Fleet) []Finding {
	var out []Finding
	owner := map[string]string{} // name of the workspace by hash of the key, in lower case
	for i, w := range f.Workspaces {
		p := fmt.Sprintf("$.workspaces[%d]", i)
		out = append(out, checkBurst(p, w, f.Models)...)
		if len(w.Keys) == 0 {
			out = append(out, warn("workspace_without_key", p+".name",
				fmt.Sprintf("the workspace %q has no key, so that no caller can use it", w.Name), "add a key with vanectl key new, or remove the workspace"))
		}
		for j, k := range w.Keys {
			h := strings.ToLower(k.SHA256)
			if other, ok := owner[h]; ok {
				// Nodes compare decoded hashes, so the last workspace gets the key.
				out = append(out, Finding{Severity: Error, Rule: "key_duplicate", Field: fmt.Sprintf("%s.keys[%d].sha256", p, j),
					Problem: fmt.Sprintf("this key is listed before, for the workspace %q, in other letter case", other), Remedy: "give each workspace its own keys"})
				continue
			}
			owner[h] = w.Name
		}
	}
	return out
}

// checkBurst compares the burst with the largest context of a model. A request that
// needs more tokens than the burst is refused however long it waits.
func checkBurst(p string, w config.Workspace, models []config.Model) []Finding {
	var largest config.Model
	for _, m := range models {
		if m.MaxContext > largest.MaxContext {
			largest = m
		}
	}
	if w.Burst >= float64(largest.MaxContext) {
		return nil
	}
	return []Finding{warn("burst_below_context", p+".burst",
		fmt.Sprintf("the burst of %.0f tokens is below what one request to %q may need, %d tokens; such requests are always refused", w.Burst, largest.Name, largest.MaxContext),
		fmt.Sprintf("set burst to at least %d", largest.MaxContext))}
}
