package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["denied"] = denied }

// denied lets two of seven servers crash at a moment at which each works on a read of the same
// thing, which a third of the reads are about. Nothing is wrong with that request: the servers
// crash by themselves.
func denied(w *world) (bool, string) {
	const (
		servers = 7
		hotPath = "/stock/sheet-07"
		callers = 24
		before  = 4 * time.Second
		after   = 20 * time.Second
	)
	w.store.put("config", "main", w.config())
	var mu sync.Mutex
	var up []*server
	for i := range servers {
		up = append(up, startServer(w.fleet, fmt.Sprintf("i-app%d", i+1), appService, "", 60*time.Millisecond))
	}
	w.startNodes(3)
	end := time.Now().Add(before + after)
	var sent, denials, hotSent, hotServed, crashed atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			var ch clients
			for time.Now().Before(end) {
				path := fmt.Sprintf("/stock/sheet-%d", 100+rand.N(9000))
				hot := c%3 == 0
				if hot {
					path = hotPath
				}
				for try := range 2 { // a requester repeats once, on a new channel
					n := w.nodes[rand.N(len(w.nodes))]
					a := w.send(ch.of(n, try > 0), request{id: newID(), path: path, tenant: "norte", limit: time.Second, node: n})
					sent.Add(1)
					if a.denied() {
						denials.Add(1)
					}
					if hot && crashed.Load() > 0 {
						hotSent.Add(1)
						if a.status == 200 && a.sealed {
							hotServed.Add(1)
						}
					}
					if a.status == 200 && a.err == nil {
						break
					}
				}
				time.Sleep(time.Duration(200+rand.N(200)) * time.Millisecond)
			}
		})
	}
	if w.trouble {
		time.Sleep(before)
		for crashed.Load() == 0 && time.Now().Before(end.Add(-after/2)) {
			mu.Lock()
			var at []int
			for i, s := range up {
				if s.runs(hotPath) && len(at) < 2 {
					at = append(at, i)
				}
			}
			if len(at) == 2 {
				for _, i := range at {
					up[i].crash()
				}
				crashed.Store(2)
				time.AfterFunc(time.Second, func() { // others come in their place
					for range at {
						startServer(w.fleet, fmt.Sprintf("i-app%d", 100+rand.N(800)), appService, "", 60*time.Millisecond)
					}
				})
			}
			mu.Unlock()
			time.Sleep(time.Millisecond)
		}
	}
	wg.Wait()
	if w.trouble && crashed.Load() == 0 {
		must(fmt.Errorf("no two servers worked on the same thing"))
	}
	limit := 5 + sent.Load()/500
	s := fmt.Sprintf("%d of %d requests got a 4xx of the system's own (allowed: %d); after the crash of %d of %d servers %d of %d requests for the popular thing were served",
		denials.Load(), sent.Load(), limit, crashed.Load(), servers, hotServed.Load(), hotSent.Load())
	return denials.Load() > limit, s
}
