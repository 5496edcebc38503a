package bench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mustardvane.org/vane/config"
)

// lookEvery is how often a condition is looked at.
const lookEvery = 5 * time.Millisecond

// AwaitShares waits until each node holds a share of each workspace's budget.
func (f *Fleet) AwaitShares(ctx context.Context, fleet *config.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, n := range f.Nodes {
		for _, w := range fleet.Workspaces {
			for n.MinBudgetShare(w.Name) > 0 && n.BudgetShare(w.Name) == 0 {
				select {
				case <-time.After(lookEvery):
				case <-ctx.Done():
					return errors.Wrapf(ctx.Err(), "bench: a node has no share of the budget of %s", w.Name)
				}
			}
		}
	}
	return nil
}

// AwaitLeases waits until the nodes hold all leases between them.
func (f *Fleet) AwaitLeases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
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
		case <-time.After(lookEvery):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "bench: %d of %d leases are held", held, all)
		}
	}
}

// AwaitRevision waits until each node has the revision in force and is ready.
func (f *Fleet) AwaitRevision(ctx context.Context, rev uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, n := range f.Nodes {
		for n.Config().Revision < rev || !n.Status().Ready {
			select {
			case <-time.After(lookEvery):
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "bench: revision %d is not in force on every node", rev)
			}
		}
	}
	return nil
}
