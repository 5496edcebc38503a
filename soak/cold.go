package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// Timing of [RunCold].
const (
	heartbeat       = 200 * time.Millisecond // time between two checks whether the entry of an upstream has changed
	maxColdInterval = 600 * time.Millisecond // longest time between the starts of two faults
	maxColdFault    = 1200 * time.Millisecond
	coldLearnTime   = 600 * time.Millisecond // time after an entry from which on the bound of a cold upstream is checked
	stallTime       = 150 * time.Millisecond // time by which this process was late above which its times prove nothing
	evacLimit       = stand.EvacMS * time.Millisecond
)

// span is a time during which an upstream was cold or a data centre evacuated, from when the
// nodes had to know.
type span struct {
	what        string // ID of the upstream, or data centre
	from, until time.Time
}

// coldSoak is a soak of cold upstreams and evacuations.
type coldSoak struct {
	*testbed
	mu     sync.Mutex
	cold   []span
	evac   []span
	stalls []span
}

// zone returns the data centre of upstream i.
func (b *testbed) zone(i int) string {
	if b.cold && i%2 == 1 {
		return "y"
	}
	return "z"
}

// config returns the present configuration. The caller must hold mu unless no fault runs yet.
func (b *testbed) config() map[string]any {
	if b.cold {
		return stand.ColdConfig(b.configVersion)
	}
	return stand.Config(b.configVersion)
}

// RunCold runs a soak in which upstreams turn cold, with a new start or without one, and a data
// centre is evacuated, while nodes are killed and paused, and nodes and the whole system lose
// the store. It checks that cold upstreams stay within their bound from shortly after they
// said that they are cold, and that evacuated ones get nothing from the limit on.
func RunCold(ctx context.Context, opt Options) (Result, error) {
	b := &coldSoak{testbed: &testbed{opt: opt, store: stand.NewStore(), runLog: &stand.RunLog{}, configVersion: 1, weightsVersion: 1, cold: true}}
	defer b.shutDown()
	if err := b.startAll(); err != nil {
		return Result{}, err
	}
	c := &callers{nodes: b.nodes}
	cctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { c.run(cctx, i, rand.New(rand.NewPCG(opt.Seed, uint64(i)))) })
	}
	wg.Go(func() { b.watchStalls(cctx) })
	for i := range b.servers {
		wg.Go(func() { b.beat(cctx, i) })
	}
	b.injectCold(ctx)
	stop()
	wg.Wait()
	runs := b.runLog.Runs()
	b.checkCold(runs)
	res := Result{Requests: len(c.results), Faults: b.faults, Violations: append(b.violations, checkResults(c.results, runs)...)}
	for _, r := range c.results {
		if r.status == 200 && r.err == nil {
			res.Answered++
		}
	}
	return res, nil
}

// beat writes the entry of upstream i while it is cold and once afterwards, as its heartbeats do.
func (b *coldSoak) beat(ctx context.Context, i int) {
	s := b.servers[i]
	for cold := false; ctx.Err() == nil; sleep(ctx, heartbeat) {
		if now := s.ColdLeft() > 0; now || cold {
			cold = now
			b.putEntry(i)
		}
	}
}

// putEntry writes the entry of upstream i.
func (b *coldSoak) putEntry(i int) {
	if err := b.store.Put("servers", b.servers[i].ID(), b.servers[i].Entry(b.upstreamProxies[i].addr(), b.zone(i), "ready")); err != nil {
		b.addViolation("soak", b.servers[i].ID(), "%v", err)
	}
}

// watchStalls records when this process, and with it the upstreams, stood still.
func (b *coldSoak) watchStalls(ctx context.Context) {
	const period = 10 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, period)
		now := time.Now()
		if now.Sub(last) > stallTime {
			b.mu.Lock()
			b.stalls = append(b.stalls, span{from: last, until: now})
			b.mu.Unlock()
		}
		last = now
	}
}

// turnCold makes upstream i cold, by a new start or without one.
func (b *coldSoak) turnCold(i int, restart, checked bool) {
	const d = time.Duration(stand.ColdStartS * float64(time.Second))
	s := b.servers[i]
	if restart {
		s.Restart()
		b.upstreamProxies[i].reset()
	}
	s.SetCold(d)
	b.putEntry(i)
	if now := time.Now(); checked {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cold = append(b.cold, span{s.ID(), now.Add(coldLearnTime), now.Add(d)})
	}
}

