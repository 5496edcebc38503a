package engine

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// bytesPerToken is the size in bytes of a prompt token; the engine has no real tokenizer.
const bytesPerToken = 4

// maxCacheEvents is the maximum number of cache events kept for readers.
const maxCacheEvents = 8192

// CacheEvent reports that a block was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`    // increases by 1 with each event
	Hash   string `json:"hash"`   // hash of the block and its prefix, in hexadecimal
	Stored bool   `json:"stored"` // false if the block was evicted
}

// cache is a prefix cache of full blocks of tokens with least-recently-used eviction.
// A block is identified by the hash of the cache salt and the prompt up to the block's
// end.
type cache struct {
	mu     sync.Mutex
	blocks *lru.Cache[uint64, struct{}]
	events []CacheEvent
	seq    uint64
}

func newCache(maxBlocks int) *cache {
	c := &cache{}
	c.blocks, _ = lru.NewWithEvict(max(1, maxBlocks), func(h uint64, _ struct{}) { c.appendEvent(h, false) })
	return c
}

// appendEvent appends an event and drops the oldest ones above maxCacheEvents. The
// caller must hold c.mu.
func (c *cache) appendEvent(h uint64, stored bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Hash: strconv.FormatUint(h, 16), Stored: stored})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// blockHashes returns the hashes that identify the full blocks of a prompt, in order.
func blockHashes(salt, prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	d := xxhash.New()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	var out []uint64
	for len(prompt) >= size {
		_, _ = d.WriteString(prompt[:size])
		out = append(out, d.Sum64())
		prompt = prompt[size:]
	}
	return out
}

// lookup returns how many leading blocks are cached and marks them as recently used.
func (c *cache) lookup(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, h := range hashes {
		if _, ok := c.blocks.Get(h); !ok {
			return i
		}
	}
	return len(hashes)
}

// store adds the blocks that are not cached and marks all of them as recently used.
func (c *cache) store(hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hashes {
		if !c.blocks.Contains(h) {
			c.appendEvent(h, true)
		}
		c.blocks.Add(h, struct{}{})
	}
}

// clear removes all blocks and all events.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks.Purge()
	c.events = nil
}

// eventsSince returns the events after seq without the newest heldBack ones.
func (c *cache) eventsSince(seq uint64, heldBack int) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := max(0, len(c.events)-heldBack)
	out := []CacheEvent{}
	for _, ev := range c.events[:n] {
		if ev.Seq > seq {
			out = append(out, ev)
		}
	}
	return out
}
