package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["drain"] = drain }

// drainTime is drain-ms of the sheet.
const drainTime = 2 * time.Second

// drain lets another writer leave entries that can't be read among those of the servers, each of
// the size that an object may have, and then a server leave as planned.
func drain(w *world) (bool, string) {
	const (
		servers   = 8 // one of which leaves: a share of 0.125, on the site 0.13
		odd       = 20
		valueSize = 1 << 20 // value-bytes
		callers   = 16
		serves    = 8 * time.Second // how long the leaving server goes on serving
	)
	w.store.put("config", "main", w.config())
	var up []*server
	for i := range servers {
		up = append(up, startServer(w.fleet, fmt.Sprintf("i-app%d", i+1), appService, "", 15*time.Millisecond))
	}
	w.startNodes(3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, failed atomic.Int64
	for i := range callers {
		wg.Go(func() {
			var ch clients
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.N(100)) * time.Millisecond):
				}
				n := w.nodes[rand.N(len(w.nodes))]
				q := request{id: newID(), path: fmt.Sprintf("/stock/sheet-%d", rand.N(9000)), tenant: "norte", limit: time.Second, node: n}
				if i%3 == 0 {
					q.path, q.body = "/booking/press", []byte("book "+q.id)
				}
				sent.Add(1)
				if a := w.send(ch.of(n), q); a.status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	if w.trouble {
		text := strings.Repeat("x", valueSize-64)
		for i := range odd {
			w.store.put("servers", fmt.Sprintf("other-%02d", i), text)
		}
		w.rec.add("store", "another writer has left %d entries of %d bytes that name no server", odd, valueSize-62)
	}
	time.Sleep(time.Second)
	leaving := up[0]
	acked := time.Now()
	leaving.leave(serves)
	time.Sleep(serves + 2*time.Second)
	close(stop)
	wg.Wait()
	need(failed.Load()*2 < sent.Load(), "%d of %d requests failed", failed.Load(), sent.Load())
	if w.trouble {
		need(w.store.seen("servers", begin), "no node was told of the entries of the other writer")
	}
	late, early := 0, 0
	var last time.Duration
	w.fleet.mu.Lock()
	for _, b := range w.fleet.begun {
		d := b.at.Sub(acked)
		if b.server == leaving.id && d < 0 {
			early++
		}
		if b.server == leaving.id && d > drainTime {
			late++
			last = d
		}
	}
	w.fleet.mu.Unlock()
	need(early > 0, "no request ran at %s before it left", leaving.id)
	return late > 0, fmt.Sprintf("%d requests reached the leaving server later than drain-ms after the ack, the last %.1f s after it; %d of %d requests failed", late, last.Seconds(), failed.Load(), sent.Load())
}
