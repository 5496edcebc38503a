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

// far is a deadline that is never reached.
var far = epoch.Add(time.Hour)

// TestHeavyWorkspaceDelaysOnlyItself lets one workspace push ten times as many requests
// as the others and checks that all three start equally many.
func TestHeavyWorkspaceDelaysOnlyItself(t *testing.T) {
	is := is.New(t)
	s := queue.NewScheduler(queue.WithLimit(1))
	id := uint64(0)
	push := func(ws string) {
		id++
		s.Push(epoch, queue.Ticket{ID: id, Workspace: ws, Cost: 100, Deadline: far})
	}
	for range 300 {
		push("heavy")
	}
	for range 30 {
		push("b")
		push("c")
	}
	running, started := "heavy", map[string]int{}
	for range 90 {
		d := s.Done(epoch, running)
		is.Equal(len(d.Started), 1)
		running = d.Started[0].Workspace
		started[running]++
	}
	is.Equal(started, map[string]int{"heavy": 30, "b": 30, "c": 30})
}

// TestIdleTimeEarnsNoCredit checks that a workspace that was idle for long can't displace
// the others when it returns.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	s := queue.NewScheduler(queue.WithLimit(1))
	id := uint64(0)
	push := func(ws string) queue.Decision {
		id++
		return s.Push(epoch, queue.Ticket{ID: id, Workspace: ws, Cost: 100, Deadline: far})
	}
	push("idle")
	s.Done(epoch, "idle")
	for range 100 {
		push("busy")
		s.Done(epoch, "busy")
	}
	for range 20 {
		push("busy")
	}
	for range 20 {
		push("idle")
	}
	running, started := "busy", map[string]int{}
	for range 20 {
		running = s.Done(epoch, running).Started[0].Workspace
		started[running]++
	}
	is.True(started["busy"] >= 9)
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	s := queue.NewScheduler(queue.WithLimit(1))
	s.Push(epoch, queue.Ticket{ID: 1, Workspace: "a", Deadline: far})
	s.Push(epoch, queue.Ticket{ID: 2, Workspace: "a", Deadline: epoch.Add(time.Second)})
	is.Equal(len(s.Expire(epoch.Add(999*time.Millisecond)).Refused), 0)
	d := s.Expire(epoch.Add(time.Second))
	is.Equal(len(d.Refused), 1)
	is.Equal(d.Refused[0].Ticket.ID, uint64(2))
	is.Equal(d.Refused[0].Reason, vane.ReasonQueueDeadline)
	is.Equal(s.Waiting(), 0)
}

// TestNoTicketIsLost pushes, ends, cancels and expires tickets at random. Every ticket
// must start, be refused or be cancelled exactly once, and no more may run than the
// limit permits.
func TestNoTicketIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		s := queue.NewScheduler(queue.WithLimit(limit))
		now, id := epoch, uint64(0)
		ended := map[uint64]int{}
		var running []queue.Ticket
		take := func(d queue.Decision) {
			for _, x := range d.Started {
				ended[x.ID]++
				running = append(running, x)
			}
			for _, x := range d.Refused {
				ended[x.Ticket.ID]++
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			ws := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "ws")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				id++
				take(s.Push(now, queue.Ticket{ID: id, Workspace: ws, Cost: rapid.Float64Range(1, 100).Draw(t, "cost"), Deadline: now.Add(time.Second)}))
			case 2:
				if len(running) > 0 {
					x := running[0]
					running = running[1:]
					take(s.Done(now, x.Workspace))
				}
			case 3:
				if x := uint64(rapid.IntRange(0, int(id)).Draw(t, "id")); s.Cancel(ws, x) {
					ended[x]++
				}
			}
			if s.Running() > limit || s.Running() != len(running) {
				t.Fatalf("scheduler counts %d running requests, the test %d, the limit is %d", s.Running(), len(running), limit)
			}
		}
		take(s.Expire(now.Add(time.Hour)))
		for x := uint64(1); x <= id; x++ {
			if ended[x] != 1 {
				t.Fatalf("ticket %d started, was refused or was cancelled %d times, want 1", x, ended[x])
			}
		}
	})
}

// TestGate runs callers against a gate in virtual time; some leave while they wait.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := queue.NewGate(queue.NewScheduler(queue.WithLimit(2)), 2)
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
				p, err := g.Acquire(ctx, "w", 1, time.Now().Add(time.Second))
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
				p.Release(0)
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

// TestGateAdapts checks that the limit starts at its maximum, decreases on late first
// tokens and recovers.
func TestGateAdapts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := queue.NewScheduler()
		g := queue.NewGate(s, 1000)
		is.Equal(s.Limit(), 1000)
		g.SetMaxLimit(200)
		is.Equal(s.Limit(), 200)
		for range 5 {
			time.Sleep(time.Second)
			g.ObserveFirstToken(2*time.Second, time.Second)
		}
		low := s.Limit()
		is.True(low < 100)
		for range 200 {
			g.ObserveFirstToken(time.Millisecond, time.Second)
		}
		is.Equal(s.Limit(), 200)
	})
}

// TestFairShareRatio checks the ratio that a permit reports: a workspace that uses four
// times as much as each of two others uses two of the three equal shares.
func TestFairShareRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := queue.NewGate(queue.NewScheduler(), 1000)
		shares := map[string]float64{}
		for range 200 {
			for ws, cost := range map[string]float64{"heavy": 400, "a": 100, "b": 100} {
				p, err := g.Acquire(t.Context(), ws, cost, time.Now().Add(time.Second))
				is.NoErr(err)
				shares[ws] = p.FairShareRatio
				p.Release(0)
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(shares["heavy"] > 1.9 && shares["heavy"] < 2.1)
		is.True(shares["a"] > 0.4 && shares["a"] < 0.6)
		time.Sleep(time.Hour)
		p, err := g.Acquire(t.Context(), "heavy", 1, time.Now().Add(time.Second))
		is.NoErr(err)
		is.True(p.FairShareRatio <= 1.01) // alone it uses one equal share, and earlier usage has decayed
	})
}
