package queue_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/queue"
)

var epoch = time.Unix(1_000_000, 0)

// far is a deadline that is not reached.
var far = epoch.Add(time.Hour)

// TestWildWorkspaceWaits lets one workspace push ten times what the others push
// and counts whose requests start.
func TestWildWorkspaceWaits(t *testing.T) {
	is := is.New(t)
	f := queue.NewFair(queue.WithLimit(1))
	id := uint64(0)
	push := func(ws string) {
		id++
		f.Push(epoch, queue.Ticket{ID: id, Workspace: ws, Cost: 100, Deadline: far})
	}
	for range 300 {
		push("wild")
	}
	for range 30 {
		push("b")
		push("c")
	}
	running, started := "wild", map[string]int{}
	for range 90 {
		s := f.Done(epoch, running)
		is.Equal(len(s.Started), 1)
		running = s.Started[0].Workspace
		started[running]++
	}
	is.Equal(started, map[string]int{"wild": 30, "b": 30, "c": 30})
}

// TestIdleSavesNothing lets a workspace come back after a long idle time; it may
// not push all others back.
func TestIdleSavesNothing(t *testing.T) {
	is := is.New(t)
	f := queue.NewFair(queue.WithLimit(1))
	id := uint64(0)
	push := func(ws string) queue.Step {
		id++
		return f.Push(epoch, queue.Ticket{ID: id, Workspace: ws, Cost: 100, Deadline: far})
	}
	push("idle")
	f.Done(epoch, "idle")
	for range 100 {
		push("busy")
		f.Done(epoch, "busy")
	}
	for range 20 {
		push("busy")
	}
	for range 20 {
		push("idle")
	}
	running, started := "busy", map[string]int{}
	for range 20 {
		running = f.Done(epoch, running).Started[0].Workspace
		started[running]++
	}
	is.True(started["busy"] >= 9)
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	f := queue.NewFair(queue.WithLimit(1))
	f.Push(epoch, queue.Ticket{ID: 1, Workspace: "a", Deadline: far})
	f.Push(epoch, queue.Ticket{ID: 2, Workspace: "a", Deadline: epoch.Add(time.Second)})
	is.Equal(len(f.Expire(epoch.Add(999*time.Millisecond)).Refused), 0)
	s := f.Expire(epoch.Add(time.Second))
	is.Equal(len(s.Refused), 1)
	is.Equal(s.Refused[0].Ticket.ID, uint64(2))
	is.Equal(s.Refused[0].Reason, vane.ReasonQueueDeadline)
	is.Equal(f.Waiting(), 0)
}

// TestNoTicketIsLost pushes, ends, cancels and expires at random. Each ticket must
// start, be refused or be cancelled exactly once, and no more run than allowed.
func TestNoTicketIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		f := queue.NewFair(queue.WithLimit(limit))
		now, id := epoch, uint64(0)
		ended := map[uint64]int{}
		var running []queue.Ticket
		take := func(s queue.Step) {
			for _, x := range s.Started {
				ended[x.ID]++
				running = append(running, x)
			}
			for _, x := range s.Refused {
				ended[x.Ticket.ID]++
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			ws := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "ws")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				id++
				take(f.Push(now, queue.Ticket{ID: id, Workspace: ws, Cost: rapid.Float64Range(1, 100).Draw(t, "cost"), Deadline: now.Add(time.Second)}))
			case 2:
				if len(running) > 0 {
					x := running[0]
					running = running[1:]
					take(f.Done(now, x.Workspace))
				}
			case 3:
				if x := uint64(rapid.IntRange(0, int(id)).Draw(t, "id")); f.Cancel(ws, x) {
					ended[x]++
				}
			}
			if f.Running() > limit || f.Running() != len(running) {
				t.Fatalf("%d run, %d are known, %d are allowed", f.Running(), len(running), limit)
			}
		}
		take(f.Expire(now.Add(time.Hour)))
		for x := uint64(1); x <= id; x++ {
			if ended[x] != 1 {
				t.Fatalf("ticket %d ended %d times", x, ended[x])
			}
		}
	})
}

// TestGate runs callers against a gate in virtual time; some leave while they wait.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := queue.NewGate(queue.NewFair(queue.WithLimit(2)), 2)
		var wg sync.WaitGroup
		var mu sync.Mutex
		got := map[vane.Reason]int{}
		for i := range 20 {
			wg.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i%5 == 4 {
					time.AfterFunc(50*time.Millisecond, cancel)
				}
				p, err := g.Enter(ctx, "w", 1, time.Now().Add(time.Second))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					var r *vane.Refusal
					is.True(errors.As(err, &r))
					is.Equal(r.Execution, vane.NotRun)
					got[r.Reason]++
					return
				}
				got[vane.ReasonNone]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				p.Leave(0)
				mu.Lock()
			})
		}
		wg.Wait()
		t.Log(got)
		running, waiting := g.Load()
		is.Equal(running, 0)
		is.Equal(waiting, 0)
		is.Equal(got[vane.ReasonNone]+got[vane.ReasonQueueDeadline]+got[vane.ReasonCallerGone], 20)
		is.True(got[vane.ReasonNone] >= 6)
		is.True(got[vane.ReasonQueueDeadline] > 0)
		is.True(got[vane.ReasonCallerGone] > 0)
	})
}

// TestGateAdapts checks that a gate begins at its bound, shrinks on late first
// tokens and is back soon.
func TestGateAdapts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := queue.NewFair()
		g := queue.NewGate(f, 1000)
		is.Equal(f.Limit(), 1000)
		g.SetCap(200)
		is.Equal(f.Limit(), 200)
		for range 5 {
			time.Sleep(time.Second)
			g.FirstToken(2*time.Second, time.Second)
		}
		low := f.Limit()
		is.True(low < 100)
		for range 200 {
			g.FirstToken(time.Millisecond, time.Second)
		}
		is.Equal(f.Limit(), 200)
	})
}

// TestShares checks the equal shares that a pass reports: a workspace that uses four
// times what each of two others use has two of three shares.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := queue.NewGate(queue.NewFair(), 1000)
		shares := map[string]float64{}
		for range 200 {
			for ws, cost := range map[string]float64{"wild": 400, "a": 100, "b": 100} {
				p, err := g.Enter(t.Context(), ws, cost, time.Now().Add(time.Second))
				is.NoErr(err)
				shares[ws] = p.Shares
				p.Leave(0)
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(shares["wild"] > 1.9 && shares["wild"] < 2.1)
		is.True(shares["a"] > 0.4 && shares["a"] < 0.6)
		time.Sleep(time.Hour)
		p, err := g.Enter(t.Context(), "wild", 1, time.Now().Add(time.Second))
		is.NoErr(err)
		is.True(p.Shares <= 1.01) // alone, it uses its equal share, and the past is forgotten
	})
}
