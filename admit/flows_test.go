package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(9000, 0)

// fullRoom is a service whose upstreams are all full, so that each request waits.
func fullRoom() Room { return Room{InService: 1e4, Nodes: 1, Base: 50 * time.Millisecond} }

func fromWorkspace(w string) Request {
	return Request{ID: w, Service: "s", Workspace: w, Work: 5 * time.Millisecond, Objective: time.Second, Deadline: begin.Add(30 * time.Second)}
}

// Flows without end, such as those of generated workspace names, must not make decisions
// slower and slower.
func TestFlowsAreBounded(t *testing.T) {
	is := is.New(t)
	c := New()
	for i := range 4 * maxFlows {
		is.Equal(c.Offer(begin, fromWorkspace(fmt.Sprint(i)), fullRoom()).Action, Wait)
	}
	is.True(len(c.services["s"].flows) <= maxFlows+1)
}

// BenchmarkOfferByFlows measures a decision while one request of each workspace waits.
func BenchmarkOfferByFlows(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New()
			for i := range n {
				c.Offer(begin, fromWorkspace(fmt.Sprint(i)), fullRoom())
			}
			for b.Loop() {
				if d := c.Offer(begin.Add(time.Millisecond), fromWorkspace("0"), fullRoom()); d.Action == Wait {
					c.Cancel(d.Ticket)
				}
			}
		})
	}
}
