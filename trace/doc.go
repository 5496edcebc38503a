// Package trace reads, writes and generates recorded traffic.
//
// A trace is a file of JSON lines in snake case, one request a line, sorted by
// time. Prompts are described by parts instead of text: equal part names give
// equal text, so that a trace of long nested prompts stays small. docs/TRACES.md
// describes the format.
//
// # Usage
//
//	reqs := trace.Generate(trace.Shape{Seed: 1, Requests: 400, Workspaces: ws})
//	err := trace.Write(w, reqs)
//	reqs, err = trace.Read(r)
//	msgs := reqs[0].Messages()
package trace
