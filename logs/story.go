package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// around is how long before and after a request lines about its upstreams count: an
// upstream that crashed is noticed within a second, and its entry goes after some.
const around = 3 * time.Second

// Explanation is what the logs say of one name.
type Explanation struct {
	Name         string
	Matches      []Line // that carry the name
	NodeState    []Line // what the nodes concerned believed when it began
	Related      []Line // about the upstreams of a request, around its time
	ReasonCounts map[string]int
	LogStart     time.Time // of all logs
}

// Names of fields.
const (
	fieldRequest  = "request_id"
	fieldUpstream = "upstream"
	fieldReason   = "reason"
)

// traffic are lines about single requests, which say nothing of an upstream's state.
var traffic = []string{"sent", "answered", "refused", "caller left", "stream broken off"}

// beliefs are the lines that say what a node believed from then on.
var beliefs = []string{"configuration in force", "store reachable"}

// Explain finds the lines that concern the name of a request, a workspace, an upstream
// or a node.
func Explain(lines []Line, name string) Explanation {
	s := Explanation{Name: name, ReasonCounts: make(map[string]int)}
	if len(lines) > 0 {
		s.LogStart = lines[0].Time
	}
	request := false
	nodes, upstreams := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if !l.Mentions(name) {
			continue
		}
		s.Matches = append(s.Matches, l)
		if r := l.Text(fieldReason); r != "" {
			s.ReasonCounts[r]++
		}
		if l.Text(fieldRequest) == name {
			request = true
			nodes[l.Node] = true
			if u := l.Text(fieldUpstream); u != "" {
				upstreams[u] = true
			}
		}
	}
	if request {
		s.relate(lines, nodes, upstreams)
	}
	return s
}

// relate adds what the nodes believed, and what they saw of the upstreams.
func (s *Explanation) relate(lines []Line, nodes, upstreams map[string]bool) {
	begin, end := s.Matches[0].Time, s.Matches[len(s.Matches)-1].Time
	type key struct{ node, msg string }
	last := make(map[key]Line)
	for _, l := range lines {
		if !nodes[l.Node] {
			continue
		}
		if slices.Contains(beliefs, l.Msg) && !l.Time.After(begin) {
			last[key{l.Node, l.Msg}] = l
		}
		near := l.Time.After(begin.Add(-around)) && l.Time.Before(end.Add(around))
		if near && upstreams[l.Text(fieldUpstream)] && l.Text(fieldRequest) != s.Name && !slices.Contains(traffic, l.Msg) {
			s.Related = append(s.Related, l)
		}
	}
	s.NodeState = sorted(slices.Collect(maps.Values(last)))
}

// Outcome says how a request ended, as far as the logs tell.
func (s Explanation) Outcome() string {
	if len(s.Matches) == 0 {
		return "no line carries this name; it never reached a node, or lines were dropped (see \"log lines dropped\")"
	}
	l := s.Matches[len(s.Matches)-1]
	switch l.Msg {
	case "answered":
		return fmt.Sprintf("answered by %s with status %v after %v ms, in %v attempts", l.Text(fieldUpstream), l.Fields["status"], l.Fields["elapsed_ms"], l.Fields["attempts"])
	case "refused":
		return fmt.Sprintf("refused with status %v because of %s (%s), after %v ms", l.Fields["status"], l.Text(fieldReason), l.Text("execution"), l.Fields["elapsed_ms"])
	case "stream broken off":
		return fmt.Sprintf("broken off after %v events because of %s", l.Fields["events"], l.Text(fieldReason))
	case "caller left":
		return fmt.Sprintf("the caller left after %v ms", l.Fields["elapsed_ms"])
	}
	return "not ended in these logs"
}

// Print writes the story.
func (s Explanation) Print(w io.Writer) {
	if len(s.Matches) > 0 && s.Matches[0].Text(fieldRequest) == s.Name {
		fmt.Fprintf(w, "%s: %s\n", s.Name, s.Outcome())
	} else if len(s.Matches) == 0 {
		fmt.Fprintf(w, "%s: %s; the logs begin at %s\n", s.Name, s.Outcome(), s.LogStart.UTC().Format(time.RFC3339))
	}
	for _, r := range slices.Sorted(maps.Keys(s.ReasonCounts)) {
		fmt.Fprintf(w, "%6d × %s\n", s.ReasonCounts[r], r)
	}
	for _, part := range []struct {
		title string
		lines []Line
	}{{"", s.Matches}, {"believed when it began:", s.NodeState}, {"seen of its upstreams around then:", s.Related}} {
		if part.title != "" && len(part.lines) > 0 {
			fmt.Fprintln(w, part.title)
		}
		for _, l := range part.lines {
			fmt.Fprintln(w, l)
		}
	}
}

// String returns the line in one form for all messages: time, node, message, fields in
// order of their names.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-12s %s", l.Time.UTC().Format("15:04:05.000"), l.Node, l.Msg)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		switch v := l.Fields[k].(type) {
		case string:
			if v != "" {
				fmt.Fprintf(&b, " %s=%s", k, v)
			}
		case float64:
			fmt.Fprintf(&b, " %s=%.6g", k, v)
		default:
			fmt.Fprintf(&b, " %s=%v", k, v)
		}
	}
	return b.String()
}
