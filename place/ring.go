package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	vane "mustardvane.org/vane"
)

// pointsPerUpstream is the number of ring points of one upstream.
const pointsPerUpstream = 32

// point is a position of an upstream on the ring.
type point struct {
	hash  uint64
	index int32 // index of the upstream in ring.upstreams
}

// ring is an immutable consistent-hash ring over the upstreams of one model.
type ring struct {
	upstreams []vane.Upstream // sorted by name
	hashes    []uint64        // hash of each upstream's name, in the same order
	points    []point         // sorted by hash
}

// newRing returns a ring of the upstreams, whose order does not matter.
func newRing(ups []vane.Upstream) *ring {
	r := &ring{upstreams: slices.Clone(ups)}
	slices.SortFunc(r.upstreams, func(a, b vane.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for i, u := range r.upstreams {
		h := xxhash.Sum64String(u.Name)
		r.hashes = append(r.hashes, h)
		for k := range pointsPerUpstream {
			r.points = append(r.points, point{hash: mix(h, uint64(k)), index: int32(i)})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// mix returns a hash of two numbers, with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// walk calls f with the index of each upstream once, in the order in which their points
// follow the hash on the ring, until f returns false. seen is an empty slice whose
// capacity is used as scratch space; it may be nil.
func (r *ring) walk(hash uint64, seen []int32, f func(index int32) bool) {
	n := len(r.points)
	if n == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(r.points, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	for k := 0; k < n && len(seen) < len(r.upstreams); k++ {
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
