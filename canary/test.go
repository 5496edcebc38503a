package canary

import "math"

// cusum is a CUSUM (cumulative sum) test for an increase of a probability. Its sum of
// log-likelihood ratios grows with each hit and falls with each miss, but not below
// zero, so that a fault that begins late is found as fast as one present from the
// start.
type cusum struct {
	sum  float64
	hits int
	n    int
}

// add adds one observation. p0 is the probability of a hit without a fault, p1 the
// probability with the smallest fault to detect.
func (c *cusum) add(hit bool, p0, p1 float64) {
	c.n++
	step := math.Log((1 - p1) / (1 - p0))
	if hit {
		c.hits++
		step = math.Log(p1 / p0)
	}
	c.sum = max(0, c.sum+step)
}

// quantile estimates a high quantile of positive values that change slowly.
type quantile struct {
	value float64
	n     int
}

// Parameters of the quantile estimate.
const (
	quantileLevel = 0.9
	quantileStep  = 0.05 // relative change with each value
)

// add adds one value.
func (q *quantile) add(x float64) {
	q.n++
	switch {
	case q.n == 1:
		q.value = x
	case x > q.value:
		q.value *= 1 + quantileStep*quantileLevel
	default:
		q.value *= 1 - quantileStep*(1-quantileLevel)
	}
}
