// Package queue shares a node's capacity fairly among workspaces.
//
// Each workspace has a virtual counter that grows by the cost of the requests that
// it starts. The next request comes from the waiting workspace with the lowest
// counter, so that a workspace that sends ten times its fair share delays its own
// requests and not those of others. The counter of a workspace that was idle is
// raised to the lowest among the active ones, so that idle time earns no credit. A
// request that can't start before its deadline is refused with the reason.
//
// # Usage
//
//	s := queue.NewScheduler(queue.WithLimit(64))
//	tk := queue.Ticket{Workspace: "w", Cost: 1200, Deadline: now.Add(820 * time.Millisecond)}
//	d := s.Push(now, tk)              // run d.Started, refuse d.Refused
//	d = s.Done(now, "w")              // starts the next request
//
// [Gate] runs a [Scheduler] for concurrent callers and adapts its limit.
package queue