// injectCold starts random faults until the length of the soak is over, and waits for their ends.
func (b *coldSoak) injectCold(ctx context.Context) {
	r := rand.New(rand.NewPCG(b.opt.Seed, 1<<33))
	begin := time.Now()
	sleep(ctx, warmUp)
	var wg sync.WaitGroup
	var lifecycle [nodeCount]sync.Mutex
	var evacuation sync.Mutex
	var outage sync.RWMutex
	for time.Since(begin) < b.opt.Length && ctx.Err() == nil {
		i, up, f, d := r.IntN(nodeCount), r.IntN(serverCount), r.IntN(8), time.Duration(r.Int64N(int64(maxColdFault)))
		names := []string{"cold", "cold start", "data centre returns", "evacuation", "kill", "pause", "store link", "store refuses"}
		b.faults = append(b.faults, fmt.Sprintf("%v %s node %d upstream %d for %v", time.Since(begin).Round(time.Millisecond), names[f], i, up, d))
		wg.Go(func() {
			switch names[f] {
			case "cold", "cold start":
				checked := outage.TryRLock() // an upstream that turns cold during an outage is found by health checks, later
				b.turnCold(up, f == 1, checked)
				if checked {
					sleep(ctx, coldLearnTime)
					outage.RUnlock()
				}
			case "data centre returns", "evacuation":
				if !evacuation.TryLock() {
					return
				}
				defer evacuation.Unlock()
				outage.RLock() // a store that refuses all calls acknowledges none
				b.putEvacuation()
				from := time.Now().Add(evacLimit)
				sleep(ctx, coldLearnTime)
				outage.RUnlock()
				b.evacuate(ctx, from, d+evacLimit, f == 2)
			case "kill":
				lifecycle[i].Lock()
				defer lifecycle[i].Unlock()
				b.nodes[i].kill()
				sleep(ctx, d/2)
				b.restart(b.nodes[i])
			case "pause":
				lifecycle[i].Lock()
				defer lifecycle[i].Unlock()
				b.nodes[i].signal(syscall.SIGSTOP)
				sleep(ctx, d)
				b.nodes[i].signal(syscall.SIGCONT)
			case "store link":
				b.nodes[i].storeProxy.set(proxyFault(up%int(proxyFaultCount-1)) + 1)
				sleep(ctx, d)
				b.nodes[i].storeProxy.set(passThrough)
				b.nodes[i].storeProxy.reset()
			case "store refuses":
				outage.Lock()
				defer outage.Unlock()
				b.store.SetFaults(stand.Faults{Unavailable: true})
				sleep(ctx, d)
				b.store.SetFaults(stand.Faults{})
			}
		})
		sleep(ctx, time.Duration(r.Int64N(int64(maxColdInterval))))
	}
	wg.Wait()
}

// evacuated is the data centre that is evacuated.
const evacuated = "y"

// putEvacuation writes the evacuation of the data centre.
func (b *coldSoak) putEvacuation() {
	if err := b.store.Put("evacuations", evacuated, map[string]any{}); err != nil {
		b.addViolation("soak", evacuated, "%v", err)
	}
}

// evacuate ends the evacuation after a time. It must be obeyed from the time from. The
// upstreams of the data centre are cold when it returns if cold is set.
func (b *coldSoak) evacuate(ctx context.Context, from time.Time, d time.Duration, cold bool) {
	sleep(ctx, d)
	if cold {
		for i := range b.servers {
			if b.zone(i) == evacuated {
				b.turnCold(i, true, false)
			}
		}
		sleep(ctx, coldLearnTime)
	}
	until := time.Now()
	b.store.Remove("evacuations", evacuated)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evac = append(b.evac, span{evacuated, from, until})
}

// checkCold checks the runs at cold upstreams and in evacuated data centres.
func (b *coldSoak) checkCold(runs []stand.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	zones := make(map[string]string)
	for i, s := range b.servers {
		zones[s.ID()] = b.zone(i)
	}
	b.violations = append(b.violations, coldViolations(runs, zones, b.cold, b.evac, b.stalls)...)
}

// coldViolations returns the seconds in which a cold upstream began more requests than allowed,
// and the runs in evacuated data centres. A second in which the upstreams stood still is left
// out, since what was sent over some time may begin at once after it.
func coldViolations(runs []stand.Run, zones map[string]string, cold, evac, stalls []span) []Violation {
	const limit = stand.ColdPerS*stand.ColdOver + stand.ColdSlack
	var out []Violation
	stalled := func(from, until time.Time) bool {
		return slices.ContainsFunc(stalls, func(s span) bool { return s.from.Before(until) && s.until.After(from) })
	}
	for _, c := range cold {
		var at []time.Time
		for _, r := range runs {
			if r.Server == c.what && r.Began.After(c.from) && r.Began.Before(c.until) {
				at = append(at, r.Began)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			n := 0
			for n < len(at)-i && at[i+n].Sub(at[i]) < time.Second {
				n++
			}
			if n > limit && !stalled(at[i].Add(-time.Second), at[i+n-1]) {
				out = append(out, Violation{"cold", c.what, fmt.Sprintf("%d requests in a second from %s, %d are allowed", n, at[i].Format("05.000"), int(limit))})
				break
			}
		}
	}
	for _, e := range evac {
		for _, r := range runs {
			if zones[r.Server] == e.what && r.Began.After(e.from) && r.Began.Before(e.until) && !stalled(r.Began.Add(-time.Second), r.Began) {
				out = append(out, Violation{"evacuated", r.ID, fmt.Sprintf("began at %s %v after the limit", r.Server, r.Began.Sub(e.from))})
			}
		}
	}
	return out
}
