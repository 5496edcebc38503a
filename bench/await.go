package bench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mustardvane.org/vane/config"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// AwaitShares waits until every node holds a share of the budget of each workspace
// in fleet. It skips budgets of which the node should hold none without demand, and
// fails after readyTimeout or when ctx ends.
func (f *Fleet) AwaitShares(ctx context.Context, fleet *config.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range f.Nodes {
		for _, w := range fleet.Workspaces {
			for n.MinBudgetShare(w.Name) > 0 && n.BudgetShare(w.Name) == 0 {
				select {
				case <-time.After(pollInterval):
				case <-ctx.Done():
					return errors.Wrapf(ctx.Err(), "bench: node has no share of the budget of workspace %s", w.Name)
				}
			}
		}
	}
	return nil
}

// AwaitLeases waits until every budget shard's lease is held by one of the nodes. It
// fails after readyTimeout or when ctx ends.
func (f *Fleet) AwaitLeases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		held, all := 0, 0
		for _, n := range f.Nodes {
			h, a := n.Leases()
			held, all = held+h, a
		}
		if held == all {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "bench: only %d of %d leases held", held, all)
		}
	}
}

// AwaitRevision waits until every node is ready and uses configuration revision rev
// or a later one. It fails after readyTimeout or when ctx ends.
func (f *Fleet) AwaitRevision(ctx context.Context, rev uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range f.Nodes {
		for n.Config().Revision < rev || !n.Status().Ready {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "bench: configuration revision %d not in force on every node", rev)
			}
		}
	}
	return nil
}
