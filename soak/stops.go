package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// Times of the rule on planned stops, as in stand.Settings.
const (
	gracePeriod  = 8 * time.Second
	lossSlack    = 200 * time.Millisecond // a connection that ends later than this after a request was read in vain
	earlyRequest = 3 * time.Second        // requests sent up to this long after the signal may be cut in the last sixth of the grace period
	maxStopPause = 2 * time.Second        // longest time between the starts of two stops
)

// plannedStop is one stop of a node.
type plannedStop struct {
	node        int
	term, ended time.Time
}

// RunStops stops and restarts the nodes with SIGTERM, in series that overlap, sends SIGHUP
// and changes the configuration, while callers go on using their connections. It checks that
// no request is lost. Nothing but this planned work is injected, unless opt.Crashes is set.
func RunStops(ctx context.Context, opt Options) (Result, error) {
	b := &testbed{opt: opt, store: stand.NewStore(), runLog: &stand.RunLog{}, configVersion: 1, weightsVersion: 1}
	defer b.shutDown()
	if err := b.startAll(); err != nil {
		return Result{}, err
	}
	sleep(ctx, warmUp)
	cctx, stop := context.WithCancel(ctx)
	var mu sync.Mutex
	var results []keptResult
	var wg sync.WaitGroup
	for i := range nodeCount {
		for n := range keptPerNode {
			wg.Go(func() {
				b.keepConn(cctx, i, n, rand.New(rand.NewPCG(opt.Seed, uint64(i*keptPerNode+n))), func(r keptResult) {
					mu.Lock()
					defer mu.Unlock()
					results = append(results, r)
				})
			})
		}
	}
	lifecycle := make([]sync.Mutex, nodeCount) // one for each node, held by what stops or signals it
	var faults sync.WaitGroup
	fctx, stopFaults := context.WithCancel(ctx)
	if opt.Crashes {
		faults.Go(func() { b.crashUpstreams(fctx, lifecycle) })
	}
	stops := b.stopNodes(ctx, lifecycle)
	stopFaults()
	faults.Wait()
	stop()
	wg.Wait()
	res := Result{Requests: len(results), Stops: len(stops), Crashes: b.crashes()}
	plain := make([]result, len(results))
	for i, r := range results {
		plain[i] = r.result
		if r.status == 200 && r.whole {
			res.Answered++
		}
	}
	runs := b.runLog.Runs()
	found := append(checkResults(plain, runs), checkStops(results, runs, stops, b.incidents)...)
	res.Violations = append(b.violations, withIncidents(found, results, runs, b.incidents)...)
	return res, nil
}

// stopNodes stops nodes one after the other until the length of the soak is over. A stop
// begins while earlier ones go on; at least one node is left.
func (b *testbed) stopNodes(ctx context.Context, lifecycle []sync.Mutex) []plannedStop {
	r := rand.New(rand.NewPCG(b.opt.Seed, 1<<32))
	begin := time.Now()
	var mu sync.Mutex
	var stops []plannedStop
	var wg sync.WaitGroup
	slots := make(chan struct{}, nodeCount-1) // stops at a time
	for time.Since(begin) < b.opt.Length && ctx.Err() == nil {
		i := r.IntN(nodeCount)
		pause := time.Duration(r.Int64N(int64(maxStopPause)))
		b.configure()
		j := r.IntN(nodeCount)
		b.reload(&lifecycle[j], j)
		end := nodeEnd{}
		if b.opt.Crashes {
			end = drawNodeEnd(r)
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			lifecycle[i].Lock()
			defer lifecycle[i].Unlock()
			if s, ok := b.endNode(ctx, i, end); ok {
				mu.Lock()
				stops = append(stops, s)
				mu.Unlock()
			}
			sleep(ctx, pause/4)
			b.restart(b.nodes[i])
			sleep(ctx, warmUp)
		})
		sleep(ctx, pause)
	}
	wg.Wait()
	return stops
}

// reload sends SIGHUP to node i unless it is stopped or being started, which lifecycle tells.
func (b *testbed) reload(lifecycle *sync.Mutex, i int) {
	if lifecycle.TryLock() {
		defer lifecycle.Unlock()
		b.nodes[i].signal(syscall.SIGHUP)
	}
}

// checkStops finds the requests that planned work lost: a node had read the whole request,
// and the connection ended without a complete response, during a stop of the node or not.
// Requests that were broken off by their upstream, or in flight during an incident of their
// node, or soon after one of their upstream that nodes can't know of, do not count.
func checkStops(results []keptResult, runs []stand.Run, stops []plannedStop, incidents []incident) []Violation {
	byID := make(map[string][]stand.Run, len(results))
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	var out []Violation
	for _, r := range results {
		took := r.ended.Sub(r.sent)
		if r.whole || took >= r.limit {
			continue
		}
		ran := byID[r.id]
		if len(ran) == 0 && took <= lossSlack {
			continue // the node closed the connection before it read the request
		}
		if len(ran) > 0 && ran[len(ran)-1].BrokenOff || slices.ContainsFunc(incidents, func(x incident) bool { return x.concernsNode(r) || x.hidesStart(r, ran) }) {
			continue
		}
		during := "no stop"
		excused := false
		for _, s := range stops {
			if s.node != r.node || r.ended.Before(s.term) || r.sent.After(s.ended) {
				continue
			}
			during = "stop of node " + nodeName(r.node) + " at " + s.term.Format("05.000")
			lastSixth := s.term.Add(gracePeriod * 5 / 6)
			if len(ran) > 0 && r.sent.Before(s.term.Add(earlyRequest)) && r.ended.After(lastSixth) && !ran[len(ran)-1].Ended.Before(lastSixth) {
				excused = true // the upstream still worked on it near the end of the grace period
			}
		}
		if !excused {
			out = append(out, Violation{Check: "lost", Request: r.id, Detail: during + ": " + r.String() + ", " + describeRuns(ran)})
		}
	}
	return out
}

// describeRuns says where a request ran.
func describeRuns(runs []stand.Run) string {
	if len(runs) == 0 {
		return "did not reach an upstream"
	}
	x := runs[len(runs)-1]
	ended := "still running"
	if !x.Ended.IsZero() {
		ended = "ended " + x.Ended.Format("05.000")
	}
	return "ran " + strconv.Itoa(len(runs)) + " times, last at " + x.Server + ", began " + x.Began.Format("05.000") + ", " + ended
}
