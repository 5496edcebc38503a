package place_test

import (
	"fmt"
	"testing"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/place"
)

// BenchmarkPick measures a choice by the number of upstreams.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 100, 350, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := place.New()
			p.Update(epoch, engines(n))
			q := query(1, 2, 3, 4)
			b.ReportAllocs()
			for i := range uint64(b.N) {
				q.Prompt.Levels[0].Hash, q.Prompt.Levels[3].Hash = i%50, i%1000
				pick, _ := p.Pick(epoch, q)
				p.RecordSent(epoch, q, pick)
				p.RecordDone(epoch, q, pick, vane.Outcome{CachedTokens: 16000})
			}
		})
	}
}
