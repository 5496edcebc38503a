// Package logs reads the JSON lines that nodes write, and finds those that explain
// what happened to a request, a workspace or an upstream.
//
// # Usage
//
//	lines, skipped, err := logs.Read("logs/")    // a folder, a file, or "-" for standard input
//	story := logs.Explain(lines, "9c41d07be2a35f68")
//	story.Print(os.Stdout)
//
// # What belongs to a request
//
// All lines with its id on any node, in order of time; what the nodes that handled it
// logged about the upstreams that it was sent to, shortly before and after; and
// what those nodes believed then: the configuration in force, the reach of the store.
package logs
