package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/internal/port"
	"mustardvane.org/vane/platform/stand"
)

// Timing of crashes and what comes with them, and sizes of requests. Upstream 0 never crashes.
const (
	maxCrashInterval = 1200 * time.Millisecond // longest time between two crashes
	maxDown          = 2 * time.Second         // longest time until a crashed upstream listens again
	maxEntryDelay    = 500 * time.Millisecond  // longest time until it has written its entry then
	maxFreeze        = 3 * time.Second         // longest pause of a node
	maxKillDelay     = 7 * time.Second         // longest time from SIGTERM to an early SIGKILL
	maxSendPause     = 1500 * time.Millisecond // longest pause of a caller inside a request
	maxSlowWork      = 5 * time.Second         // longest work of a slow request; longer than the limit of plain requests
	maxBodySize      = 12 << 20
)

// incident is an end of a node, or a pause or crash of a process, that a soak has injected.
type incident struct {
	node    int // -1 if it concerns an upstream
	server  string
	begin   time.Time
	end     time.Time // equal to begin if it takes no time
	known   time.Time // of a crash whose upstream is back under its ID: when nodes know the new start
	planned bool
	text    string
}

// hidesStart reports whether a request ran at an upstream that was back under its ID, and
// nodes did not know the new start. They can't tell a whole response that states no end from
// what the process before has left of one.
func (x incident) hidesStart(r keptResult, ran []stand.Run) bool {
	if len(ran) == 0 || r.stated || r.status != http.StatusOK {
		return false
	}
	last := ran[len(ran)-1]
	return last.Server == x.server && last.Began.After(x.begin) && last.Began.Before(x.known)
}

// concernsNode reports whether a request was in flight at a node during an unplanned incident
// of that node.
func (x incident) concernsNode(r keptResult) bool {
	return !x.planned && x.node == r.node && !r.ended.Before(x.begin) && !r.sent.After(x.end)
}

// addIncident records an incident that ends now.
func (b *testbed) addIncident(x incident) {
	x.end = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incidents = append(b.incidents, x)
}

// crashes returns the number of crashes of upstreams.
func (b *testbed) crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, x := range b.incidents {
		if x.node < 0 {
			n++
		}
	}
	return n
}

// drawShape returns a random shape; without Options.Crashes always that of a plain request.
func (b *testbed) drawShape(r *rand.Rand) shape {
	if !b.opt.Crashes {
		return shape{}
	}
	s := shape{chunked: r.IntN(4) == 0}
	switch r.IntN(16) {
	case 0, 1, 2, 3, 4, 5:
		s.trouble = stand.TroubleUnframed
	case 6:
		s.trouble = stand.TroubleReset
	case 7:
		s.trouble = stand.TroubleEarly
	}
	if d := r.Int64N(int64(maxSendPause)); r.IntN(8) == 0 {
		s.split, s.pause = r.Float64(), time.Duration(d)
	}
	if d := r.Int64N(int64(maxSlowWork)); r.IntN(12) == 0 {
		s.work = time.Duration(d)
	}
	if n := r.IntN(maxBodySize); r.IntN(24) == 0 || s.trouble == stand.TroubleEarly && r.IntN(2) == 0 {
		s.bodySize = n
	}
	return s
}

// nodeEnd is how a node is ended: as planned if it is zero, else by SIGKILL, after SIGTERM
// and a delay unless delay is zero. reload is the time from SIGTERM to a SIGHUP, or zero.
type nodeEnd struct {
	kill          bool
	delay, reload time.Duration
}

// drawNodeEnd returns a random nodeEnd.
func drawNodeEnd(r *rand.Rand) nodeEnd {
	d := time.Duration(r.Int64N(int64(maxKillDelay)))
	switch r.IntN(8) {
	case 0:
		return nodeEnd{kill: true}
	case 1:
		return nodeEnd{kill: true, delay: d}
	case 2, 3:
		return nodeEnd{reload: d}
	}
	return nodeEnd{}
}

// endNode ends node i. It returns the stop, and false if that was not planned. The caller
// holds the node's lifecycle.
func (b *testbed) endNode(ctx context.Context, i int, e nodeEnd) (plannedStop, bool) {
	n := b.nodes[i]
	begin := time.Now()
	if e.kill {
		if e.delay > 0 {
			n.signal(syscall.SIGTERM)
			sleep(ctx, e.delay)
		}
		killed := time.Now()
		n.kill()
		b.addIncident(incident{node: i, begin: killed, text: fmt.Sprintf("SIGKILL %v after SIGTERM", e.delay)})
		return plannedStop{}, false
	}
	if e.reload > 0 {
		defer time.AfterFunc(e.reload, func() { n.signal(syscall.SIGHUP) }).Stop()
	}
	if err := n.stopWithin(gracePeriod); err != nil {
		b.addViolation("planned stop", n.name, "process ended with %v", err)
	}
	b.addIncident(incident{node: i, begin: begin, planned: true, text: "planned stop"})
	return plannedStop{node: i, term: begin, ended: time.Now()}, true
}

// startProcess starts an upstream as a process of its own address and writes its entry.
func (b *testbed) startProcess(s *stand.Server) error {
	n, err := port.Free()
	if err != nil {
		return err
	}
	p := stand.NewProcess(fmt.Sprintf("127.0.0.1:%d", n))
	if err := p.Start(s); err != nil {
		return err
	}
	b.processes, b.close = append(b.processes, p), append(b.close, p.Close)
	return b.store.Put("servers", s.ID(), s.Entry(p.Addr(), "z", "ready"))
}

