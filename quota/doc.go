// Package quota limits workspaces to their rate and burst over all nodes, without a
// message per request. It does no input or output.
//
// Each node keeps one token bucket per workspace. It takes the units that it admits from
// the bucket at once. It also publishes, per workspace, the total of units that it has
// admitted since its start; the other nodes take the increase from their buckets when
// the message arrives. Beforehand they subtract what the node is expected to have admitted
// since, at its recent rate. Until the others know of its own admissions, a node admits at
// most its part of the level, so that no two nodes take the same units. While a node is
// silent, the others assume that it admits its equal share of the configured rate. A node that hears no other node assumes the same of
// all others and thus admits its own share. The nodes together therefore stay within the
// rate in any network partition.
//
// # Usage
//
//	b := quota.New(now)
//	b.SetLimits(now, limits)
//	b.SetPeers(now, names)
//	wait, ok := b.Take(now, "workspace", 1200)
//	b.Receive(now, "node-2", boot, admitted, levels)
//
// # Load pattern
//
// One workspace sends several times its usual load for seconds, through all nodes, while
// nodes restart and the network is partitioned. The limit can be exceeded by
// an overdraft, which is paid back before another one is taken.
package quota
