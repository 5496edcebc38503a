package edge

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// Bounds of the picture of the cache store.
const (
	maxHeld    = 1 << 16 // parts that are remembered
	cachePause = 300 * time.Millisecond
	fullPause  = time.Second // the store holds as many calls as it can
)

// cacheWatch follows the contents of the cache store by its events.
type cacheWatch struct {
	ctl vane.EngineControl
	log *slog.Logger
	may func() bool // this node may follow the store, which holds few calls at a time

	mu    sync.Mutex
	addr  string
	up    bool
	epoch uint64
	held  *simplelru.LRU[heldPart, struct{}]
}

// heldPart names a part under its salt.
type heldPart struct{ salt, part string }

var _ sched.StoreIndex = (*cacheWatch)(nil)

// newCacheWatch returns a watch that knows of no store yet.
func newCacheWatch(ctl vane.EngineControl, log *slog.Logger, may func() bool) *cacheWatch {
	l, _ := simplelru.NewLRU[heldPart, struct{}](maxHeld, nil)
	return &cacheWatch{ctl: ctl, log: log, may: may, held: l}
}

// update takes the address of the store.
func (c *cacheWatch) update(v *mirror.View) {
	if v.Config == nil {
		return
	}
	s, _ := v.Config.Cache()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.CacheAddr != c.addr {
		c.addr, c.up = s.CacheAddr, false
		c.held.Purge()
	}
}

// Holds implements sched.Cache.
func (c *cacheWatch) Holds(salt, part string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held.Contains(heldPart{salt, part})
}

// Addr implements sched.Cache.
func (c *cacheWatch) Addr() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.up
}

// Run implements kernel.Service.
func (c *cacheWatch) Run(ctx context.Context, ready func()) error {
	ready()
	var since uint64
	var last string
	for ctx.Err() == nil {
		addr, _ := c.Addr()
		if addr == "" || !c.may() {
			c.leave()
			clock.Sleep(ctx, cachePause)
			continue
		}
		if addr != last {
			last, since = addr, 0
		}
		ch, err := c.ctl.CacheChanges(ctx, addr, since)
		if err != nil {
			c.failed(ctx, addr, err)
			continue
		}
		if ch.Gap || ch.Epoch != c.known() && since > 0 {
			if ch, err = c.ctl.CacheContents(ctx, addr); err != nil {
				c.failed(ctx, addr, err)
				continue
			}
		}
		since = c.take(addr, ch, since)
	}
	return nil
}

// leave notes that this node does not follow the store, and so does not use it.
func (c *cacheWatch) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up = false
}

// known returns the epoch of the store that the picture is of.
func (c *cacheWatch) known() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// failed notes that the store does not answer.
func (c *cacheWatch) failed(ctx context.Context, addr string, err error) {
	c.mu.Lock()
	if c.up && ctx.Err() == nil {
		c.log.Warn("cache store lost", "addr", addr, "err", err.Error())
	}
	c.up = false
	c.mu.Unlock()
	clock.Sleep(ctx, clock.Jitter(cachePause))
}

// take takes changes and returns the number to go on from.
func (c *cacheWatch) take(addr string, ch vane.CacheChanges, since uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		return since
	}
	if !c.up {
		c.log.Info("cache store reached", "addr", addr, "epoch", ch.Epoch, "since", since, "next", ch.Next, "gap", ch.Gap, "events", len(ch.Events))
	}
	c.up = true
	if ch.Epoch != c.epoch {
		c.epoch = ch.Epoch
		c.held.Purge()
	}
	for _, e := range ch.Events {
		k := heldPart{e.Salt, e.PartID}
		if e.Added {
			c.held.Add(k, struct{}{})
		} else {
			c.held.Remove(k)
		}
	}
	return ch.Next
}
