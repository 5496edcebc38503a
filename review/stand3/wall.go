package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["entry"] = entry }

// prompts sends generations of a tenant that share the first two parts of their prompts with those
// of the other tenant, until stop is closed.
func (w *world) prompts(tenant string, pause time.Duration, stop chan struct{}, wg *sync.WaitGroup) {
	wg.Go(func() {
		var ch clients
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			n := w.nodes[i%len(w.nodes)]
			q := request{id: newID(), path: "/notes/2f", tenant: tenant, limit: 15 * time.Second, node: n, body: []byte("notes of " + tenant)}
			q.parts = "5c1e07a2:800,91bd3f06:410," + fmt.Sprintf("%s%x:250", tenant[:1], i)
			w.send(ch.of(n), q)
		}
	})
}

// shared returns the uses of parts that another tenant made.
func (w *world) shared() []reuse {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return slices.Clone(w.fleet.reuses)
}

// startModelServers starts the model servers and names their first version.
func (w *world) startModelServers(n int) []*server {
	w.store.put("versions", llmModel, map[string]any{"model": llmModel, "version": 1})
	var out []*server
	for i := range n {
		out = append(out, startServer(w.fleet, fmt.Sprintf("i-llm%d", i+1), llmService, llmModel, 20*time.Millisecond))
	}
	startServer(w.fleet, "i-app1", appService, "", 15*time.Millisecond)
	return out
}

// entry lets another writer replace the entry of a model server by one that lacks the field
// models, until the server writes its own again a heartbeat later. Both tenants are isolated.
func entry(w *world) (bool, string) {
	w.store.put("config", "main", w.config("norte", "sur"))
	up := w.startModelServers(2)
	w.startNodes(3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 3 {
		w.prompts("norte", 40*time.Millisecond, stop, &wg)
		w.prompts("sur", 40*time.Millisecond, stop, &wg)
	}
	time.Sleep(4 * time.Second)
	before := up[0].ran()
	begin := time.Now()
	if w.trouble {
		e := up[0].entry()
		delete(e, "models")
		w.store.put("servers", up[0].id, e)
		w.rec.add("store", "another writer replaces the entry of %s by one without models", up[0].id)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	need(before["norte"] > 0 && before["sur"] > 0, "no requests of both tenants ran at %s", up[0].id)
	after := up[0].ran()
	need(after["norte"] > before["norte"] && after["sur"] > before["sur"], "no requests of both tenants ran at %s any more", up[0].id)
	if w.trouble {
		need(w.store.seen("servers", begin), "no node has read the entry of the other writer")
	}
	r := w.shared()
	s := fmt.Sprintf("%d runs; isolated tenants used kept parts of one another %d times", w.fleet.runs, len(r))
	if len(r) > 0 {
		s += fmt.Sprintf(", first %s of %s used part %s that %s of %s made", r[0].userRequest, r[0].user, r[0].part, r[0].makerRequest, r[0].maker)
	}
	return len(r) > 0, s
}
