package retry

import "sync"

// credit is a bounded sum of shares.
type credit struct {
	mu sync.Mutex
	n  float64
}

// add saves a share.
func (c *credit) add(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = min(defaultBudget, c.n+share)
}

// take uses one whole credit.
func (c *credit) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n < 1 {
		return false
	}
	c.n--
	return true
}
