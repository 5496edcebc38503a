package place

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
)

// cacheIndexSize is the maximum number of remembered pairs of upstream and level.
const cacheIndexSize = 1 << 16

// cacheKey identifies a level in the cache of one upstream process. The version of the
// weights and the incarnation are part of the key, so that entries for older weights or
// for a process that has ended are never found again.
type cacheKey struct {
	upstream uint64 // result of upstreamHash for the upstream process
	level    uint64 // hash of the prompt prefix that ends with the level
}

// cacheIndex records when each level was last used on each upstream. The least recently
// recorded pairs are dropped.
type cacheIndex struct {
	m *lru.LRU[cacheKey, int64] // Unix time of the last use in nanoseconds
}

// newCacheIndex returns an empty index.
func newCacheIndex() *cacheIndex {
	m, _ := lru.NewLRU[cacheKey, int64](cacheIndexSize, nil)
	return &cacheIndex{m: m}
}

// upstreamHash returns a hash of the upstream's name, version and incarnation. nameHash
// is the hash of the name.
func upstreamHash(nameHash uint64, u vane.Upstream) uint64 {
	h := mix(nameHash, u.Incarnation)
	for i := range len(u.Version) {
		h = mix(h, uint64(u.Version[i]))
	}
	return h
}

// deepest returns the tokens up to the end of the deepest level that was used on the
// upstream within the residence time, and the time since that use. Both are zero if
// there is none.
func (k *cacheIndex) deepest(now time.Time, id uint64, p vane.Prompt, residence time.Duration) (tokens int, age time.Duration) {
	for i := len(p.Levels) - 1; i >= 0; i-- {
		at, ok := k.m.Peek(cacheKey{upstream: id, level: p.Levels[i].Hash})
		if !ok {
			continue
		}
		if age := now.Sub(time.Unix(0, at)); age <= residence {
			return p.Levels[i].Tokens, age
		}
	}
	return 0, 0
}

// record records that all levels of the prompt are in the upstream's cache.
func (k *cacheIndex) record(now time.Time, id uint64, p vane.Prompt) {
	for _, l := range p.Levels {
		k.m.Add(cacheKey{upstream: id, level: l.Hash}, now.UnixNano())
	}
}
