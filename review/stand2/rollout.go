package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const service = "taller-app"

// oldWork is how long the work for a plain request takes.
const oldWork = 15 * time.Millisecond

// route is a route of a config.
func route(name, path, kind string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": path, "kind": kind, "timeout-ms": timeout.Milliseconds(), "latency-goal-ms": 100, "priority": 1,
		"service": service, "max-attempts": attempts, "public": false, "sticky": false, "resumable": false, "gap-target-ms": 300,
	}
}

// The kinds of requests. The rates of the first two are those of the sheet of
// canaletas-plata.
var (
	booking = kind{name: "press-booking", method: http.MethodPost, path: "/book/", limit: time.Second, perS: 28.6}
	reading = kind{name: "stock-read", method: http.MethodGet, path: "/stock/", limit: time.Second, perS: 11.4}
)

// begin writes the config, starts the servers of v1 and the nodes.
func (w *world) beginRollouts(routes ...map[string]any) {
	w.store.put("config", "main", map[string]any{
		"version": 3, "routes": routes,
		"services": []any{map[string]any{"name": service, "health-path": healthPath, "max-conns": 550, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.startNodes(3)
}

// startVersion starts the servers of a version.
func (w *world) startVersion(version string, f func(r *http.Request) answer) {
	for i, zone := range []string{"cerro", "la-teja", "pando"} {
		w.startServer(fmt.Sprintf("i-%s-%d", version, i), service, version, zone, f)
	}
}

// good answers as a good version does.
func good(*http.Request) answer { return answer{status: http.StatusOK, work: oldWork} }

// order gives the order for a roll-out.
func (w *world) order(target string, duration time.Duration) time.Time {
	w.store.put("rollouts", service, map[string]any{"service": service, "target": target, "duration-s": duration.Seconds()})
	w.say("roll-out to %s is ordered, for %.0f s", target, duration.Seconds())
	return time.Now()
}

// state returns the recorded state of the roll-out to a target; "" if there is none.
func (w *world) state(target string) string {
	var st struct {
		State  string `json:"state"`
		Target string `json:"target"`
	}
	if json.Unmarshal([]byte(w.store.status("rollouts", service)), &st) != nil || st.Target != target {
		return ""
	}
	return st.State
}

// awaitEnd waits until the roll-out to a target has ended, or until a time.
func (w *world) awaitEnd(target string, until time.Time) string {
	for time.Now().Before(until) {
		if s := w.state(target); s == "completed" || s == "rolled_back" {
			w.say("the roll-out to %s is %s", target, s)
			return s
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ""
}

// ofVersion returns the servers of a version.
func (w *world) ofVersion(version string) []*server {
	var out []*server
	for _, s := range w.servers {
		if s.version == version {
			out = append(out, s)
		}
	}
	return out
}

// exposure checks the first part of EXPOSURE: a bad version gets at most a share of all requests
// that reach its service between the order and its time limit, and some more.
func (w *world) exposure(version string, from, to time.Time) bool {
	w.mu.Lock()
	all, bad := 0, 0
	for _, a := range w.arrivals {
		if a.at.Before(from) || a.at.After(to) {
			continue
		}
		all++
		if a.version == version {
			bad++
		}
	}
	w.mu.Unlock()
	allowed := exposeShare*float64(all) + exposeSlack
	w.say("%s got %d of the %d requests that reached the service before the time limit of the roll-out; %.1f are allowed", version, bad, all, allowed)
	return float64(bad) <= allowed
}

// stopped checks the second part of EXPOSURE: no request that was sent later than rollback-ms
// after the 50th bad answer of a version reaches it. isBad says which answers are bad.
func (w *world) stopped(version string, isBad func(a arrival) bool) bool {
	w.mu.Lock()
	n, late := 0, 0
	var limit, last time.Time
	for _, a := range w.arrivals {
		if a.version != version {
			continue
		}
		if !limit.IsZero() && a.sent.After(limit) {
			late++
			last = a.sent
		}
		if isBad(a) {
			if n++; n == exposeSlack {
				limit = a.at.Add(rollback)
			}
		}
	}
	w.mu.Unlock()
	if limit.IsZero() {
		w.say("%s gave %d bad answers, fewer than %d", version, n, exposeSlack)
		return true
	}
	w.say("%s gave its 50th bad answer at %.1f s; it got %d requests that were sent later than %v after that, the last at %.1f s", version, limit.Add(-rollback).Sub(w.begin).Seconds(), late, rollback, max(0, last.Sub(w.begin).Seconds()))
	return late == 0
}

// report prints what the callers got.
func (c *callers) report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.say("callers: success %v, other outcomes %v", c.success, c.others)
}

// verdict returns the exit code.
func (w *world) verdict(held bool) int {
	if held {
		w.say("EXPOSURE held")
		return exitHeld
	}
	w.say("EXPOSURE is broken")
	return exitBroken
}

// failed reports whether an answer is a failure.
func failed(a arrival) bool { return a.status >= 300 }

// caseStatus moves the service to a version that answers one route with 404.
func caseStatus(w *world) int {
	const duration = 20 * time.Second
	w.beginRollouts(route("r-book", booking.path, "unsafe", booking.limit, 1), route("r-stock", reading.path, "safe", reading.limit, 2))
	w.startVersion("v1", good)
	c := w.startCallers(booking, reading)
	time.Sleep(5 * time.Second)
	begin := w.order("v2", duration)
	w.startVersion("v2", func(r *http.Request) answer {
		if w.trouble && strings.HasPrefix(r.URL.Path, booking.path) {
			return answer{status: http.StatusNotFound, work: oldWork}
		}
		return good(r)
	})
	end := begin.Add(duration)
	switch w.awaitEnd("v2", end) {
	case "completed":
		for _, s := range w.ofVersion("v1") {
			s.stop()
		}
	case "rolled_back":
		time.Sleep(3 * time.Second)
		for _, s := range w.ofVersion("v2") {
			go s.drain()
		}
	}
	time.Sleep(time.Until(end.Add(5 * time.Second)))
	c.end()
	c.report()
	if !w.trouble {
		return w.verdict(w.stopped("v2", failed) && w.state("v2") == "completed")
	}
	part1, part2 := w.exposure("v2", begin, end), w.stopped("v2", failed)
	return w.verdict(part1 && part2)
}

// caseLate moves the service to a version that begins to fail late, when all new requests go to
// it and the old one still has streams to end.
func caseLate(w *world) int {
	const (
		duration = 60 * time.Second
		onset    = 49200 * time.Millisecond // after the order
	)
	notes := kind{name: "job-notes", method: http.MethodPost, path: "/notes/", limit: 15 * time.Second, perS: 10}
	w.beginRollouts(route("r-book", booking.path, "unsafe", booking.limit, 1), route("r-stock", reading.path, "safe", reading.limit, 2), route("r-notes", notes.path, "stream", notes.limit, 2))
	serve := func(r *http.Request) answer {
		if strings.HasPrefix(r.URL.Path, notes.path) {
			return answer{status: http.StatusOK, work: 270 * time.Millisecond, events: 48}
		}
		return good(r)
	}
	w.startVersion("v1", serve)
	c := w.startCallers(booking, reading, notes)
	time.Sleep(5 * time.Second)
	begin := w.order("v2", duration)
	w.startVersion("v2", func(r *http.Request) answer {
		if w.trouble && time.Since(begin) >= onset {
			return answer{status: http.StatusInternalServerError, work: oldWork}
		}
		return serve(r)
	})
	end := begin.Add(duration)
	switch w.awaitEnd("v2", end) {
	case "completed":
		for _, s := range w.ofVersion("v1") {
			s.stop()
		}
	case "rolled_back":
		time.Sleep(3 * time.Second)
		for _, s := range w.ofVersion("v2") {
			go s.drain()
		}
	}
	time.Sleep(time.Until(end.Add(2 * time.Second)))
	c.end()
	c.report()
	return w.verdict(w.stopped("v2", failed))
}

// caseNext orders the next version soon after a bad one was rolled back, while the servers of the
// bad one have not yet begun to leave.
func caseNext(w *world) int {
	const (
		duration   = 12 * time.Second
		nextAfter  = 500 * time.Millisecond // from the end of the first roll-out to the next order
		leaveAfter = 5 * time.Second        // from that end until the servers of the bad version begin to leave
	)
	booking, reading := booking, reading
	booking.perS, reading.perS = 75.4, 38.9
	w.beginRollouts(route("r-book", booking.path, "unsafe", booking.limit, 1), route("r-stock", reading.path, "safe", reading.limit, 2))
	w.startVersion("v1", good)
	c := w.startCallers(booking, reading)
	time.Sleep(5 * time.Second)
	begin := w.order("v2", duration)
	w.startVersion("v2", func(r *http.Request) answer {
		if rand.Float64() < 0.6 {
			return answer{status: http.StatusInternalServerError, work: oldWork}
		}
		return good(r)
	})
	end := begin.Add(duration)
	if w.awaitEnd("v2", end) != "rolled_back" {
		w.fail("v2 was not rolled back")
	}
	back := time.Now()
	if w.trouble {
		time.Sleep(time.Until(back.Add(nextAfter)))
		w.order("v3", duration)
		w.startVersion("v3", good)
	}
	time.Sleep(time.Until(back.Add(leaveAfter)))
	for _, s := range w.ofVersion("v2") {
		go s.drain()
	}
	time.Sleep(time.Until(end.Add(time.Second)))
	c.end()
	c.report()
	return w.verdict(w.exposure("v2", begin, end))
}

// casePortion moves the service to a version that fails every 33rd request of each route.
func casePortion(w *world) int {
	const (
		duration = 20 * time.Second
		every    = 33
	)
	booking, reading := booking, reading
	booking.perS, reading.perS = 75.4, 38.9
	w.beginRollouts(route("r-book", booking.path, "unsafe", booking.limit, 1), route("r-stock", reading.path, "safe", reading.limit, 2))
	w.startVersion("v1", good)
	c := w.startCallers(booking, reading)
	time.Sleep(5 * time.Second)
	begin := w.order("v2", duration)
	var books, reads atomic.Int64
	w.startVersion("v2", func(r *http.Request) answer {
		n := &books
		if strings.HasPrefix(r.URL.Path, reading.path) {
			n = &reads
		}
		if w.trouble && n.Add(1)%every == 0 {
			return answer{status: http.StatusInternalServerError, work: oldWork}
		}
		return good(r)
	})
	end := begin.Add(duration)
	switch w.awaitEnd("v2", end) {
	case "completed":
		for _, s := range w.ofVersion("v1") {
			s.stop()
		}
	case "rolled_back":
		time.Sleep(3 * time.Second)
		for _, s := range w.ofVersion("v2") {
			go s.drain()
		}
	}
	time.Sleep(time.Until(end.Add(18 * time.Second)))
	c.end()
	c.report()
	if !w.trouble {
		return w.verdict(w.stopped("v2", failed) && w.state("v2") == "completed")
	}
	part1, part2 := w.exposure("v2", begin, end), w.stopped("v2", failed)
	return w.verdict(part1 && part2)
}
