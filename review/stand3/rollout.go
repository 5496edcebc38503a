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

func init() {
	cases["portion"] = func(w *world) (bool, string) {
		// Each 33rd request of a route, as if one of 33 workers that take turns were broken.
		var bookings, reads atomic.Int64
		return rollOut(w, func(r *http.Request) misbehaviour {
			n := &reads
			if strings.HasPrefix(r.URL.Path, "/booking/") {
				n = &bookings
			}
			if w.trouble && n.Add(1)%33 == 0 {
				return fails
			}
			return sound
		})
	}
	cases["shed"] = func(w *world) (bool, string) {
		// All requests of one of the two routes.
		return rollOut(w, func(r *http.Request) misbehaviour {
			if w.trouble && strings.HasPrefix(r.URL.Path, "/booking/") {
				return refuse
			}
			return sound
		})
	}
}

// Bounds of the sheet.
const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
)

// rollOut moves a service to a version that does with requests as answer says.
func rollOut(w *world, answer func(r *http.Request) misbehaviour) (bool, string) {
	const (
		servers  = 3
		duration = 20 * time.Second
		after    = 15 * time.Second // traffic after the time limit
		work     = 15 * time.Millisecond
	)
	w.store.put("config", "main", w.config())
	var old, fresh []*server
	for i := range servers {
		old = append(old, startServer(w.fleet, fmt.Sprintf("i-v1-%d", i), appService, "", work))
	}
	w.startNodes(3)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, served, lateSent, lateServed atomic.Int64
	begin := time.Now().Add(4 * time.Second)
	end := begin.Add(duration)
	wg.Go(func() {
		var ch clients
		t := time.NewTicker(time.Second / 110) // requests a second
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			n := w.nodes[i%len(w.nodes)]
			q := request{id: newID(), path: fmt.Sprintf("/stock/sheet-%d", rand.N(9000)), tenant: "norte", limit: time.Second, node: n}
			booking := i%3 > 0
			if booking {
				q.path, q.body = "/booking/press", []byte("book "+q.id)
			}
			wg.Go(func() {
				late := time.Now().After(end)
				a := w.send(ch.of(n), q)
				sent.Add(1)
				if a.status == http.StatusOK {
					served.Add(1)
				}
				if late && booking {
					lateSent.Add(1)
					if a.status == http.StatusOK {
						lateServed.Add(1)
					}
				}
			})
		}
	})
	time.Sleep(time.Until(begin))
	need(served.Load() > 0 && served.Load()*10 >= sent.Load()*9, "%d of %d requests were served before the roll-out", served.Load(), sent.Load())
	w.store.put("rollouts", appService, map[string]any{"service": appService, "target": "v2", "duration-s": duration.Seconds()})
	w.rec.add("operator", "orders a roll-out to v2, for %v", duration)
	for i := range servers {
		fresh = append(fresh, startRelease(w.fleet, fmt.Sprintf("i-v2-%d", i), appService, "", work, "v2", answer))
	}
	state := func() string { return w.store.state(appService, "v2") }
	until(time.Until(end), func() bool { return state() == "completed" || state() == "rolled_back" })
	w.rec.add("operator", "the roll-out is %q", state())
	switch state() {
	case "completed":
		for _, s := range old {
			s.leave(0)
		}
	case "rolled_back":
		time.Sleep(3 * time.Second)
		for _, s := range fresh {
			s.leave(drainTime)
		}
	}
	time.Sleep(time.Until(end.Add(after)))
	close(stop)
	wg.Wait()
	all, bad, wrong, answers, late := 0, 0, 0, 0, 0
	var limit time.Time
	w.fleet.mu.Lock()
	for _, a := range w.fleet.came {
		if a.at.After(begin) && a.at.Before(end) {
			all++
			if a.release == "v2" {
				bad++
			}
			if a.bad {
				wrong++
			}
		}
		if a.release != "v2" {
			continue
		}
		if !limit.IsZero() && a.at.After(limit) {
			late++
		}
		if a.bad {
			if answers++; answers == exposeSlack {
				limit = a.at.Add(rollbackTime)
			}
		}
	}
	w.fleet.mu.Unlock()
	need(state() != "", "no node has taken up the roll-out")
	need(all > 0 && bad > 0, "no request reached v2")
	need(!w.trouble || answers > 0, "v2 gave no bad answer")
	allowed := exposeShare*float64(all) + exposeSlack
	s := fmt.Sprintf("%q; v2 got %d of %d requests before the time limit (allowed: %.0f), %d of them answered badly, and %d later than rollback-ms after its 50th bad answer; %d of %d requests served, of bookings sent after the time limit %d of %d",
		state(), bad, all, allowed, wrong, late, served.Load(), sent.Load(), lateServed.Load(), lateSent.Load())
	if !w.trouble { // EXPOSURE says nothing of a good version
		need(state() == "completed", "the roll-out to a good version is %q", state())
		return false, s
	}
	return float64(bad) > allowed || late > 0, s
}
