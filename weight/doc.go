// Package weight decides which engines load newly named weights, and when. It is a
// state machine without input and output; package edge carries its actions out
// under a lease.
//
// # Usage
//
//	p := weight.NewPlanner()
//	for _, a := range p.Tick(now, engines, named) { … }
//	p.Answered(now, name, result)
//	p.Reported(now, name, report)
//
// # Load pattern
//
// Weights are named in the middle of traffic, several times within seconds. An
// engine takes no requests while it loads, and engines that load together slow
// each other, so that about a sixth of them load at a time, the least busy first.
// An order whose answer is lost may be carried out seconds later: each order names
// the number of orders that the engine has accepted before, so that it is carried
// out once at most and never after a newer one.
package weight
