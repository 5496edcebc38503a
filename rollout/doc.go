// Package rollout decides how far a service's traffic is moved to a new release.
//
// Every node has a [Tracker] for each roll-out. It gathers the results of the requests of
// all nodes and gives the share of the requests that may go to the new release. The share
// is small until the results suffice to compare the releases, and grows in the stages of
// package canary. Each node stops sending to a faulty release on its own evidence; the
// node that holds the lease also decides on the stages and records the state. A node that
// has not heard from it returns to the small share.
//
// # Usage
//
//	t := rollout.New(r, now, rollout.Limits{Share: 0.1})
//	t.Add(now, rollout.Result{Release: "v2", Sample: canary.Sample{Failed: true}})
//	share := t.Share(now)
//	changed := t.Decide(now, fence, oldInFlight) // at the lease holder
package rollout
