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

// Limits and delays of the cache store watcher.
const (
	maxCachedParts  = 1 << 16                // cache store entries remembered
	cacheRetryDelay = 300 * time.Millisecond // after a failed call, and between two checks whether this node may follow the store
	fullRetryDelay  = time.Second            // when the store reports that it accepts no more calls
)

// cacheWatcher tracks the contents of the cache store by following its change events.
// It is safe for concurrent use.
type cacheWatcher struct {
	control   vane.EngineControl
	log       *slog.Logger
	mayFollow func() bool // whether this node may watch the store, which accepts few watch calls at a time

	mu    sync.Mutex
	addr  string // empty if no cache store is configured
	up    bool   // this node follows the store, and its last call succeeded
	epoch uint64 // store epoch to which parts belongs
	parts *simplelru.LRU[partKey, struct{}]
}

// partKey identifies a cached prompt part under its cache salt.
type partKey struct{ salt, part string }

var _ sched.StoreIndex = (*cacheWatcher)(nil)

// newCacheWatcher returns a watcher without a store address; update sets it.
func newCacheWatcher(control vane.EngineControl, log *slog.Logger, mayFollow func() bool) *cacheWatcher {
	l, _ := simplelru.NewLRU[partKey, struct{}](maxCachedParts, nil)
	return &cacheWatcher{control: control, log: log, mayFollow: mayFollow, parts: l}
}

// update takes the address of the cache store from the configuration. A new address
// discards the known contents. A view without a configuration changes nothing.
func (c *cacheWatcher) update(v *mirror.View) {
	if v.Config == nil {
		return
	}
	s, _ := v.Config.CacheStore()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.CacheAddr != c.addr {
		c.addr, c.up = s.CacheAddr, false
		c.parts.Purge()
	}
}

// Holds implements sched.StoreIndex.
func (c *cacheWatcher) Holds(salt, part string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.Contains(partKey{salt, part})
}

// Addr implements sched.StoreIndex.
func (c *cacheWatcher) Addr() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.up
}

// Run implements kernel.Service.
func (c *cacheWatcher) Run(ctx context.Context, ready func()) error {
	ready()
	var since uint64
	var lastAddr string
	for ctx.Err() == nil {
		addr, _ := c.Addr()
		if addr == "" || !c.mayFollow() {
			c.stopUsing()
			clock.Sleep(ctx, cacheRetryDelay)
			continue
		}
		if addr != lastAddr {
			lastAddr, since = addr, 0
		}
		ch, err := c.control.CacheChanges(ctx, addr, since)
		if err != nil {
			c.handleError(ctx, addr, err)
			continue
		}
		if ch.Gap || ch.Epoch != c.knownEpoch() && since > 0 {
			if ch, err = c.control.CacheContents(ctx, addr); err != nil {
				c.handleError(ctx, addr, err)
				continue
			}
		}
		since = c.apply(addr, ch, since)
	}
	return nil
}

// stopUsing marks the store as unusable because this node does not follow it.
func (c *cacheWatcher) stopUsing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up = false
}

// knownEpoch returns the store epoch to which the known contents belong.
func (c *cacheWatcher) knownEpoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// handleError marks the store as unusable after a failed call and waits before the next
// one. It logs only the change from usable to unusable.
func (c *cacheWatcher) handleError(ctx context.Context, addr string, err error) {
	c.mu.Lock()
	if c.up && ctx.Err() == nil {
		c.log.Warn("cache store lost", "addr", addr, "err", err.Error())
	}
	c.up = false
	c.mu.Unlock()
	clock.Sleep(ctx, clock.Jitter(cacheRetryDelay))
}

// apply updates the known contents and returns the event number from which to continue.
// Events of an address that has since been replaced are ignored. A new epoch means that
// the store lost its contents.
func (c *cacheWatcher) apply(addr string, ch vane.CacheChanges, since uint64) uint64 {
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
		c.parts.Purge()
	}
	for _, e := range ch.Events {
		k := partKey{e.Salt, e.PartID}
		if e.Added {
			c.parts.Add(k, struct{}{})
		} else {
			c.parts.Remove(k)
		}
	}
	return ch.Next
}
