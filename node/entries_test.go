package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/member"
)

// members returns n members in two data centres.
func members(n int) []member.Member {
	var out []member.Member
	for i := range n {
		out = append(out, member.Member{Name: fmt.Sprintf("vane-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2)})
	}
	return out
}

// TestTopRankedIsStable checks that at most one of a workspace's nodes is replaced
// when a node joins the fleet.
func TestTopRankedIsStable(t *testing.T) {
	is := is.New(t)
	const k = 3
	moved := 0
	for w := range 500 {
		ws := fmt.Sprint("w", w)
		before, after := topRanked(members(20), ws, k), topRanked(members(21), ws, k)
		kept := 0
		for _, a := range after {
			for _, b := range before {
				if a.Name == b.Name {
					kept++
				}
			}
		}
		is.True(kept >= k-1)
		moved += k - kept
	}
	t.Logf("%d of %d workspace assignments changed", moved, 500*k)
	is.True(moved < 500*k/10)
}

// TestTopRankedSpreadsWorkspaces checks that every node is assigned workspaces, and
// none more than three times the mean.
func TestTopRankedSpreadsWorkspaces(t *testing.T) {
	is := is.New(t)
	count := map[string]int{}
	for w := range 5400 {
		for _, m := range topRanked(members(380), fmt.Sprint("w", w), 3) {
			count[m.Name]++
		}
	}
	is.Equal(len(count), 380)
	for _, n := range count {
		is.True(n < 3*3*5400/380)
	}
}

// TestPreferredHolderIsStable checks that only the shards of a node that leaves get
// another preferred holder.
func TestPreferredHolderIsStable(t *testing.T) {
	is := is.New(t)
	ms := members(8)
	for shard := range budgetShards {
		before, after := preferredHolder(ms, shard), preferredHolder(ms[1:], shard)
		is.True(before == after || before == ms[0].Name)
	}
}
