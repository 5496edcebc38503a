package mirror

import "time"

// Durations by which the mirror notices that the process stood still.
const (
	stallLimit  = 600 * time.Millisecond // time between two ticks above which the process counts as having stood still
	catchUpTime = time.Second            // time after a standstill within which the changes made meanwhile arrive
)

// contact keeps track of the times at which changes in the store could not reach the
// node: while calls failed, and while the process stood still, as on a frozen host.
type contact struct {
	tickedAt    time.Time            // last tick
	stallBegin  time.Time            // last tick before the latest standstill; zero if there was none
	stallEnd    time.Time            // end of the latest standstill
	answeredAt  map[string]time.Time // time of the store's last answer, by prefix
	interrupted map[string]bool      // whether a call failed since then, by prefix
}

// newContact returns a contact without ticks and answers.
func newContact() contact {
	return contact{answeredAt: make(map[string]time.Time), interrupted: make(map[string]bool)}
}

// tick is called several times within stallLimit.
func (c *contact) tick(now time.Time) {
	if !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > stallLimit {
		c.stallBegin, c.stallEnd = c.tickedAt, now
	}
	c.tickedAt = now
}

// recordResult records whether a call for the prefix succeeded.
func (c *contact) recordResult(now time.Time, prefix string, ok bool) {
	c.interrupted[prefix] = !ok
	if ok {
		c.answeredAt[prefix] = now
	}
}

// stalledSince returns when the process began to stand still, if it has only just
// resumed, else zero.
func (c *contact) stalledSince(now time.Time) time.Time {
	c.tick(now)
	if c.stallBegin.IsZero() || now.Sub(c.stallEnd) > catchUpTime {
		return time.Time{}
	}
	return c.stallBegin
}

// completeUntil returns the time until which the node knew all changes under the prefix
// before an answer at now. It returns zero if nothing kept them from the node.
func (c *contact) completeUntil(now time.Time, prefix string) time.Time {
	t := c.stalledSince(now)
	if at := c.answeredAt[prefix]; c.interrupted[prefix] && !at.IsZero() && (t.IsZero() || at.Before(t)) {
		t = at
	}
	return t
}
