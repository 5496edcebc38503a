// Package weight plans which engines load newly announced weights, and when. It does no
// input or output; package edge carries out its actions while it holds a lease.
//
// # Usage
//
//	p := weight.NewPlanner()
//	for _, a := range p.Tick(now, engines, target, left, mayOrder) {
//		// Carry out a, then pass on the answer:
//		p.HandleReport(now, a.Engine.Name, model, report, err) // for ActReport
//		p.HandleOrderResult(now, a.Engine.Name, result)        // for ActOrder
//	}
//
// # Load pattern
//
// New weights are announced under full traffic, several times within seconds. An engine
// takes no requests while it loads, and engines that load at the same time slow each
// other. About a sixth of the engines therefore load at a time, the least busy first.
//
// An order whose answer is lost may be carried out seconds later. Each order therefore
// contains the number of orders that the engine has accepted before. An engine rejects an
// order whose number differs from its own count, so that it carries out each order at
// most once and never after a newer one.
package weight
