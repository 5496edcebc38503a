package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/admit"
)

// request returns a request with 80 ms of work.
func request(id string, now time.Time) admit.Request {
	return admit.Request{ID: id, Service: "s", Kind: "k", Workspace: "w", Work: 80 * time.Millisecond, Objective: 800 * time.Millisecond, Deadline: now.Add(5 * time.Second)}
}

// idle is a service without work; busy is one whose backlog is as long as planned.
var (
	idle = admit.Room{InService: 20, Usable: 20, Nodes: 20, Reporting: 19, Base: 90 * time.Millisecond, Ordered: true}
	busy = func() admit.Room {
		r := idle
		r.Own, r.Peers, r.PeerDemand = 600*time.Millisecond, 11400*time.Millisecond, 28
		return r
	}()
)

func TestOffer(t *testing.T) {
	gone, full, other := idle, idle, busy
	gone.InService, gone.Usable = 0, 0
	full.Usable = 0
	other.Own = 0
	for _, tt := range []struct {
		name   string
		room   admit.Room
		offers int // requests offered at once
		sent   int
		waits  int
		cause  admit.Cause // of the last one
	}{
		{"idle", idle, 50, 50, 0, admit.CauseNone},
		{"all upstreams gone", gone, 1, 0, 0, admit.CauseNoneLeft},
		{"all upstreams full for the moment", full, 1, 0, 1, admit.CauseNone},
		{"busy", busy, 50, 2, 3, admit.CauseBacklog},
		{"busy by the requests of others", other, 50, 2, 3, admit.CauseBacklog},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := admit.New()
			var d admit.Decision
			sent, waits := 0, 0
			for i := range tt.offers {
				d = c.Offer(start, request(fmt.Sprint(i), start), tt.room)
				switch d.Action {
				case admit.Send:
					sent++
				case admit.Wait:
					waits++
				case admit.Refuse:
					is.True(d.RetryAfter > 0)
					is.True(d.RetryAfter <= 5*time.Second/3)
				}
			}
			t.Log("sent", sent, "waits", waits, d.Cause)
			is.Equal(d.Cause, tt.cause)
			is.True(sent <= tt.sent || tt.sent == tt.offers && sent == tt.sent)
			is.True(waits <= tt.waits)
			_, n := c.Waiting("s")
			is.Equal(n, waits)
		})
	}
}

// A request whose caller has left no longer counts, whether it waits or was started.
func TestCancel(t *testing.T) {
	is := is.New(t)
	c := admit.New()
	full := idle
	full.Usable = 0
	var tickets []*admit.Ticket
	for i := range 2 {
		d := c.Offer(start, request(fmt.Sprint(i), start), full)
		is.Equal(d.Action, admit.Wait)
		tickets = append(tickets, d.Ticket)
	}
	is.True(c.Cancel(tickets[0]))
	is.True(!c.Cancel(tickets[0]))
	g := c.Next(start, "s", idle)
	is.Equal(g.Started, tickets[1:])
	is.True(!c.Cancel(tickets[1]))
	c.Begin(tickets[1])
	work, n := c.Waiting("s")
	is.Equal(work, time.Duration(0))
	is.Equal(n, 0)
}

// A waiting request is refused once no upstream serves requests, and when its time is up.
func TestNextRefuses(t *testing.T) {
	full, gone := idle, idle
	full.Usable = 0
	gone.InService, gone.Usable = 0, 0
	for _, tt := range []struct {
		name  string
		after time.Duration
		room  admit.Room
		cause admit.Cause
	}{
		{"upstreams gone", 10 * time.Millisecond, gone, admit.CauseNoneLeft},
		{"time is up", 5 * time.Second, full, admit.CauseDeadline},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := admit.New()
			is.Equal(c.Offer(start, request("1", start), full).Action, admit.Wait)
			g := c.Next(start.Add(tt.after), "s", tt.room)
			is.Equal(len(g.Refused), 1)
			is.Equal(g.Refused[0].Cause, tt.cause)
		})
	}
}

// Callers that are refused at the same time must not return at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	c := admit.New()
	n, slots := 0, make(map[time.Duration]int)
	for i := range 500 {
		if d := c.Offer(start, request(fmt.Sprint(i), start), busy); d.Action == admit.Refuse {
			n++
			slots[d.RetryAfter/(100*time.Millisecond)]++
		}
	}
	for _, k := range slots {
		is.True(k < n/4)
	}
}

// BenchmarkOffer measures what a request costs while there is room.
func BenchmarkOffer(b *testing.B) {
	c := admit.New()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		c.Offer(now, request("id", now), idle)
	}
}

// Requests whose work alone takes longer than their objective are late in any case. Those
// that a queue of one more can serve must not be refused for it.
func TestWorkLongerThanTheObjective(t *testing.T) {
	is := is.New(t)
	c := admit.New()
	r := request("1", start)
	r.Work, r.Objective, r.Deadline = time.Second, 500*time.Millisecond, start.Add(12*time.Second)
	room := admit.Room{InService: 1, Usable: 1, Nodes: 1, Own: 2 * time.Second, Base: time.Second, Parallel: time.Second}
	is.Equal(c.Offer(start, r, room).Action, admit.Send)
	room.Own = 3 * time.Second
	is.True(c.Offer(start, r, room).Action != admit.Refuse)
}

// Guards against callers that are taken for returning ones because another workspace states
// longer time limits.
func TestTimeLimitsOfOtherWorkspaces(t *testing.T) {
	is := is.New(t)
	c := admit.New()
	now := time.Unix(1000, 0)
	room := admit.Room{InService: 1, Usable: 1, Nodes: 1, Base: 50 * time.Millisecond, Peers: 400 * time.Millisecond}
	offer := func(workspace string, limit time.Duration) admit.Decision {
		now = now.Add(10 * time.Millisecond)
		return c.Offer(now, admit.Request{ID: workspace, Service: "s", Workspace: workspace, Kind: "k", Work: time.Millisecond, Objective: 500 * time.Millisecond, Deadline: now.Add(limit)}, room)
	}
	offer("patient", 30*time.Second)
	for range 20 {
		d := offer("hasty", 10*time.Second)
		is.True(d.Action == admit.Send || d.Action == admit.Wait && !d.Ticket.Late())
	}
}
