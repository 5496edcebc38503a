package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// relatedWindow bounds the lines about a request's upstreams that are selected: from this
// time before the first line of the request to this time after its last line. A crash of an upstream is detected within a second,
// and its entry is removed some seconds later.
const relatedWindow = 3 * time.Second

// Explanation holds the log lines that explain what happened to a request, workspace,
// upstream or node. All lines are in order of time.
type Explanation struct {
	Name         string         // request id, or name of the workspace, upstream or node
	Matches      []Line         // lines that carry the name
	NodeState    []Line         // state of the request's nodes when it began; empty if Name is not a request
	Related      []Line         // lines about the request's upstreams, around its time; empty if Name is not a request
	ReasonCounts map[string]int // number of matches by refusal or failure reason
	LogStart     time.Time      // time of the oldest log line; zero if there is none
}

// Names of fields of log lines.
const (
	fieldRequest  = "request_id"
	fieldUpstream = "upstream"
	fieldReason   = "reason"
)

// requestMessages are the messages of lines about single requests, which tell nothing
// about the state of an upstream.
var requestMessages = []string{"sent", "answered", "refused", "caller left", "stream broken off"}

// stateMessages are the messages of lines that report a state of the node that holds
// until the next line with the same message.
var stateMessages = []string{"configuration in force", "store reachable"}

// Explain selects the lines that explain what happened to the request (by its id),
// workspace, upstream or node called name. The lines must be in order of time.
func Explain(lines []Line, name string) Explanation {
	e := Explanation{Name: name, ReasonCounts: make(map[string]int)}
	if len(lines) > 0 {
		e.LogStart = lines[0].Time
	}
	request := false
	nodes, upstreams := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if !l.Mentions(name) {
			continue
		}
		e.Matches = append(e.Matches, l)
		if r := l.Text(fieldReason); r != "" {
			e.ReasonCounts[r]++
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
		e.addContext(lines, nodes, upstreams)
	}
	return e
}

// addContext adds to the explanation of a request the state of the nodes when it began,
// and what they logged about the upstreams around its time.
func (e *Explanation) addContext(lines []Line, nodes, upstreams map[string]bool) {
	begin, end := e.Matches[0].Time, e.Matches[len(e.Matches)-1].Time
	type key struct{ node, msg string }
	last := make(map[key]Line)
	for _, l := range lines {
		if !nodes[l.Node] {
			continue
		}
		if slices.Contains(stateMessages, l.Msg) && !l.Time.After(begin) {
			last[key{l.Node, l.Msg}] = l
		}
		near := l.Time.After(begin.Add(-relatedWindow)) && l.Time.Before(end.Add(relatedWindow))
		if near && upstreams[l.Text(fieldUpstream)] && l.Text(fieldRequest) != e.Name && !slices.Contains(requestMessages, l.Msg) {
			e.Related = append(e.Related, l)
		}
	}
	e.NodeState = sortByTime(slices.Collect(maps.Values(last)))
}

// Outcome describes how a request ended, as far as the logs show.
func (e Explanation) Outcome() string {
	if len(e.Matches) == 0 {
		return "no line carries this name; it never reached a node, or lines were dropped (see \"log lines dropped\")"
	}
	l := e.Matches[len(e.Matches)-1]
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

// Print writes the explanation to w as text. Write errors are ignored.
func (e Explanation) Print(w io.Writer) {
	if len(e.Matches) > 0 && e.Matches[0].Text(fieldRequest) == e.Name {
		fmt.Fprintf(w, "%s: %s\n", e.Name, e.Outcome())
	} else if len(e.Matches) == 0 {
		fmt.Fprintf(w, "%s: %s; the logs begin at %s\n", e.Name, e.Outcome(), e.LogStart.UTC().Format(time.RFC3339))
	}
	for _, r := range slices.Sorted(maps.Keys(e.ReasonCounts)) {
		fmt.Fprintf(w, "%6d × %s\n", e.ReasonCounts[r], r)
	}
	for _, part := range []struct {
		title string
		lines []Line
	}{{"", e.Matches}, {"believed when it began:", e.NodeState}, {"seen of its upstreams around then:", e.Related}} {
		if part.title != "" && len(part.lines) > 0 {
			fmt.Fprintln(w, part.title)
		}
		for _, l := range part.lines {
			fmt.Fprintln(w, l)
		}
	}
}

// String returns the time of day in UTC, the node, the message and the fields in order
// of their names. Empty string fields are left out.
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
