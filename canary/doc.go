// Package canary moves a model's traffic to a new version of its weights.
//
// A move begins with a small share of the requests and grows in stages while the
// new version does as well as the old one in the same minutes. [Evidence] compares
// failures, first tokens and the time between tokens for each route by sequential
// tests, so that few requests decide, also when the fault begins late. A bad
// version is taken back for good. The stage is one object of the platform, which
// is changed by conditional update.
//
// # Usage
//
//	e := canary.NewEvidence("v1", "v2")
//	e.Add(canary.Sample{Version: "v2", Route: "taller-sur", Failed: true})
//	if v, bad := e.Verdict(); bad { m = m.TakeBack(v) }
//	m, ok := m.Next(dwell, e.Good())
package canary
