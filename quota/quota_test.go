package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mustardvane.org/vane/quota"
)

var begin = time.Unix(5000, 0)

// fleet is a set of nodes between which a test delivers or drops messages.
type fleet struct {
	nodes  []*quota.Buckets
	names  []string
	boots  []uint64
	limits map[string]quota.Limit
}

func newFleet(n int, limit quota.Limit) *fleet {
	f := &fleet{limits: map[string]quota.Limit{"ws": limit}}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
		f.boots = append(f.boots, 1)
		f.nodes = append(f.nodes, nil)
	}
	for i := range n {
		f.start(begin, i)
	}
	return f
}

// start replaces node i by one that starts now.
func (f *fleet) start(now time.Time, i int) {
	b := quota.New(now, quota.WithSeed(uint64(i)))
	b.SetLimits(now, f.limits)
	var others []string
	for j, name := range f.names {
		if j != i {
			others = append(others, name)
		}
	}
	b.SetPeers(now, others)
	f.nodes[i] = b
}

// exchange sends a message from each node to each other one and delivers those for which
// deliver returns true.
func (f *fleet) exchange(now time.Time, deliver func(from, to int) bool) {
	for i, b := range f.nodes {
		admitted := b.Admitted()
		var levels map[string]float64
		if b.LevelsReliable(now) {
			levels = b.Levels(now)
		}
		for j, o := range f.nodes {
			if i != j && deliver(i, j) {
				o.Receive(now, f.names[i], f.boots[i], admitted, levels)
			}
		}
	}
}

func all(int, int) bool { return true }

// One workspace sends eight times its rate through all nodes. The nodes together admit its
// rate and not much more.
func TestHotWorkspaceStaysWithinItsRate(t *testing.T) {
	is := is.New(t)
	const rate, burst, units = 1000.0, 1000.0, 10.0
	f := newFleet(8, quota.Limit{Rate: rate, Burst: burst})
	admitted := 0.0
	now := begin
	for step := range 1000 { // 10 s
		now = now.Add(10 * time.Millisecond)
		if _, ok := f.nodes[step%8].Take(now, "ws", 8*units); ok {
			admitted += 8 * units
		}
		if step%25 == 0 {
			f.exchange(now, all)
		}
	}
	is.True(admitted <= (rate*10+burst)*1.1)
	is.True(admitted >= rate*10*0.95) // nothing below the rate is refused
}

// A node that is partitioned from the others admits its equal share of the rate, and the
// others do not use that share.
func TestPartitionedNodesStayWithinTheRate(t *testing.T) {
	is := is.New(t)
	const rate, burst = 1000.0, 1000.0
	f := newFleet(4, quota.Limit{Rate: rate, Burst: burst})
	partition := func(from, to int) bool { return from != 3 && to != 3 }
	now := begin
	admitted := 0.0
	for step := range 2000 { // 20 s, partitioned all the time
		now = now.Add(10 * time.Millisecond)
		if _, ok := f.nodes[step%4].Take(now, "ws", 50); ok && step >= 1000 {
			admitted += 50
		}
		if step%25 == 0 {
			f.exchange(now, partition)
		}
	}
	is.True(admitted <= rate*10*1.1+burst)
	is.True(admitted >= rate*10*0.9)
}

// The limit holds in every window despite restarts and lost messages.
func TestLimitHoldsThroughRestartsAndLoss(t *testing.T) {
	const rate, burst, window = 1000.0, 1000.0, 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4, quota.Limit{Rate: rate, Burst: burst})
		type admission struct {
			at    time.Time
			units float64
		}
		var got []admission
		now := begin
		lossy := rapid.IntRange(0, 3).Draw(t, "lossy")
		restartAt := rapid.IntRange(200, 1200).Draw(t, "restart_at")
		victim := rapid.IntRange(0, 3).Draw(t, "victim")
		for step := range 1600 {
			now = now.Add(10 * time.Millisecond)
			if step == restartAt {
				f.boots[victim]++
				f.start(now, victim)
			}
			if _, ok := f.nodes[step%4].Take(now, "ws", 60); ok {
				got = append(got, admission{now, 60})
			}
			if step%25 == 0 {
				f.exchange(now, func(from, to int) bool { return lossy == 0 || (step/25+from+to)%4 >= lossy-1 })
			}
		}
		for from := begin; from.Before(now); from = from.Add(500 * time.Millisecond) {
			sum := 0.0
			for _, a := range got {
				if !a.at.Before(from) && a.at.Before(from.Add(window)) {
					sum += a.units
				}
			}
			if limit := (rate*window.Seconds() + burst) * 1.1; sum > limit+burst/2 {
				t.Fatalf("%v units in the window from %v, at most %v", sum, from.Sub(begin), limit)
			}
		}
	})
}

// A node detects from its own admissions that a workspace is near its rate.
func TestNearLimit(t *testing.T) {
	is := is.New(t)
	b := quota.New(begin)
	b.SetLimits(begin, map[string]quota.Limit{"ws": {Rate: 1000, Burst: 1000}})
	b.SetPeers(begin, []string{"a", "b", "c"})
	now := begin
	for range 50 { // 50 units per second at this node, 200 in total
		now = now.Add(200 * time.Millisecond)
		b.Take(now, "ws", 10)
	}
	is.True(!b.NearLimit(now, "ws"))
	for range 20 { // 400 units per second at this node
		now = now.Add(50 * time.Millisecond)
		b.Take(now, "ws", 20)
	}
	is.True(b.NearLimit(now, "ws"))
}

// A refused request is admitted after the returned time, and not 10 ms earlier.
func TestWaitTimeIsExact(t *testing.T) {
	is := is.New(t)
	b := quota.New(begin)
	b.SetLimits(begin, map[string]quota.Limit{"ws": {Rate: 100, Burst: 100}})
	now := begin
	for {
		wait, ok := b.Take(now, "ws", 20)
		if ok {
			continue
		}
		_, early := b.Take(now.Add(wait-10*time.Millisecond), "ws", 20)
		is.True(!early)
		_, ok = b.Take(now.Add(wait+time.Millisecond), "ws", 20)
		is.True(ok)
		return
	}
}
