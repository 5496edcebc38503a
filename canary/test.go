package canary

import (
	"math"
	"slices"
	"time"
)

// correlationTime is how long results have a cause in common, such as a pause of an engine
// or of the machine that delays all requests in flight.
const correlationTime = 100 * time.Millisecond

// cusum is a CUSUM (cumulative sum) test for an increase of a probability. Its sum of
// log-likelihood ratios grows with each hit and falls with each miss, but not below
// zero, so that a fault that begins late is found as fast as one present from the
// start. Observations within correlationTime of the first of them form a block, which
// counts as one observation with the mean of their ratios.
type cusum struct {
	sum        float64
	hits       int
	n          int
	blockAt    time.Time // time of the first observation of the block
	blockStart float64   // sum before the block
	blockSteps float64   // sum of the block's log-likelihood ratios
	blockN     int
}

// add adds one observation, which is a block of its own if at is zero. p0 is the
// probability of a hit without a fault, p1 the probability with the smallest fault to
// detect.
func (c *cusum) add(at time.Time, hit bool, p0, p1 float64) {
	c.n++
	step := math.Log((1 - p1) / (1 - p0))
	if hit {
		c.hits++
		step = math.Log(p1 / p0)
	}
	if c.blockN == 0 || at.IsZero() || at.Sub(c.blockAt) >= correlationTime {
		c.blockAt, c.blockStart, c.blockSteps, c.blockN = at, c.sum, 0, 0
	}
	c.blockN++
	c.blockSteps += step
	c.sum = max(0, c.blockStart+c.blockSteps/float64(c.blockN))
}

// quantileWindow is the number of latest values of which a quantile is taken. It follows the
// end of a disturbance within as many results.
const quantileWindow = 100

// quantileLevel is the level of the quantile.
const quantileLevel = 0.9

// quantileRefresh is the number of values after which a quantile is computed again.
const quantileRefresh = 10

// quantile is a high quantile of the latest positive values.
type quantile struct {
	latest   [quantileWindow]float64
	n        int // number of values so far
	computed float64
	at       int // number of values at the computation
}

// add adds one value.
func (q *quantile) add(x float64) {
	q.latest[q.n%quantileWindow] = x
	q.n++
}

// value returns the quantile, without the last few values, or zero without values.
func (q *quantile) value() float64 {
	if q.n == 0 || q.at > 0 && q.n-q.at < quantileRefresh {
		return q.computed
	}
	n := min(q.n, quantileWindow)
	sorted := slices.Clone(q.latest[:n])
	slices.Sort(sorted)
	q.computed, q.at = sorted[int(quantileLevel*float64(n))], q.n
	return q.computed
}
