package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a node that may own workspaces.
type Candidate struct {
	Name   string
	Weight float64 // relative to those of the other candidates; at least one
}

// Owners returns the n nodes that own a workspace, the first of which does unless it does
// not answer. All nodes that know the same candidates agree on the order, and a node that
// comes or goes changes the owners of no other workspaces. A node owns workspaces in
// proportion to its weight.
func Owners(ws string, candidates []Candidate, n int) []string {
	type scored struct {
		name  string
		score float64
	}
	best := make([]scored, 0, n+1)
	for _, c := range candidates {
		// Weighted rendezvous hashing: the smallest of exponential variables wins.
		var d xxhash.Digest
		d.Reset()
		// Writing to a digest does not fail.
		_, _ = d.WriteString(ws + "\x00" + c.Name)
		const bits = 53
		u := (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
		s := scored{c.Name, -math.Log(u) / max(1, c.Weight)}
		i, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
		})
		if best = slices.Insert(best, i, s); len(best) > n {
			best = best[:n]
		}
	}
	out := make([]string, len(best))
	for i, s := range best {
		out[i] = s.name
	}
	return out
}
