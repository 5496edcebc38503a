package engine

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// bytesPerToken is the size of a token in the stand-in's tokenizer.
const bytesPerToken = 4

// eventLog is the number of cache events kept for readers.
const eventLog = 8192

// CacheEvent says that a piece was stored in the cache or evicted from it.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Hash   string `json:"hash"`
	Stored bool   `json:"stored"`
}

// cache is a prefix cache of whole pieces, evicted by least recent use. A piece
// is named by the hash of everything before and in it, with the salt.
type cache struct {
	mu     sync.Mutex
	pieces *lru.Cache[uint64, struct{}]
	events []CacheEvent
	seq    uint64
}

func newCache(pieces int) *cache {
	c := &cache{}
	c.pieces, _ = lru.NewWithEvict(max(1, pieces), func(h uint64, _ struct{}) { c.note(h, false) })
	return c
}

// note logs an event. The lock is held.
func (c *cache) note(h uint64, stored bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Hash: strconv.FormatUint(h, 16), Stored: stored})
	if len(c.events) > eventLog {
		c.events = c.events[len(c.events)-eventLog:]
	}
}

// chain returns the hashes of the whole pieces of a prompt.
func chain(salt, prompt string, pieceTokens int) []uint64 {
	size := pieceTokens * bytesPerToken
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

// lookup returns how many leading pieces are cached and marks them as used.
func (c *cache) lookup(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, h := range hashes {
		if _, ok := c.pieces.Get(h); !ok {
			return i
		}
	}
	return len(hashes)
}

// store puts all pieces into the cache.
func (c *cache) store(hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hashes {
		if !c.pieces.Contains(h) {
			c.note(h, true)
		}
		c.pieces.Add(h, struct{}{})
	}
}

// clear empties the cache.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pieces.Purge()
	c.events = nil
}

// since returns the events after seq, the newest held back.
func (c *cache) since(seq uint64, heldBack int) []CacheEvent {
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
