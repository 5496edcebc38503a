// Package quota holds workspaces to their rate and burst over all nodes, without a
// message per request. It is a state machine without input and output.
//
// Each node publishes the units that it has admitted since its start, per
// workspace. A node keeps one bucket per workspace and takes its own admissions
// from it at once, and those of the other nodes when it hears of them. While a
// node is silent, the others assume that it admits its equal share of the rate, as
// it does itself when it hears nobody: together the nodes stay within the rate,
// whoever is cut off from whom.
//
// # Usage
//
//	b := quota.New(now, "node-1")
//	b.SetTerms(now, terms)
//	b.SetPeers(now, names)
//	wait, ok := b.Take(now, "workspace", 1200)
//	b.Receive(now, "node-2", boot, counters, levels)
//
// # Load pattern
//
// One workspace sends several times its usual for seconds, through all nodes, in
// the middle of restarts and cuts. Between two messages of a node the bound can be
// exceeded by what that node admits in the meantime, which is a small part of the
// burst.
package quota
