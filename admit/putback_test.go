package admit

import (
	"testing"

	"github.com/matryer/is"
)

// A request whose regions are full must not use up the node's tokens, nor count as refused
// by an upstream, while it is started and put back.
func TestPutBackCostsNothing(t *testing.T) {
	is := is.New(t)
	c := New()
	room := fullRoom()
	r := fromWorkspace("a")
	c.Offer(begin, r, room)
	s := c.services["s"]
	demand := s.demand
	for range 100 {
		room.Usable = 4
		g := c.Next(begin, "s", room)
		is.Equal(len(g.Started), 1)
		before := s.tokens + s.lateTokens + g.Started[0].spent + g.Started[0].spentLate
		c.PutBack(begin, g.Started[0])
		is.Equal(s.tokens+s.lateTokens, before)
		is.Equal(s.granted, 0.0)
		r.Waited, room.Usable = true, 0
		is.Equal(c.Offer(begin, r, room).Action, Wait)
	}
	is.Equal(s.demand, demand)
	is.True(s.fullAt.IsZero())
}
