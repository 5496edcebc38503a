// Package target counts whether the targets of classes of work are met, and why
// not.
//
// A target says that 95 in 100 requests of a class get their first token, or their
// tokens, within a time. A [Tracker] counts results by minute and class; the
// counts of several nodes add up, so that operators see the whole fleet.
//
// # Usage
//
//	t := target.NewTracker()
//	t.Add(now, target.Result{Class: "quoting", Workspace: "w", First: first, FirstTarget: 820 * time.Millisecond})
//	for _, r := range t.Reports(now) { fmt.Println(r.Class, r.Met(), r.Cause) }
//
// # Units
//
// Windows are counted in whole minutes, the present one included.
package target
