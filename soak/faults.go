package soak

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// faultSpec is a kind of fault. The function inject injects the fault and, unless it
// is momentary, ends it after about d. A fault affects the node n or the upstream with
// the index up. Faults that stop or signal the process of n hold lifecycle meanwhile.
type faultSpec struct {
	name   string
	inject func(ctx context.Context, b *testbed, lifecycle *sync.Mutex, n *node, up int, d time.Duration)
}

// faultSpecs lists the kinds of faults.
var faultSpecs = []faultSpec{
	{"kill", func(ctx context.Context, b *testbed, lifecycle *sync.Mutex, n *node, _ int, d time.Duration) {
		lifecycle.Lock()
		defer lifecycle.Unlock()
		n.kill()
		sleep(ctx, d/2)
		b.restart(n)
	}},
	{"kill while responses state no end", func(ctx context.Context, b *testbed, lifecycle *sync.Mutex, n *node, _ int, d time.Duration) {
		lifecycle.Lock()
		defer lifecycle.Unlock()
		for _, s := range b.servers {
			s.SetTrouble(stand.TroubleUnframed)
		}
		sleep(ctx, learnTime+d/4)
		n.kill()
		for _, s := range b.servers {
			s.SetTrouble(stand.TroubleNone)
		}
		b.restart(n)
	}},
	{"planned stop", func(ctx context.Context, b *testbed, lifecycle *sync.Mutex, n *node, _ int, d time.Duration) {
		lifecycle.Lock()
		defer lifecycle.Unlock()
		if err := n.stop(); err != nil {
			b.addViolation("planned stop", n.name, "process ended with %v", err)
		}
		sleep(ctx, d/4)
		b.restart(n)
	}},
	{"pause", func(ctx context.Context, _ *testbed, lifecycle *sync.Mutex, n *node, _ int, d time.Duration) {
		lifecycle.Lock()
		defer lifecycle.Unlock()
		n.signal(syscall.SIGSTOP)
		sleep(ctx, d)
		n.signal(syscall.SIGCONT)
	}},
	{"reload", func(_ context.Context, _ *testbed, lifecycle *sync.Mutex, n *node, _ int, _ time.Duration) {
		lifecycle.Lock()
		defer lifecycle.Unlock()
		n.signal(syscall.SIGHUP)
	}},
	{"store link", func(ctx context.Context, _ *testbed, _ *sync.Mutex, n *node, up int, d time.Duration) {
		n.storeProxy.set(proxyFault(up%int(proxyFaultCount-1)) + 1)
		sleep(ctx, d)
		n.storeProxy.set(passThrough)
		n.storeProxy.reset()
	}},
	{"upstream link", func(ctx context.Context, b *testbed, _ *sync.Mutex, n *node, up int, d time.Duration) {
		b.upstreamProxies[up].set(proxyFault(int(n.ports[0])%int(proxyFaultCount-1)) + 1)
		sleep(ctx, d)
		b.upstreamProxies[up].set(passThrough)
		b.upstreamProxies[up].reset()
	}},
	{"upstream reset", func(_ context.Context, b *testbed, _ *sync.Mutex, _ *node, up int, _ time.Duration) {
		b.upstreamProxies[up].reset()
	}},
	{"shedding", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, up int, d time.Duration) {
		b.servers[up].SetShedding(true)
		sleep(ctx, d)
		b.servers[up].SetShedding(false)
	}},
	{"shedding for a time", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, up int, d time.Duration) {
		s := b.servers[up]
		s.SetRetryAfter([]string{"0.2", "1", "1e300", "soon"}[int(d/time.Millisecond)%4])
		s.SetShedding(true)
		sleep(ctx, d/4)
		s.SetShedding(false)
		s.SetRetryAfter("")
	}},
	{"upstream says it leaves", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, up int, d time.Duration) {
		s := b.servers[up]
		s.SetLeaving(true)
		sleep(ctx, d)
		s.SetLeaving(false)
		s.Restart()
		if err := b.store.Put("servers", s.ID(), s.Entry(b.upstreamProxies[up].addr(), "z", "ready")); err != nil {
			b.addViolation("soak", s.ID(), "%v", err)
		}
	}},
	{"odd entries", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, _ int, d time.Duration) {
		for name, spec := range oddEntries {
			if err := b.store.Put("servers", name, json.RawMessage(spec)); err != nil {
				b.addViolation("soak", name, "%v", err)
			}
		}
		sleep(ctx, d)
	}},
	{"upstream unframed", trouble(stand.TroubleUnframed)},
	{"upstream short", trouble(stand.TroubleShort)},
	{"upstream cut", trouble(stand.TroubleCut)},
	{"upstream endless", trouble(stand.TroubleEndless)},
	{"store refuses", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, _ int, d time.Duration) {
		b.store.SetFaults(stand.Faults{Unavailable: true})
		sleep(ctx, d)
		b.store.SetFaults(stand.Faults{})
	}},
	{"store loses responses", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, _ int, d time.Duration) {
		b.store.SetFaults(stand.Faults{LoseResponses: true, Delay: proxyDelay})
		sleep(ctx, d)
		b.store.SetFaults(stand.Faults{})
	}},
	{"store restored", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, _ int, d time.Duration) {
		c := b.store.Copy()
		sleep(ctx, d)
		b.configure()
		sleep(ctx, learnTime)
		b.store.SetFaults(stand.Faults{Unavailable: true})
		sleep(ctx, d/4)
		b.restoreStore(c)
		b.store.SetFaults(stand.Faults{})
		b.configure()
	}},
	{"configuration", func(_ context.Context, b *testbed, _ *sync.Mutex, _ *node, _ int, _ time.Duration) { b.configure() }},
	{"weights", func(_ context.Context, b *testbed, _ *sync.Mutex, _ *node, _ int, _ time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.weightsVersion++
		if err := b.store.Put("versions", "m", map[string]any{"model": "m", "version": b.weightsVersion}); err != nil {
			b.violations = append(b.violations, Violation{Check: "soak", Request: "weights", Detail: err.Error()})
		}
	}},
	{"leaving upstream", func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, up int, d time.Duration) {
		s := b.servers[up]
		for _, state := range []string{"draining", "ready"} {
			if err := b.store.Put("servers", s.ID(), s.Entry(b.upstreamProxies[up].addr(), "z", state)); err != nil {
				b.addViolation("soak", s.ID(), "%v", err)
			}
			sleep(ctx, d)
		}
	}},
}

