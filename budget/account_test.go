package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/budget"
	"mustardvane.org/vane/wire"
)

// ms returns d in whole milliseconds.
func ms(d time.Duration) uint32 { return uint32(d.Milliseconds()) }

// ask sends an ask for a node with high demand, which has no surplus to return.
func ask(a *budget.Account, at time.Time) {
	a.RecordDemand(at, simBurst)
	a.BuildAsk(at, simWorkspace, simBurst, 1)
}

// account returns an account that received a share of 0.3 at epoch.
func account() *budget.Account {
	a := budget.NewAccount(epoch, budget.Limits{Rate: simRate, Burst: simBurst})
	ask(a, epoch)
	a.ApplyGive(epoch, epoch, &wire.Give{Share: 0.3, Tokens: 100, LifeMs: ms(budget.ShareTTL)})
	return a
}

func TestShareEnds(t *testing.T) {
	half, quarter := epoch.Add(budget.ShareTTL/2), epoch.Add(budget.ShareTTL/4)
	for _, tt := range []struct {
		name string
		run  func(a *budget.Account)
		at   time.Time
		want float64
	}{
		{"is held within its lifetime", func(*budget.Account) {}, epoch.Add(budget.ShareTTL - time.Second), 0.3},
		{"is dropped at the end of its lifetime", func(*budget.Account) {}, epoch.Add(budget.ShareTTL), 0},
		{"extension counts from the time of the ask", func(a *budget.Account) {
			ask(a, half)
			a.ApplyGive(half.Add(900*time.Millisecond), half, &wire.Give{ExtendMs: ms(budget.ShareTTL)})
		}, half.Add(budget.ShareTTL - time.Millisecond), 0.3},
		{"extension does not count from the time of the answer", func(a *budget.Account) {
			ask(a, half)
			a.ApplyGive(half.Add(900*time.Millisecond), half, &wire.Give{ExtendMs: ms(budget.ShareTTL)})
		}, half.Add(budget.ShareTTL), 0},
		{"a borrowed share expires with its lender's share", func(a *budget.Account) {
			a.Borrow(quarter, quarter, &wire.Give{Share: 0.1, LifeMs: ms(time.Minute)})
		}, quarter.Add(time.Minute), 0},
		{"an answer to an ask before the loan does not extend it", func(a *budget.Account) {
			ask(a, quarter)
			a.Borrow(quarter, quarter, &wire.Give{Share: 0.1, LifeMs: ms(time.Minute)})
			a.ApplyGive(quarter, quarter, &wire.Give{ExtendMs: ms(budget.ShareTTL)})
		}, quarter.Add(time.Minute), 0},
		{"a later share does not extend an earlier one", func(a *budget.Account) {
			ask(a, half)
			a.ApplyGive(half, half, &wire.Give{Share: 0.1, LifeMs: ms(budget.ShareTTL)})
		}, epoch.Add(budget.ShareTTL), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := account()
			tt.run(a)
			a.Level(tt.at)
			is.Equal(a.Share(), tt.want)
		})
	}
}
