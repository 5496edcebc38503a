package sched

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Limits of what is recorded about engine caches.
const (
	maxParts           = 8192    // largest number of parts recorded for one engine
	maxUpdateParts     = 256     // largest number of parts of one engine in a message to the other nodes
	promptCacheShare   = 0.8     // share of an engine's memory that holds prompts; generated tokens use the rest
	defaultCacheTokens = 100_000 // memory of an engine for which no size is configured
)

// Packed form of a part in messages to other nodes: the high bits are the part's key,
// the low bits its size.
const (
	sizeBits = 14
	sizeUnit = 4 // tokens per unit of the packed size
	sizeMask = 1<<sizeBits - 1
)

// partSet models the content of an engine's cache: the most recently used parts that
// fit into its memory. A part's key is a hash of its salt and its ID.
type partSet struct {
	lru   *simplelru.LRU[uint64, int] // tokens by key
	size  int                         // tokens
	limit int                         // tokens
}

// newPartSet returns an empty set with the memory limit of the engine u.
func newPartSet(v *mirror.View, u vane.Upstream) *partSet {
	size := defaultCacheTokens
	if v.Config != nil {
		if s, ok := v.Config.Service(u.Service); ok && s.CacheTokens > 0 {
			size = s.CacheTokens
		}
	}
	// NewLRU fails only if the size is not positive.
	l, _ := simplelru.NewLRU[uint64, int](maxParts, nil)
	return &partSet{lru: l, limit: int(promptCacheShare * float64(size))}
}

// prefix returns the number of leading keys that the set contains without a gap.
func (s *partSet) prefix(keys []uint64) int {
	for i, k := range keys {
		if !s.lru.Contains(k) {
			return i
		}
	}
	return len(keys)
}

// add inserts a part, or marks it as the most recently used one if the set contains it,
// and evicts the least recently used parts that no longer fit.
func (s *partSet) add(k uint64, tokens int) {
	if _, ok := s.lru.Get(k); ok {
		return
	}
	s.size += tokens
	if n, ok := s.evictIfFull(); ok {
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

// evictIfFull removes the least recently used part if the set has reached its maximum
// number of parts. It returns the tokens of the removed part.
func (s *partSet) evictIfFull() (int, bool) {
	if s.lru.Len() < maxParts {
		return 0, false
	}
	_, n, ok := s.lru.RemoveOldest()
	return n, ok
}

// clear removes all parts.
func (s *partSet) clear() {
	s.lru.Purge()
	s.size = 0
}

// partKeys returns the keys of parts that are cached under the salt. The bits that hold
// the size in the packed form are zero.
func partKeys(salt string, parts []vane.PromptPart) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = xxhash.Sum64String(salt+"\x00"+p.ID) &^ sizeMask
	}
	return out
}

// packPart returns the packed form of a part. The size is rounded down to sizeUnit and
// capped at the largest size that fits.
func packPart(k uint64, tokens int) uint64 {
	return k | uint64(min(tokens/sizeUnit, sizeMask))
}

// unpackPart returns the key and the tokens of a packed part.
func unpackPart(v uint64) (uint64, int) { return v &^ sizeMask, int(v&sizeMask) * sizeUnit }
