// Package canary moves a model's traffic to a new version of its weights in stages.
//
// A move starts with a small share of the requests, which grows in stages while the
// new version performs as well as the old one over the same period. A [Comparison]
// compares failures, times to the first token and times between tokens for each
// route. It uses sequential tests, so that few requests suffice for a decision, even
// if a fault begins late. A move whose new version has a regression is rolled back
// permanently. The state of a [Move] is one object on the platform, which is changed
// by conditional updates.
//
// # Usage
//
//	c := canary.NewComparison("v1", "v2")
//	c.Add(canary.Sample{Version: "v2", Route: "taller-sur", Failed: true})
//	if r, ok := c.Regression(); ok { m = m.RollBack(r) }
//	m, ok := m.Next(dwell, c.Good())
package canary
