// Package budget limits every workspace to its rate and burst in tokens across the
// whole fleet.
//
// A [Bucket] is an exact token bucket: in every window from s to t, the tokens
// taken and not refunded are at most burst + rate·(t − s), also if tokens are
// reserved first and partly refunded later.
//
// The budgets are divided into shards by workspace. One node holds the lease of a
// shard and runs an [Allocator], which keeps a [Ledger] for each workspace and
// gives shares of its budget to the nodes. Each node runs a [FleetLimiter] with an
// [Account] for each workspace that it serves, and admits requests from the shares
// it holds without asking the holder.
//
// # Usage
//
//	b := budget.NewBucket(now, 1000, 20000)
//	id, ok := b.Take(now, 1500)
//	b.Refund(later, id, 700)
//
// # Units
//
// Rates are in tokens per second, bursts and levels in tokens. A share is a
// fraction of a workspace's budget, from 0 to 1.
package budget
