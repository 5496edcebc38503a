package canary

import (
	"time"

	vane "mustardvane.org/vane"
)

// Bounds of the tests.
const (
	failAlarm   = 10.0  // sum of logarithms at which failures convict
	slowAlarm   = 14.0  // the same for slowness
	failFloor   = 0.005 // share of failures that is never held against a version
	failFault   = 0.1   // share of failures that is a fault, at least
	failFactor  = 4.0   // and at least this many times the old version's
	slowNormal  = 0.1   // share of values above the old version's high quantile
	slowFault   = 0.5   // the same for a slow version
	slowMargin  = 1.15  // factor on the old version's high quantile
	minBaseline = 20    // values of the old version before slowness counts
	baseTokens  = 2000  // added to the uncached tokens that first tokens are compared by
	failDecay   = 0.995 // of the old version's failures, with each result
)

// Sample is the outcome of one attempt at an upstream.
type Sample struct {
	Version  string
	Route    string
	Failed   bool
	First    time.Duration // to the first token; zero if there was none
	Uncached int           // prompt tokens that had to be computed
	Gap      time.Duration // mean time between tokens; zero if not known
}

// Verdict is why a version is bad.
type Verdict struct {
	Reason vane.Reason
	Route  string
	Have   float64 // share of bad results of the new version
	Want   float64 // the same that is expected
}

// tests are the tests of one route.
type tests struct{ fail, first, gap cusum }

// Evidence compares two versions. It is not safe for concurrent use.
type Evidence struct {
	from, to string
	failed   float64 // of the old version, decaying
	seen     float64 // results of the old version, decaying
	first    quantile
	gap      quantile
	routes   map[string]*tests
	good     int // good results of the new version
	results  int // all results of the new version
	verdict  *Verdict
}

// NewEvidence returns no evidence about a move.
func NewEvidence(from, to string) *Evidence {
	return &Evidence{from: from, to: to, routes: make(map[string]*tests)}
}

// Add takes one outcome. Those of other versions are ignored.
func (e *Evidence) Add(s Sample) {
	switch s.Version {
	case e.from:
		e.baseline(s)
	case e.to:
		e.judge(s)
	}
}

// pace returns the time to the first token for each token that was computed, in
// seconds.
func (s Sample) pace() float64 { return s.First.Seconds() / float64(s.Uncached+baseTokens) }

// baseline takes an outcome of the old version.
func (e *Evidence) baseline(s Sample) {
	e.failed, e.seen = e.failed*failDecay, e.seen*failDecay+1
	if s.Failed {
		e.failed++
		return
	}
	if s.First > 0 {
		e.first.add(s.pace())
	}
	if s.Gap > 0 {
		e.gap.add(s.Gap.Seconds())
	}
}

// normal returns the share of failures that is expected.
func (e *Evidence) normal() float64 {
	if e.seen < minBaseline {
		return failFloor
	}
	return min(0.5, max(failFloor, e.failed/e.seen))
}

// judge takes an outcome of the new version, for its route and for all routes.
func (e *Evidence) judge(s Sample) {
	e.results++
	if !s.Failed {
		e.good++
	}
	for _, route := range []string{s.Route, ""} {
		t, ok := e.routes[route]
		if !ok {
			t = &tests{}
			e.routes[route] = t
		}
		e.test(t, s, route)
	}
}

// test runs the tests of one route.
func (e *Evidence) test(t *tests, s Sample, route string) {
	p0 := e.normal()
	p1 := min(0.95, max(failFault, failFactor*p0))
	t.fail.add(s.Failed, p0, p1)
	e.convict(&t.fail, failAlarm, Verdict{vane.ReasonVersionFails, route, 0, p0})
	if s.Failed {
		return
	}
	if s.First > 0 && e.first.n >= minBaseline {
		t.first.add(s.pace() > slowMargin*e.first.q, slowNormal, slowFault)
		e.convict(&t.first, slowAlarm, Verdict{vane.ReasonVersionSlowFirstToken, route, 0, slowNormal})
	}
	if s.Gap > 0 && e.gap.n >= minBaseline {
		t.gap.add(s.Gap.Seconds() > slowMargin*e.gap.q, slowNormal, slowFault)
		e.convict(&t.gap, slowAlarm, Verdict{vane.ReasonVersionSlowTokens, route, 0, slowNormal})
	}
}

// convict gives the verdict if the test's sum has reached the alarm.
func (e *Evidence) convict(c *cusum, alarm float64, v Verdict) {
	if e.verdict != nil || c.sum < alarm {
		return
	}
	v.Have = float64(c.hits) / float64(c.n)
	e.verdict = &v
}

// Verdict says whether the new version is bad, and why.
func (e *Evidence) Verdict() (Verdict, bool) {
	if e.verdict == nil {
		return Verdict{}, false
	}
	return *e.verdict, true
}

// Good returns the number of good results of the new version.
func (e *Evidence) Good() int { return e.good }

// Results returns the number of all results of the new version.
func (e *Evidence) Results() int { return e.results }
