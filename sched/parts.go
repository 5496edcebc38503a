package sched

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Sizes of part sets.
const (
	maxParts     = 8192
	maxNews      = 256 // parts of one engine in one message
	usableShare  = 0.8 // of an engine's memory; the rest serves generated tokens
	defaultCache = 100_000
)

// Packed form of a part for other nodes: the high bits name it, the low bits hold
// its size.
const (
	sizeBits = 14
	sizeUnit = 4 // tokens
	sizeMask = 1<<sizeBits - 1
)

// partSet models what an engine's cache holds: the parts used last, up to the size
// of its memory. Parts are named by a hash of their salt and id.
type partSet struct {
	lru   *simplelru.LRU[uint64, int]
	size  int // tokens
	limit int // tokens
}

// newPartSet returns an empty set for the engine u.
func newPartSet(v *mirror.View, u vane.Upstream) *partSet {
	size := defaultCache
	if v.Config != nil {
		if s, ok := v.Config.Service(u.Service); ok && s.CacheSize > 0 {
			size = s.CacheSize
		}
	}
	// The size is positive, which is all that can be wrong.
	l, _ := simplelru.NewLRU[uint64, int](maxParts, nil)
	return &partSet{lru: l, limit: int(usableShare * float64(size))}
}

// prefix returns how many of the first parts are believed to be held.
func (s *partSet) prefix(keys []uint64) int {
	for i, k := range keys {
		if !s.lru.Contains(k) {
			return i
		}
	}
	return len(keys)
}

// add notes the use of a part.
func (s *partSet) add(k uint64, tokens int) {
	if _, ok := s.lru.Get(k); ok {
		return
	}
	s.size += tokens
	if n, ok := s.oldestIfFull(); ok {
		s.size -= n
	}
	s.lru.Add(k, tokens)
	for s.size > s.limit {
		_, n, ok := s.lru.RemoveOldest()
		if !ok {
			break
		}
		s.size -= n
	}
}

// oldestIfFull removes the oldest part if the next one would push it out by number.
func (s *partSet) oldestIfFull() (int, bool) {
	if s.lru.Len() < maxParts {
		return 0, false
	}
	_, n, ok := s.lru.RemoveOldest()
	return n, ok
}

// clear empties the set.
func (s *partSet) clear() {
	s.lru.Purge()
	s.size = 0
}

// partKeys returns the names of parts under a salt, without the bits that hold
// sizes.
func partKeys(salt string, parts []vane.Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = xxhash.Sum64String(salt+"\x00"+p.ID) &^ sizeMask
	}
	return out
}

// packPart returns a part as one number.
func packPart(k uint64, tokens int) uint64 {
	return k | uint64(min(tokens/sizeUnit, sizeMask))
}

// unpackPart returns the name and the size of a packed part.
func unpackPart(v uint64) (uint64, int) { return v &^ sizeMask, int(v&sizeMask) * sizeUnit }
