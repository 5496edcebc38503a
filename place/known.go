package place

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
)

// knownSize bounds the number of remembered pairs of upstream and level.
const knownSize = 1 << 16

// spot names a level in the cache of one life of one upstream. Weights version
// and incarnation are part of it, so that nothing learned about older weights or
// a dead engine can ever be found again.
type spot struct {
	upstream uint64 // hash of name, version and incarnation
	level    uint64
}

// known remembers which levels were last computed where.
type known struct {
	m *lru.LRU[spot, int64] // nanoseconds of the last use
}

func newKnown() *known {
	m, _ := lru.NewLRU[spot, int64](knownSize, nil)
	return &known{m: m}
}

// life returns the hash of the upstream's name, version and incarnation.
func life(nameHash uint64, u vane.Upstream) uint64 {
	h := mix(nameHash, u.Incarnation)
	for i := range len(u.Version) {
		h = mix(h, uint64(u.Version[i]))
	}
	return h
}

// deepest returns the tokens of the deepest level that was used on the upstream
// within the residence time, and the age of that use.
func (k *known) deepest(now time.Time, id uint64, p vane.Prompt, resident time.Duration) (tokens int, age time.Duration) {
	for i := len(p.Levels) - 1; i >= 0; i-- {
		at, ok := k.m.Peek(spot{upstream: id, level: p.Levels[i].Hash})
		if !ok {
			continue
		}
		if age := now.Sub(time.Unix(0, at)); age <= resident {
			return p.Levels[i].Tokens, age
		}
	}
	return 0, 0
}

// use notes that all levels of the prompt are in the upstream's cache.
func (k *known) use(now time.Time, id uint64, p vane.Prompt) {
	for _, l := range p.Levels {
		k.m.Add(spot{upstream: id, level: l.Hash}, now.UnixNano())
	}
}
