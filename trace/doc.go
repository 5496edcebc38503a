// Package trace reads and writes traces of requests, and generates synthetic ones.
//
// A trace is a file of JSON lines, one request a line, sorted by time. A prompt is a
// list of named parts instead of text, so that a trace of long nested prompts stays
// small. Within a workspace, parts with the same name and length have the same text.
// docs/TRACES.md describes the format.
//
// # Usage
//
//	reqs := trace.Generate(trace.Shape{Seed: 1, Requests: 400, Workspaces: ws})
//	err := trace.Write(w, reqs)
//	reqs, err = trace.Read(r)
//	msgs := reqs[0].Messages()
package trace
