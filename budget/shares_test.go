package budget_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/budget"
	"mustardvane.org/vane/wire"
)

// loanExchanger simulates a fleet in which no holder answers and every peer lends.
type loanExchanger struct{ loans int }

func (*loanExchanger) Exchange(context.Context, *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return nil, errors.New("no holder")
}

func (e *loanExchanger) Borrow(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	e.loans++
	return &wire.ExchangeReply{Gives: []*wire.Give{{Workspace: r.GetAsks()[0].GetWorkspace(), Share: 0.5, Tokens: 1000, LifeMs: 60_000}}}, nil
}

// TestMinShareIsNotBorrowed checks that a node without a holder borrows for a waiting
// request, but not to reach its minimum share.
func TestMinShareIsNotBorrowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ex := &loanExchanger{}
		s := budget.NewFleetLimiter("n", 1, 1, limits, ex, budget.WithMinShares(func() map[string]float64 { return map[string]float64{simWorkspace: 0.1} }))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx, func() {}) }()
		time.Sleep(5 * time.Second)
		is.Equal(ex.loans, 0)
		rctx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		_, err := s.Reserve(rctx, simWorkspace, 500)
		is.NoErr(err)
		is.Equal(ex.loans, 1)
		cancel()
		is.NoErr(<-done)
	})
}
