package sched_test

import (
	"fmt"
	"testing"

	"mustardvane.org/vane/sched"
)

// BenchmarkPickAtScale chooses an engine, at sites with up to 1,400 engines and 300 other
// nodes, each of which has requests at some of them.
func BenchmarkPickAtScale(b *testing.B) {
	for _, size := range []struct{ engines, nodes int }{{18, 8}, {140, 83}, {256, 300}, {1400, 300}} {
		b.Run(fmt.Sprintf("%d engines, %d nodes", size.engines, size.nodes), func(b *testing.B) {
			p := sched.New("dc0", &cache{})
			v := view(size.engines, same(1))
			p.Update(v)
			names := make([]string, 0, len(v.Upstreams))
			for name := range v.Upstreams {
				names = append(names, name)
			}
			for n := range size.nodes {
				p.SetPeerInFlight(fmt.Sprint("n", n), map[string]int{names[n%len(names)]: 1, names[(7*n+3)%len(names)]: 2})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				q := query(i%400, i)
				q.ID = fmt.Sprint(i)
				if _, ok := p.Pick(begin, q); !ok {
					b.Fatal("no engine")
				}
			}
		})
	}
}
