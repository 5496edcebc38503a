// Package logs reads the JSON log lines of nodes, and selects those that explain what
// happened to a request, a workspace, an upstream or a node.
//
// # Usage
//
//	lines, skipped, err := logs.Read("logs/")    // a folder, a file, or "-" for standard input
//	e := logs.Explain(lines, "9c41d07be2a35f68")
//	e.Print(os.Stdout)
//
// # Lines selected for a request
//
// The explanation of a request consists of
//   - all lines of any node that carry the request id, in order of time;
//   - the lines that the nodes which handled the request logged about the upstreams it
//     was sent to, shortly before, during and after the request;
//   - the state of those nodes when the request began: the configuration in force, and
//     when the store became reachable.
package logs
