package canary

import (
	"time"

	vane "mustardvane.org/vane"
)

// Parameters of the sequential tests.
const (
	failureThreshold       = 10.0  // sum of log-likelihood ratios at which failures are a regression
	slownessThreshold      = 14.0  // sum of log-likelihood ratios at which slow results are a regression
	minExpectedFailureRate = 0.005 // failure rate that is tolerated even if the old version never fails
	minFaultyFailureRate   = 0.1   // lower bound on the failure rate that is a fault
	faultyFailureFactor    = 4.0   // ratio of a faulty failure rate to the expected one
	expectedSlowFraction   = 0.1   // fraction of slow values without a regression
	faultySlowFraction     = 0.5   // fraction of slow values that is a fault
	slowFactor             = 1.15  // a value above this multiple of the old version's high quantile is slow
	minBaselineResults     = 20    // values of the old version that are needed for a comparison
	extraTokens            = 2000  // fixed cost of a request in prompt tokens, added to its uncached tokens
	baselineDecay          = 0.995 // factor on the old version's counts with each of its results
)

// Sample is the result of one attempt at an upstream.
type Sample struct {
	At             time.Time // when the result became known here; if it is zero, the result counts as independent of all others
	Version        string
	Route          string
	Failed         bool
	Unanswered     bool          // the request still waited at its time limit, for FirstToken
	FirstToken     time.Duration // time to the first token; zero if there was none
	UncachedTokens int           // prompt tokens that were not in the cache
	TokenGap       time.Duration // mean time between tokens; zero if unknown
}

// Regression describes in which respect the new version is worse than the old one.
type Regression struct {
	Reason   vane.Reason
	Route    string  // empty if it was found in the results of all routes together
	Observed float64 // fraction of bad results of the new version
	Expected float64 // expected fraction
}

// routeTests are the sequential tests of one route, for failures, slow first tokens and
// slow further tokens.
type routeTests struct{ failure, firstToken, tokenGap cusum }

// Comparison compares the results of two versions. It is not safe for concurrent use.
type Comparison struct {
	oldVersion, newVersion string
	baselineFailures       float64                // of the old version, with decay
	baselineResults        float64                // results of the old version, with decay
	firstTokenQuantile     quantile               // of the old version, in seconds per token of work
	tokenGapQuantile       quantile               // of the old version, in seconds
	routes                 map[string]*routeTests // by route; the empty route has the results of all routes
	good                   int                    // successful results of the new version that were not slow
	results                int                    // all results of the new version
	regression             *Regression
}

// NewComparison returns a comparison without results. from is the old version and to
// the new one.
func NewComparison(from, to string) *Comparison {
	return &Comparison{oldVersion: from, newVersion: to, routes: make(map[string]*routeTests)}
}

// Add adds one result. Results of other versions are ignored.
func (c *Comparison) Add(s Sample) {
	switch s.Version {
	case c.oldVersion:
		c.addBaseline(s)
	case c.newVersion:
		c.addNew(s)
	}
}

// firstTokenPerToken returns the time to the first token per token of work, in
// seconds, so that prompts of different lengths can be compared.
func (s Sample) firstTokenPerToken() float64 {
	return s.FirstToken.Seconds() / float64(s.UncachedTokens+extraTokens)
}

// addBaseline adds a result of the old version.
func (c *Comparison) addBaseline(s Sample) {
	c.baselineFailures, c.baselineResults = c.baselineFailures*baselineDecay, c.baselineResults*baselineDecay+1
	if s.Failed {
		c.baselineFailures++
		return
	}
	if s.FirstToken > 0 {
		c.firstTokenQuantile.add(s.firstTokenPerToken())
	}
	if s.TokenGap > 0 {
		c.tokenGapQuantile.add(s.TokenGap.Seconds())
	}
}

// expectedFailureRate returns the failure rate to expect from the old version's results.
func (c *Comparison) expectedFailureRate() float64 {
	if c.baselineResults < minBaselineResults {
		return minExpectedFailureRate
	}
	return min(0.5, max(minExpectedFailureRate, c.baselineFailures/c.baselineResults))
}

// addNew adds a result of the new version to the tests of its route and of all routes.
func (c *Comparison) addNew(s Sample) {
	c.results++
	if !s.Failed && !s.Unanswered && !c.isSlow(s) {
		c.good++
	}
	for _, route := range []string{s.Route, ""} {
		t, ok := c.routes[route]
		if !ok {
			t = &routeTests{}
			c.routes[route] = t
		}
		c.test(t, s, route)
	}
}

// test adds a result of the new version to the tests of one route.
func (c *Comparison) test(t *routeTests, s Sample, route string) {
	p0 := c.expectedFailureRate()
	p1 := min(0.95, max(minFaultyFailureRate, faultyFailureFactor*p0))
	t.failure.add(time.Time{}, s.Failed, p0, p1)
	c.checkThreshold(&t.failure, failureThreshold, Regression{vane.ReasonVersionFails, route, 0, p0})
	if s.Failed {
		return
	}
	if slow, ok := c.slowFirstToken(s); ok {
		t.firstToken.add(s.At, slow, expectedSlowFraction, faultySlowFraction)
		c.checkThreshold(&t.firstToken, slownessThreshold, Regression{vane.ReasonVersionSlowFirstToken, route, 0, expectedSlowFraction})
	}
	if slow, ok := c.slowTokens(s); ok {
		t.tokenGap.add(s.At, slow, expectedSlowFraction, faultySlowFraction)
		c.checkThreshold(&t.tokenGap, slownessThreshold, Regression{vane.ReasonVersionSlowTokens, route, 0, expectedSlowFraction})
	}
}

// slowFirstToken reports whether the first token took longer than is usual for the old
// version. It returns false if that can't be said.
func (c *Comparison) slowFirstToken(s Sample) (slow, ok bool) {
	ok = s.FirstToken > 0 && c.firstTokenQuantile.n >= minBaselineResults
	return ok && s.firstTokenPerToken() > slowFactor*c.firstTokenQuantile.value(), ok
}

// slowTokens is slowFirstToken for the time between tokens.
func (c *Comparison) slowTokens(s Sample) (slow, ok bool) {
	ok = s.TokenGap > 0 && c.tokenGapQuantile.n >= minBaselineResults
	return ok && s.TokenGap.Seconds() > slowFactor*c.tokenGapQuantile.value(), ok
}

// isSlow reports whether a result took longer than is usual for the old version.
func (c *Comparison) isSlow(s Sample) bool {
	first, _ := c.slowFirstToken(s)
	gap, _ := c.slowTokens(s)
	return first || gap
}

// checkThreshold records the regression if the test's sum has reached the threshold
// and none is recorded yet.
func (c *Comparison) checkThreshold(test *cusum, threshold float64, r Regression) {
	if c.regression != nil || test.sum < threshold {
		return
	}
	r.Observed = float64(test.hits) / float64(test.n)
	c.regression = &r
}

// Regression returns the first regression found, and false if there is none.
func (c *Comparison) Regression() (Regression, bool) {
	if c.regression == nil {
		return Regression{}, false
	}
	return *c.regression, true
}

// Good returns the number of successful results of the new version that took no longer than
// is usual for the old one.
func (c *Comparison) Good() int { return c.good }

// Results returns the number of results of the new version.
func (c *Comparison) Results() int { return c.results }
