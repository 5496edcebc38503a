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

// TestChooseIsStable checks that the nodes of a workspace change little when one
// joins: at most one of them.
func TestChooseIsStable(t *testing.T) {
	is := is.New(t)
	const k = 3
	moved := 0
	for w := range 500 {
		ws := fmt.Sprint("w", w)
		before, after := choose(members(20), ws, k), choose(members(21), ws, k)
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
	t.Logf("%d of %d places moved", moved, 500*k)
	is.True(moved < 500*k/10)
}

// TestChooseSpreads checks that workspaces spread over all nodes.
func TestChooseSpreads(t *testing.T) {
	is := is.New(t)
	count := map[string]int{}
	for w := range 5400 {
		for _, m := range choose(members(380), fmt.Sprint("w", w), 3) {
			count[m.Name]++
		}
	}
	is.Equal(len(count), 380)
	for _, n := range count {
		is.True(n < 3*3*5400/380)
	}
}

// TestPreferredMovesLittle checks that a node that leaves moves only its own shards.
func TestPreferredMovesLittle(t *testing.T) {
	is := is.New(t)
	ms := members(8)
	for shard := range budgetShards {
		before, after := preferred(ms, shard), preferred(ms[1:], shard)
		is.True(before == after || before == ms[0].Name)
	}
}
