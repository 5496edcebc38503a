package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request of a route without an objective must not become late as soon as it waits: it
// would get a tenth of the rate.
func TestNoObjectiveWaitsOnTime(t *testing.T) {
	for _, objective := range []time.Duration{0, defaultTarget} {
		is := is.New(t)
		c := New()
		r := fromWorkspace("a")
		r.Objective = objective
		d := c.Offer(begin, r, fullRoom())
		is.Equal(d.Action, Wait)
		c.Next(begin.Add(time.Millisecond), "s", fullRoom())
		is.True(!d.Ticket.Late())
	}
}
