package retry

import "sync"

// credit is a number of allowed retries, which may be fractional. It never exceeds
// maxSaved.
type credit struct {
	mu sync.Mutex
	n  float64
}

// add adds share retries.
func (c *credit) add(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = min(maxSaved, c.n+share)
}

// take subtracts one retry. It returns false if less than one is left.
func (c *credit) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n < 1 {
		return false
	}
	c.n--
	return true
}
