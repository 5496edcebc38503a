// Package queue shares a node's capacity fairly among workspaces.
//
// Each workspace has a virtual counter that grows by the cost of the requests
// it starts. The next request comes from the waiting workspace with the lowest
// counter, so that a workspace that sends ten times its share waits behind the
// others and not in front of them. A workspace that was idle starts level with
// the lowest active one and can't save up a lead. A request that can't start
// within its bound is refused early, with the reason.
//
// # Usage
//
//	f := queue.NewFair(queue.WithLimit(64))
//	tk := queue.Ticket{Workspace: "w", Cost: 1200, Deadline: now.Add(820 * time.Millisecond)}
//	started, refused := f.Push(now, tk)
//	started, refused = f.Done(now)
//
// [Gate] drives the state machine for goroutines.
package queue