// crash is one crash of an upstream.
type crash struct {
	up      int
	reset   bool          // its connections are reset, not closed in order
	listens bool          // its listening socket outlives it
	down    time.Duration // until another incarnation listens at its address
	renamed bool          // that has another id
	entry   time.Duration // from then until its entry is written
	paused  int           // node that is paused meanwhile; none if negative
	pause   time.Duration // from the crash until the node goes on
	lead    time.Duration // from the begin of the pause to the crash
}

// drawCrash returns a random crash.
func drawCrash(r *rand.Rand) crash {
	frac := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	c := crash{up: 1 + r.IntN(serverCount-1), reset: r.IntN(3) == 0, renamed: r.IntN(2) == 0, entry: frac(maxEntryDelay), paused: -1}
	switch short, long := frac(maxDown/20), frac(maxDown); r.IntN(3) {
	case 0:
		c.down = short
	case 1:
		c.down = long
	}
	if i := r.IntN(nodeCount); r.IntN(3) == 0 {
		c.paused = i
	}
	c.listens = r.IntN(6) == 0
	c.lead = frac(maxFreeze / 2)
	c.pause = frac(maxFreeze - c.lead)
	return c
}

// crashUpstreams crashes and restarts upstreams until ctx ends. Crashes of different upstreams
// overlap.
func (b *testbed) crashUpstreams(ctx context.Context, lifecycle []sync.Mutex) {
	r := rand.New(rand.NewPCG(b.opt.Seed, 2<<32))
	var wg sync.WaitGroup
	busy := make([]sync.Mutex, serverCount)
	for k := 1; ; k++ {
		sleep(ctx, time.Duration(r.Int64N(int64(maxCrashInterval))))
		if ctx.Err() != nil {
			break
		}
		c := drawCrash(r)
		wg.Go(func() {
			busy[c.up].Lock()
			defer busy[c.up].Unlock()
			if c.paused >= 0 && lifecycle[c.paused].TryLock() {
				defer lifecycle[c.paused].Unlock()
				x := incident{node: c.paused, begin: time.Now(), text: "SIGSTOP"}
				b.nodes[c.paused].signal(syscall.SIGSTOP)
				sleep(ctx, c.lead)
				var resumed sync.WaitGroup
				defer resumed.Wait()
				resumed.Go(func() {
					sleep(ctx, c.pause)
					b.nodes[c.paused].signal(syscall.SIGCONT)
					b.addIncident(x)
				})
			}
			b.crash(ctx, c, k)
		})
	}
	wg.Wait()
}

// crash carries out crash number k. The caller makes sure that no other crash of the upstream
// goes on.
func (b *testbed) crash(ctx context.Context, c crash, k int) {
	b.mu.Lock()
	old := b.servers[c.up]
	b.mu.Unlock()
	id := old.ID()
	if c.renamed {
		id = fmt.Sprintf("i-%d-%d", c.up, k)
	}
	x := incident{node: -1, server: old.ID(), begin: time.Now()}
	how, end := "crash", b.processes[c.up].Crash
	if c.listens {
		how, end = "crash, still listening", b.processes[c.up].CrashListening
	}
	end(c.reset)
	crashed := time.Now()
	sleep(ctx, c.down)
	s := stand.NewServer(id, b.runLog)
	if err := b.processes[c.up].Start(s); err != nil {
		b.addViolation("soak", id, "upstream could not be restarted: %v", err)
		return
	}
	x.text = fmt.Sprintf(how+" (reset %v, %v long), %s listens %v later", c.reset, crashed.Sub(x.begin), id, time.Since(crashed))
	if !c.renamed {
		x.known = time.Now().Add(c.entry + learnTime)
	}
	b.addIncident(x)
	sleep(ctx, c.entry)
	b.mu.Lock()
	b.servers[c.up] = s
	b.mu.Unlock()
	if c.renamed {
		b.store.Remove("servers", old.ID())
	}
	if err := b.store.Put("servers", id, s.Entry(b.processes[c.up].Addr(), "z", "ready")); err != nil {
		b.addViolation("soak", id, "%v", err)
	}
}

// withIncidents adds to violations what is known of their requests: when those were sent and
// ended, where they ran, and the incidents of the processes involved meanwhile.
func withIncidents(vs []Violation, results []keptResult, runs []stand.Run, incidents []incident) []Violation {
	for i := range vs {
		v := &vs[i]
		for _, r := range results {
			if r.id != v.Request {
				continue
			}
			var ran []stand.Run
			for _, x := range runs {
				if x.ID == r.id {
					ran = append(ran, x)
				}
			}
			v.Detail += "; at " + nodeName(r.node) + ", " + r.String() + ", " + describeRuns(ran)
			for _, x := range incidents {
				if !x.end.Before(r.sent) && !x.begin.After(r.ended) && (x.node == r.node || x.node < 0 && ranAt(ran, x.server)) {
					v.Detail += "; " + x.String()
				}
			}
		}
	}
	return vs
}

// ranAt reports whether a request ran at a server.
func ranAt(runs []stand.Run, server string) bool {
	for _, x := range runs {
		if x.Server == server {
			return true
		}
	}
	return false
}

// String describes the incident for a violation.
func (x incident) String() string {
	var s strings.Builder
	s.WriteString(x.text)
	if x.node < 0 {
		s.WriteString(" of " + x.server)
	}
	fmt.Fprintf(&s, " from %s to %s", x.begin.Format("05.000000"), x.end.Format("05.000000"))
	return s.String()
}
