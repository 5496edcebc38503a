package memory

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// clock is a clock that tests set.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newTestBudget(capacity int64) (*Budget, *clock) {
	c := &clock{now: time.Unix(100, 0)}
	return New(capacity, WithClock(c.Now)), c
}

// refusalIn returns the refusal that an error must be.
func refusalIn(t *testing.T, err error) *vane.Refusal {
	t.Helper()
	var ref *vane.Refusal
	if !errors.As(err, &ref) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return ref
}

// TestReserve guards against large bodies that leave no room for ordinary ones, and against a
// calm node that refuses the largest body.
func TestReserve(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget(1 << 20)
	only := b.Open(Class{Kind: KindBody})
	is.NoErr(only.Grow(1 << 20)) // alone, a large one may use everything
	only.Close()
	one, two := b.Open(Class{Kind: KindBody}), b.Open(Class{Kind: KindBody})
	is.NoErr(one.Grow(400 << 10))
	err := two.Grow(400 << 10)
	ref := refusalIn(t, err)
	is.Equal(ref.Status(), 503)
	is.Equal(ref.Execution, vane.NotRun)
	is.True(ref.RetryAfter > 0)
	is.True(two.Pin() != nil) // a refused request must not run
	two.Close()
	three := b.Open(Class{Kind: KindBody})
	is.NoErr(three.Grow(368 << 10))
	small := b.Open(Class{Kind: KindBody})
	is.NoErr(small.Grow(SmallBytes))
	for _, h := range []*Hold{one, three, small, small} {
		h.Close()
	}
	is.Equal(b.Used(), int64(0))
}

// TestEvictedWhileParsed guards against a request that runs though its caller is told that it has
// not: its hold is evicted between the last byte and the pin.
func TestEvictedWhileParsed(t *testing.T) {
	is := is.New(t)
	b, c := newTestBudget(100)
	parsed := b.Open(Class{Kind: KindBody, Priority: 1})
	body, err := parsed.ReadAll(bytes.NewReader(make([]byte, 49)), 49, 49)
	is.NoErr(err)
	is.Equal(len(body), 49)
	c.add(2 * time.Second)
	evicted := make(chan struct{})
	parsed.OnEvict(func() { close(evicted) })
	go func() {
		<-evicted
		if err := parsed.Pin(); err == nil {
			t.Error("an evicted hold was pinned")
		}
		parsed.Close()
	}()
	other := b.Open(Class{Kind: KindBody, Priority: 1})
	is.NoErr(other.Grow(80)) // waits for the evicted hold to be closed
	is.Equal(b.Used(), int64(80))
}

// TestPinned guards against evicting a request that may run.
func TestPinned(t *testing.T) {
	is := is.New(t)
	b, c := newTestBudget(100)
	running := b.Open(Class{Kind: KindBody, Priority: 9})
	is.NoErr(running.Grow(60))
	is.NoErr(running.Pin())
	c.add(time.Hour)
	b.Sweep()
	is.Equal(running.Refusal(), nil)
	refusalIn(t, b.Open(Class{Kind: KindBody}).Grow(60))
	is.NoErr(running.Grow(40)) // the running one may still grow
}

// TestSweep guards against senders that keep memory without sending, and against closing slow but
// ordinary ones.
func TestSweep(t *testing.T) {
	is := is.New(t)
	b, c := newTestBudget(1 << 20)
	slow, trickle, modem := b.Open(Class{Kind: KindBody}), b.Open(Class{Kind: KindHead}), b.Open(Class{Kind: KindBody})
	response := b.Open(Class{Kind: KindResponse})
	for range 20 {
		c.add(time.Second)
		trickle.Arrived(1)
		modem.Arrived(1 << 10)
		b.Sweep()
	}
	is.Equal(refusalIn(t, slow.Grow(1)).Status(), 408)
	is.Equal(refusalIn(t, trickle.Grow(1)).Status(), 408)
	is.NoErr(modem.Grow(1))
	is.NoErr(response.Grow(1))
}

// TestFrozen guards against refusing senders because the process itself did not run.
func TestFrozen(t *testing.T) {
	is := is.New(t)
	b, c := newTestBudget(1 << 20)
	h := b.Open(Class{Kind: KindBody})
	b.Sweep()
	c.add(time.Minute)
	b.Sweep()
	is.NoErr(h.Grow(1))
}

// TestClosedDuringEviction guards against bytes that are counted twice, or lost, if a holder closes
// while it is being evicted.
func TestClosedDuringEviction(t *testing.T) {
	is := is.New(t)
	b, c := newTestBudget(1000)
	var wg sync.WaitGroup
	for range 50 {
		var holds []*Hold
		for range 10 {
			h := b.Open(Class{Kind: KindBody})
			is.NoErr(h.Grow(100))
			holds = append(holds, h)
		}
		c.add(2 * time.Second)
		for _, h := range holds {
			wg.Go(func() { h.Close() })
		}
		for range 3 {
			wg.Go(func() {
				h := b.Open(Class{Kind: KindBody})
				defer h.Close()
				_ = h.Grow(300) // may be refused
			})
		}
		wg.Wait()
		is.Equal(b.Used(), int64(0))
		is.Equal(b.leaving, int64(0))
		is.Equal(b.waiting, int64(0))
	}
}

// TestNilBudget checks that code without a budget is not limited.
func TestNilBudget(t *testing.T) {
	is := is.New(t)
	var b *Budget
	h := b.Open(Class{})
	h.OnEvict(func() {})
	is.NoErr(h.Grow(1 << 40))
	is.NoErr(h.Pin())
	got, err := h.ReadAll(bytes.NewReader([]byte("body")), -1, 10)
	is.NoErr(err)
	is.Equal(string(got), "body")
	h.Close()
}

// TestReader checks that a reader's bytes stay reserved, and that it ends with the refusal of an
// exhausted budget.
func TestReader(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget(20 << 10)
	h := b.Open(Class{Kind: KindBody})
	n, err := io.Copy(io.Discard, b.Reader(h, bytes.NewReader(make([]byte, 10<<10))))
	is.NoErr(err)
	is.Equal(n, int64(10<<10))
	is.Equal(h.Bytes(), int64(10<<10))
	_, err = io.Copy(io.Discard, b.Reader(h, bytes.NewReader(make([]byte, 20<<10))))
	refusalIn(t, err)
	h.Close()
	is.Equal(b.Used(), int64(0))
}