// oddEntries are entries of another writer among those of the servers, by name.
var oddEntries = map[string]string{
	"odd-port":   `{"service":"llm","address":"127.0.0.1:99999","zone":"z","slots":16,"state":"ready","born":1}`,
	"odd-slots":  `{"service":"llm","address":"127.0.0.1:1","zone":"z","slots":4611686018427387904,"state":"ready","born":1}`,
	"odd-number": `{"service":"llm","address":"127.0.0.1:1","zone":"z","slots":1e400,"state":"ready","born":1}`,
	"odd-nested": strings.Repeat("[", 1000) + strings.Repeat("]", 1000),
	"odd-type":   `"ready"`,
}

// trouble returns the injection of a fault in which an upstream writes its responses in
// the given way.
func trouble(t stand.Trouble) func(context.Context, *testbed, *sync.Mutex, *node, int, time.Duration) {
	return func(ctx context.Context, b *testbed, _ *sync.Mutex, _ *node, up int, d time.Duration) {
		b.servers[up].SetTrouble(t)
		sleep(ctx, d)
		b.servers[up].SetTrouble(stand.TroubleNone)
	}
}

// learnTime is the time within which most nodes learn of a configuration.
const learnTime = 200 * time.Millisecond

// configure writes the next configuration.
func (b *testbed) configure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configVersion += 3
	if err := b.store.Put("config", "main", b.config()); err != nil {
		b.violations = append(b.violations, Violation{Check: "soak", Request: "configuration", Detail: err.Error()})
	}
}

// restoreStore takes the store back to a copy. The operator and the upstreams then write
// again what they wrote since.
func (b *testbed) restoreStore(c stand.Copy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	had := b.store.Restore(c)
	for _, kind := range []string{"config", "versions", "servers"} {
		for name, spec := range had.Specs(kind) {
			if err := b.store.Put(kind, name, spec); err != nil {
				b.violations = append(b.violations, Violation{Check: "soak", Request: kind + "/" + name, Detail: err.Error()})
			}
		}
	}
}

// restart starts a node again after its process has ended, and waits until it listens.
func (b *testbed) restart(n *node) {
	err := n.start()
	if err == nil {
		err = n.awaitListening()
	}
	if err != nil {
		b.addViolation("soak", n.name, "process could not be restarted: %v", err)
	}
}
