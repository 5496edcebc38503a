package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/quota"
)

// play lets all nodes admit units at their common rate, each every step, with messages every
// 250 ms, for the given time. It returns the refusals of each node and the units admitted.
func (f *fleet) play(now time.Time, d, step time.Duration, units float64) (end time.Time, refused []int, admitted float64) {
	refused = make([]int, len(f.nodes))
	for i := range int(d / step) {
		now = now.Add(step)
		for j, b := range f.nodes {
			if _, ok := b.Take(now, "ws", units); ok {
				admitted += units
			} else {
				refused[j]++
			}
		}
		if i%max(1, int(250*time.Millisecond/step)) == 0 {
			f.exchange(now, all)
		}
	}
	return now, refused, admitted
}

// uptimes are times for which the other nodes have run when a node starts anew.
var uptimes = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, 24 * time.Hour}

// A node that starts again admits what is within the rate at once, however long the others
// have run.
func TestRestartAfterALongUptime(t *testing.T) {
	for _, nodes := range []int{3, 8} {
		for _, up := range uptimes {
			t.Run(fmt.Sprintf("%d nodes, %v", nodes, up), func(t *testing.T) {
				is := is.New(t)
				const rate = 30.0
				f := newFleet(nodes, quota.Limit{Rate: rate, Burst: rate})
				units := 0.4 * rate / float64(nodes) // a second, of each node
				now, _, _ := f.play(begin, up, time.Second, units)
				f.boots[0]++
				f.start(now, 0)
				_, refused, _ := f.play(now, 60*time.Second, 250*time.Millisecond, units/4)
				t.Logf("refused: %v", refused)
				for _, n := range refused {
					is.Equal(n, 0)
				}
			})
		}
	}
}

// A node whose record was removed and came back does not make the others refuse for long
// what is within the rate.
func TestForgottenPeerComesBack(t *testing.T) {
	is := is.New(t)
	const rate, nodes = 30.0, 3
	f := newFleet(nodes, quota.Limit{Rate: rate, Burst: rate})
	units := 0.4 * rate / float64(nodes)
	now, _, _ := f.play(begin, 24*time.Hour, time.Second, units)
	for i := 1; i < nodes; i++ {
		f.nodes[i].SetPeers(now, []string{f.names[nodes-i]}) // without node 0
	}
	now = now.Add(time.Second)
	for i := 1; i < nodes; i++ {
		f.nodes[i].SetPeers(now, []string{f.names[nodes-i], f.names[0]})
	}
	now, _, _ = f.play(now, 4*time.Second, 250*time.Millisecond, units/4)
	_, refused, _ := f.play(now, 60*time.Second, 250*time.Millisecond, units/4)
	t.Logf("refused after 4 s: %v", refused)
	is.Equal(refused, make([]int, nodes))
}

// Nodes that start again in turn for minutes admit together no more than the rate allows.
func TestRestartsInTurnStayWithinTheRate(t *testing.T) {
	is := is.New(t)
	const rate, burst, nodes, window = 1000.0, 1000.0, 4, 8
	f := newFleet(nodes, quota.Limit{Rate: rate, Burst: burst})
	now, _, _ := f.play(begin, 10*time.Second, 10*time.Millisecond, 10) // four times the rate
	var perSecond []float64
	for s := range 240 {
		if s%3 == 0 {
			i := s / 3 % nodes
			f.boots[i]++
			f.start(now, i)
		}
		var n float64
		now, _, n = f.play(now, time.Second, 10*time.Millisecond, 10)
		perSecond = append(perSecond, n)
	}
	worst := 0.0
	for i := range len(perSecond) - window {
		sum := 0.0
		for _, n := range perSecond[i : i+window] {
			sum += n
		}
		worst = max(worst, sum)
	}
	t.Logf("most in %d s: %.0f", window, worst)
	is.True(worst <= (rate*window+burst)*1.1)
}
