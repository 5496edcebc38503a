package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// Numbers of nodes, upstreams and callers, and timing of the faults.
const (
	nodeCount        = 4
	serverCount      = 4 // upstreams
	callerCount      = 12
	warmUp           = 1500 * time.Millisecond // time before the first fault
	maxFaultInterval = 500 * time.Millisecond  // maximum time between the starts of two faults
	maxFaultDuration = 2500 * time.Millisecond
	configLimit      = 12 * time.Second // time after the last fault within which the last configuration is in force
)

// Options are the parameters of a soak.
type Options struct {
	Binary string        // path of the program vaned
	Dir    string        // folder for settings and logs of the nodes, created if missing
	Seed   uint64        // determines the sequence of faults
	Length time.Duration // time from the start of the soak after which no further faults start

	// Crashes adds crashes of upstreams, killed and paused nodes, and more kinds of requests
	// and responses to RunStops.
	Crashes bool
}

// Result is the outcome of a soak.
type Result struct {
	Requests, Answered int      // requests sent, and those with status 200 whose body was read without an error
	Faults             []string // descriptions of the injected faults
	Stops              int      // planned stops of [RunStops]
	Crashes            int      // crashes of upstreams in [RunStops]
	Violations         []Violation
}

// testbed is the environment of a soak: fakes of the store and the upstreams, proxies
// and nodes.
type testbed struct {
	opt             Options
	store           *stand.Store
	runLog          *stand.RunLog
	servers         []*stand.Server
	upstreamProxies []*proxy         // not with Options.Crashes
	processes       []*stand.Process // of the upstreams, with Options.Crashes only
	nodes           []*node
	close           []func() // called by shutDown
	cold            bool     // upstreams start cold, and data centres are evacuated

	mu             sync.Mutex
	faults         []string
	violations     []Violation
	incidents      []incident
	configVersion  int
	weightsVersion uint64
}

// Run runs one soak. It returns an error if the environment can't be started; failed checks
// are in the result's Violations.
func Run(ctx context.Context, opt Options) (Result, error) {
	b := &testbed{opt: opt, store: stand.NewStore(), runLog: &stand.RunLog{}, configVersion: 1, weightsVersion: 1}
	defer b.shutDown()
	if err := b.startAll(); err != nil {
		return Result{}, err
	}
	c := &callers{nodes: b.nodes}
	cctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { c.run(cctx, i, rand.New(rand.NewPCG(opt.Seed, uint64(i)))) })
	}
	b.injectFaults(ctx)
	stop()
	wg.Wait()
	b.checkConfig(ctx)
	for _, n := range b.nodes {
		if err := n.stop(); err != nil {
			b.addViolation("planned stop", n.name, "process ended with %v", err)
		}
	}
	res := Result{Requests: len(c.results), Faults: b.faults, Violations: append(b.violations, checkResults(c.results, b.runLog.Runs())...)}
	for _, r := range c.results {
		if r.status == http.StatusOK && r.err == nil {
			res.Answered++
		}
	}
	return res, nil
}

// startAll starts the fakes, the proxies and the nodes.
func (b *testbed) startAll() error {
	addr, err := b.serve(b.store)
	if err != nil {
		return err
	}
	if err := b.store.Put("config", "main", b.config()); err != nil {
		return err
	}
	for i := range serverCount {
		if err := b.startUpstream(i); err != nil {
			return err
		}
	}
	for i := range nodeCount {
		settings := stand.Settings
		if b.cold {
			settings = stand.ColdSettings
		}
		n, err := newNode(i, b.opt.Binary, b.opt.Dir, addr, settings)
		if err != nil {
			return err
		}
		b.close = append(b.close, n.storeProxy.close)
		if err := n.start(); err != nil {
			return err
		}
		b.nodes = append(b.nodes, n)
		if err := n.awaitListening(); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts upstream i and writes its entry: as a process that can crash with
// Options.Crashes, else behind a proxy.
func (b *testbed) startUpstream(i int) error {
	s := stand.NewServer(fmt.Sprintf("i-%d", i), b.runLog)
	b.servers = append(b.servers, s)
	if b.opt.Crashes {
		return b.startProcess(s)
	}
	at, err := b.serve(s)
	if err != nil {
		return err
	}
	p, err := newProxy(at)
	if err != nil {
		return err
	}
	b.upstreamProxies, b.close = append(b.upstreamProxies, p), append(b.close, p.close)
	return b.store.Put("servers", s.ID(), s.Entry(p.addr(), b.zone(i), "ready"))
}

// serve serves a fake on the loopback interface and returns its address.
func (b *testbed) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	// Serve returns an error when the server is closed.
	go func() { _ = srv.Serve(ln) }()
	b.close = append(b.close, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

// shutDown kills the nodes that still run and closes proxies and fakes.
func (b *testbed) shutDown() {
	for _, n := range b.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, f := range b.close {
		f()
	}
}

// addViolation records a failed check.
func (b *testbed) addViolation(check, what, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{Check: check, Request: what, Detail: fmt.Sprintf(format, args...)})
}

// injectFaults starts random faults until the length of the soak is over or ctx ends, and
// waits for the end of all faults.
func (b *testbed) injectFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(b.opt.Seed, 1<<32))
	begin := time.Now()
	sleep(ctx, warmUp)
	var wg sync.WaitGroup
	lifecycle := make([]sync.Mutex, nodeCount) // one for each node, held by faults that stop or signal it
	for time.Since(begin) < b.opt.Length && ctx.Err() == nil {
		i, up, f := r.IntN(nodeCount), r.IntN(serverCount), r.IntN(len(faultSpecs))
		d := time.Duration(r.Int64N(int64(maxFaultDuration)))
		b.mu.Lock()
		b.faults = append(b.faults, fmt.Sprintf("%v %s node %d upstream %d for %v", time.Since(begin).Round(time.Millisecond), faultSpecs[f].name, i, up, d))
		b.mu.Unlock()
		wg.Go(func() { faultSpecs[f].inject(ctx, b, &lifecycle[i], b.nodes[i], up, d) })
		sleep(ctx, time.Duration(r.Int64N(int64(maxFaultInterval))))
	}
	wg.Wait()
}

// sleep pauses for d, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
