// Package target measures whether the latency and availability targets of classes of
// requests are met, and why they are missed.
//
// A target requires that at least 95 % of the requests of a class get their first
// token within a given time, get the further tokens at a given mean interval, or are
// not refused. A [Tracker] counts results by minute and class. The reports of several
// nodes can be merged, so that operators see the whole fleet.
//
// # Usage
//
//	t := target.NewTracker()
//	t.Add(now, target.Result{Class: "quoting", Workspace: "w", FirstToken: took, FirstTokenTarget: 820 * time.Millisecond})
//	for _, r := range t.Reports(now) { fmt.Println(r.Class, r.Met(), r.Cause()) }
//
// # Units
//
// Windows are in whole minutes and include the present, incomplete one.
package target
