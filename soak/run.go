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

// Sizes and times of a soak.
const (
	nodes      = 4
	servers    = 4
	clients    = 12
	lead       = 1500 * time.Millisecond // before the first fault
	faultPause = 500 * time.Millisecond  // between the starts of two faults, at most
	faultTime  = 2500 * time.Millisecond // length of a fault, at most
)

// Options say how a soak is run.
type Options struct {
	Binary string // the program vaned
	Dir    string // for settings and logs
	Seed   uint64
	Length time.Duration
}

// Result is what a soak came to.
type Result struct {
	Requests, Answered int
	Faults             []string
	Violations         []Violation
}

// bed is everything that runs.
type bed struct {
	opt     Options
	store   *stand.Store
	ledger  *stand.RunLog
	servers []*stand.Server
	ups     []*proxy
	nodes   []*node
	close   []func()

	mu         sync.Mutex
	faults     []string
	violations []Violation
	version    int
	weights    uint64
}

// Run plays one soak.
func Run(ctx context.Context, opt Options) (Result, error) {
	b := &bed{opt: opt, store: stand.NewStore(), ledger: &stand.RunLog{}, version: 1, weights: 1}
	defer b.end()
	if err := b.begin(); err != nil {
		return Result{}, err
	}
	c := &callers{nodes: b.nodes}
	cctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { c.run(cctx, i, rand.New(rand.NewPCG(opt.Seed, uint64(i)))) })
	}
	b.play(ctx)
	stop()
	wg.Wait()
	for _, n := range b.nodes {
		if err := n.stop(); err != nil {
			b.violate("planned stop", n.name, "ended with %v", err)
		}
	}
	res := Result{Requests: len(c.results), Faults: b.faults, Violations: append(b.violations, check(c.results, b.ledger.Runs())...)}
	for _, r := range c.results {
		if r.status == http.StatusOK && r.err == nil {
			res.Answered++
		}
	}
	return res, nil
}

// begin starts the stand-ins and the nodes.
func (b *bed) begin() error {
	addr, err := b.serve(b.store)
	if err != nil {
		return err
	}
	if err := b.store.Put("config", "main", stand.Config(b.version)); err != nil {
		return err
	}
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		s := stand.NewServer(id, b.ledger)
		at, err := b.serve(s)
		if err != nil {
			return err
		}
		p, err := newProxy(at)
		if err != nil {
			return err
		}
		b.servers, b.ups, b.close = append(b.servers, s), append(b.ups, p), append(b.close, p.close)
		if err := b.store.Put("servers", id, s.Entry(p.addr(), "z", "ready")); err != nil {
			return err
		}
	}
	for i := range nodes {
		n, err := newNode(i, b.opt.Binary, b.opt.Dir, addr)
		if err != nil {
			return err
		}
		b.close = append(b.close, n.store.close)
		if err := n.start(); err != nil {
			return err
		}
		b.nodes = append(b.nodes, n)
		if err := n.await(); err != nil {
			return err
		}
	}
	return nil
}

// serve opens a listener for a stand-in.
func (b *bed) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	// Serve ends when the server is closed.
	go func() { _ = srv.Serve(ln) }()
	b.close = append(b.close, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

// end ends what still runs.
func (b *bed) end() {
	for _, n := range b.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, f := range b.close {
		f()
	}
}

// violate records a broken promise.
func (b *bed) violate(check, what, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{Check: check, Request: what, Detail: fmt.Sprintf(format, args...)})
}

// play injects faults until the soak's length is over, and waits for the last.
func (b *bed) play(ctx context.Context) {
	r := rand.New(rand.NewPCG(b.opt.Seed, 1<<32))
	begin := time.Now()
	sleep(ctx, lead)
	var wg sync.WaitGroup
	busy := make([]sync.Mutex, nodes) // one life-cycle fault of a node at a time
	for time.Since(begin) < b.opt.Length && ctx.Err() == nil {
		i, up, f := r.IntN(nodes), r.IntN(servers), r.IntN(len(catalogue))
		d := time.Duration(r.Int64N(int64(faultTime)))
		b.mu.Lock()
		b.faults = append(b.faults, fmt.Sprintf("%v %s node %d upstream %d for %v", time.Since(begin).Round(time.Millisecond), catalogue[f].name, i, up, d))
		b.mu.Unlock()
		wg.Go(func() { catalogue[f].play(ctx, b, &busy[i], b.nodes[i], up, d) })
		sleep(ctx, time.Duration(r.Int64N(int64(faultPause))))
	}
	wg.Wait()
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
