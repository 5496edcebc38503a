package canary

import "math"

// cusum is a sequential test for a rise of a probability. Its sum grows with each
// hit and falls with each miss, but not below zero, so that a fault that begins
// late is found as soon as one that was there from the start.
type cusum struct {
	sum  float64
	hits int
	n    int
}

// add takes one observation. p0 is the probability of a hit if nothing is wrong, p1
// one that would be a fault.
func (c *cusum) add(hit bool, p0, p1 float64) {
	c.n++
	step := math.Log((1 - p1) / (1 - p0))
	if hit {
		c.hits++
		step = math.Log(p1 / p0)
	}
	c.sum = max(0, c.sum+step)
}

// quantile follows a high quantile of positive values that change slowly.
type quantile struct {
	q float64
	n int
}

// Shape of the estimate.
const (
	quantileAt   = 0.9
	quantileStep = 0.05 // relative change with each value
)

// add takes one value.
func (q *quantile) add(x float64) {
	q.n++
	switch {
	case q.n == 1:
		q.q = x
	case x > q.q:
		q.q *= 1 + quantileStep*quantileAt
	default:
		q.q *= 1 - quantileStep*(1-quantileAt)
	}
}
