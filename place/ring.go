package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// pointsPerUpstream is the number of ring points of one upstream.
const pointsPerUpstream = 32

// point is one place on the ring.
type point struct {
	hash  uint64
	index int32 // of the upstream
}

// ring is an immutable consistent-hash ring over the upstreams of one model.
type ring struct {
	ups    []vane.Upstream // sorted by name
	hashes []uint64        // hash of each upstream's name
	points []point         // sorted by hash
}

// newRing builds the ring.
func newRing(ups []vane.Upstream) *ring {
	r := &ring{ups: slices.Clone(ups)}
	slices.SortFunc(r.ups, func(a, b vane.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for i, u := range r.ups {
		h := xxhash.Sum64String(u.Name)
		r.hashes = append(r.hashes, h)
		for k := range pointsPerUpstream {
			r.points = append(r.points, point{hash: mix(h, uint64(k)), index: int32(i)})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// mix hashes two numbers into one (the finalizer of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// walk calls f with the distinct upstreams that follow the hash on the ring
// until f returns false or all were seen. seen is scratch space.
func (r *ring) walk(hash uint64, seen []int32, f func(index int32) bool) {
	n := len(r.points)
	if n == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(r.points, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	for k := 0; k < n && len(seen) < len(r.ups); k++ {
		i := r.points[(at+k)%n].index
		if slices.Contains(seen, i) {
			continue
		}
		seen = append(seen, i)
		if !f(i) {
			return
		}
	}
}
