package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

func init() { cases["one"] = one }

// one stops the node that gives the orders as planned work does, while new weights are being
// rolled out, and kills the node that has taken over from it, which starts again. It checks the
// orders that each server got.
func one(w *world) (bool, string) {
	const servers = 3
	w.store.put("config", "main", w.config())
	w.store.put("versions", llmModel, map[string]any{"model": llmModel, "version": 1})
	var up []*server
	for i := range servers {
		up = append(up, startServer(w.fleet, fmt.Sprintf("i-llm%d", i+1), llmService, llmModel, 20*time.Millisecond))
	}
	startServer(w.fleet, "i-app1", appService, "", 15*time.Millisecond)
	w.startNodes(3)
	name := func(v int) {
		w.rec.add("operator", "names version %d", v)
		w.store.put("versions", llmModel, map[string]any{"model": llmModel, "version": v})
	}
	name(2)
	// The next version is named once the last server has its order.
	if !until(30*time.Second, func() bool { return len(w.orders()) >= servers }) {
		must(fmt.Errorf("the servers got no orders"))
	}
	first := w.orders()[servers-1].holder
	kind := w.store.sharedKind()
	name(3)
	if w.trouble {
		leader := w.node(first)
		go leader.terminate()
		var next string
		if !until(10*time.Second, func() bool {
			n, _ := w.store.lastWriter(kind)
			next = n
			return n != first
		}) {
			must(fmt.Errorf("no node takes over"))
		}
		w.rec.add("store", "%s has taken over", next)
		go w.node(next).kill()
	}
	until(25*time.Second, func() bool {
		for _, s := range up {
			s.mu.Lock()
			s.settle()
			v := s.version
			s.mu.Unlock()
			if v != 3 {
				return false
			}
		}
		return true
	})
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	return w.turns()
}

// orders returns the orders that have arrived.
func (w *world) orders() []order {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return slices.Clone(w.fleet.orders)
}

// turns checks the orders to each server: two holders must not give orders within the lease time,
// nor with one fencing token, nor one with a lower token after one with a higher.
func (w *world) turns() (bool, string) {
	last := make(map[string]order)
	all := w.orders()
	text := fmt.Sprintf("%d orders, no two of different holders to one server within %v", len(all), leaseTime)
	broken := false
	for _, o := range all {
		p, ok := last[o.server]
		last[o.server] = o
		if !ok || p.holder == o.holder {
			continue
		}
		d := o.at.Sub(p.at)
		w.rec.add("turn", "server %s got an order from %s (fence %d) %.3f s after one from %s (fence %d)", o.server, o.holder, o.fence, d.Seconds(), p.holder, p.fence)
		if d < leaseTime || o.fence <= p.fence {
			if !broken {
				text = fmt.Sprintf("server %s got an order from %s (fence %d) %.3f s after one from %s (fence %d); lease-ms is %d", o.server, o.holder, o.fence, d.Seconds(), p.holder, p.fence, leaseTime.Milliseconds())
			}
			broken = true
		}
	}
	return broken, text
}

// until waits until f returns true, for the given time at most.
func until(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
