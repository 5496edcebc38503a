package budget_test

import (
	"fmt"
	"testing"
	"time"

	"mustardvane.org/vane/budget"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/wire"
)

// BenchmarkAllocator measures an allocator that serves 380 nodes and its part of the
// workspaces: the time of one ask and the size of the lease record.
func BenchmarkAllocator(b *testing.B) {
	for _, n := range []int{5, 50, 340} {
		allocator := budget.NewAllocator(1, limits, budget.AllocatorHooks{
			Holds: func(int) (uint64, bool) { return 1, true }, Recall: func(budget.RecallTarget, string) {}, RenewSoon: func(int) {},
		})
		allocator.Acquire(epoch, lease.Acquisition{Fence: 1})
		now := epoch
		exchange := func(i int) {
			now = now.Add(time.Millisecond)
			allocator.Exchange(now, &wire.ExchangeRequest{Node: fmt.Sprintf("vane-%d", i%380), Incarnation: 1, Fence: 1, Asks: []*wire.Ask{
				{Workspace: fmt.Sprintf("w%d", i%n), Want: 0.001, Tokens: 10, Hold: 0.001},
			}})
		}
		for i := range 3 * n {
			exchange(i)
		}
		b.Run(fmt.Sprintf("ask/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				exchange(i)
			}
		})
		b.Run(fmt.Sprintf("record/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.ReportMetric(float64(len(allocator.LeaseData(0, lease.Renew, nil))), "B/record")
			}
		})
	}
}

// BenchmarkAccount measures a reservation that the node's own share covers.
func BenchmarkAccount(b *testing.B) {
	a := budget.NewAccount(epoch, budget.Limits{Rate: 1e9, Burst: 1e9})
	a.BuildAsk(epoch, "w", 1e9, 1)
	a.ApplyGive(epoch, epoch, &wire.Give{Share: 1, Tokens: 1e9, LifeMs: 600_000})
	now := epoch
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Microsecond)
		a.RecordDemand(now, 100)
		if m, ok := a.Take(now, 100); ok {
			a.Settle(now, m, 100, 60)
		}
	}
}
