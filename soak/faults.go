package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// entry is a kind of fault. busy is held for faults of the node's own life.
type entry struct {
	name string
	play func(ctx context.Context, b *bed, busy *sync.Mutex, n *node, up int, d time.Duration)
}

// catalogue lists the faults.
var catalogue = []entry{
	{"kill", func(ctx context.Context, b *bed, busy *sync.Mutex, n *node, _ int, d time.Duration) {
		busy.Lock()
		defer busy.Unlock()
		n.kill()
		sleep(ctx, d/2)
		b.restart(n)
	}},
	{"planned stop", func(ctx context.Context, b *bed, busy *sync.Mutex, n *node, _ int, d time.Duration) {
		busy.Lock()
		defer busy.Unlock()
		if err := n.stop(); err != nil {
			b.violate("planned stop", n.name, "ended with %v", err)
		}
		sleep(ctx, d/4)
		b.restart(n)
	}},
	{"pause", func(ctx context.Context, _ *bed, busy *sync.Mutex, n *node, _ int, d time.Duration) {
		busy.Lock()
		defer busy.Unlock()
		n.signal(syscall.SIGSTOP)
		sleep(ctx, d)
		n.signal(syscall.SIGCONT)
	}},
	{"reload", func(_ context.Context, _ *bed, busy *sync.Mutex, n *node, _ int, _ time.Duration) {
		busy.Lock()
		defer busy.Unlock()
		n.signal(syscall.SIGHUP)
	}},
	{"store link", func(ctx context.Context, _ *bed, _ *sync.Mutex, n *node, up int, d time.Duration) {
		n.store.set(fault(up%int(faultKind-1)) + 1)
		sleep(ctx, d)
		n.store.set(pass)
		n.store.reset()
	}},
	{"upstream link", func(ctx context.Context, b *bed, _ *sync.Mutex, n *node, up int, d time.Duration) {
		b.ups[up].set(fault(int(n.ports[0])%int(faultKind-1)) + 1)
		sleep(ctx, d)
		b.ups[up].set(pass)
		b.ups[up].reset()
	}},
	{"upstream reset", func(_ context.Context, b *bed, _ *sync.Mutex, _ *node, up int, _ time.Duration) { b.ups[up].reset() }},
	{"shedding", func(ctx context.Context, b *bed, _ *sync.Mutex, _ *node, up int, d time.Duration) {
		b.servers[up].SetShedding(true)
		sleep(ctx, d)
		b.servers[up].SetShedding(false)
	}},
	{"store refuses", func(ctx context.Context, b *bed, _ *sync.Mutex, _ *node, _ int, d time.Duration) {
		b.store.SetFaults(stand.Faults{Unavailable: true})
		sleep(ctx, d)
		b.store.SetFaults(stand.Faults{})
	}},
	{"store loses answers", func(ctx context.Context, b *bed, _ *sync.Mutex, _ *node, _ int, d time.Duration) {
		b.store.SetFaults(stand.Faults{LoseResponses: true, Delay: proxyDelay})
		sleep(ctx, d)
		b.store.SetFaults(stand.Faults{})
	}},
	{"configuration", func(_ context.Context, b *bed, _ *sync.Mutex, _ *node, _ int, _ time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.version += 3
		if err := b.store.Put("config", "main", stand.Config(b.version)); err != nil {
			b.violations = append(b.violations, Violation{Check: "soak", Request: "configuration", Detail: err.Error()})
		}
	}},
	{"weights", func(_ context.Context, b *bed, _ *sync.Mutex, _ *node, _ int, _ time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.weights++
		if err := b.store.Put("versions", "m", map[string]any{"model": "m", "version": b.weights}); err != nil {
			b.violations = append(b.violations, Violation{Check: "soak", Request: "weights", Detail: err.Error()})
		}
	}},
	{"leaving upstream", func(ctx context.Context, b *bed, _ *sync.Mutex, _ *node, up int, d time.Duration) {
		s := b.servers[up]
		for _, state := range []string{"draining", "ready"} {
			if err := b.store.Put("servers", s.ID(), s.Entry(b.ups[up].addr(), "z", state)); err != nil {
				b.violate("soak", s.ID(), "%v", err)
			}
			sleep(ctx, d)
		}
	}},
}

// restart starts a node again after it has ended.
func (b *bed) restart(n *node) {
	err := n.start()
	if err == nil {
		err = n.await()
	}
	if err != nil {
		b.violate("soak", n.name, "not started: %v", err)
	}
}
