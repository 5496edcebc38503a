package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/front"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/kernel"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/store"
)

// Sizes and times of a node.
const (
	watchWait    = 2 * time.Second  // a watch that fell silent is noticed soon after it
	startTimeout = 10 * time.Second // for the listeners
	stopTimeout  = 150 * time.Millisecond
	smallGather  = 150 * time.Millisecond // changes of upstreams within it come in one batch, in a small site
	largeGather  = 800 * time.Millisecond // the same in a large site, where many engines change at a time
	lateGather   = 4 * time.Second        // the same for nodes that learn of changes from others first
	tickPeriod   = 100 * time.Millisecond
	silentLimit  = 1200 * time.Millisecond // an upstream that keeps requests waiting for so long is set aside
	drainMargin  = 450 * time.Millisecond  // of the grace, to end the process
	leaseKind    = "vane-leases"
)

// Directory encodes the answers about where to connect.
type Directory interface {
	Path() string
	ReadyPath() string
	Zone(r *http.Request) string
	Answer(addrs []string, ttl time.Duration) any
}

// Adapter is everything that knows the platform's names and formats.
type Adapter struct {
	Protocol  store.Protocol
	Decoder   mirror.Decoder
	Dialect   vane.Dialect
	Control   vane.EngineControl
	Directory Directory
}

// Node is one entry node for routed traffic.
type Node struct {
	set     Settings
	ad      Adapter
	log     *slog.Logger
	reg     *prometheus.Registry
	kernel  *kernel.Kernel
	boot    uint64
	st      *store.Client
	mirror  *mirror.Service
	mesh    *mesh.Mesh
	placer  *sched.Placer
	pool    *conns.Pool
	cache   *cacheWatch
	quota   *limiter
	crash   *crash.Registry
	keeper  *lease.Keeper
	loader  *loader
	handler *front.Handler
	notes   *notes

	mu      sync.Mutex
	retries map[string]*retry.Window
	leaving bool
	left    time.Time // when it began to leave
	peers   int
}

// New assembles a node. It opens no socket.
func New(set Settings, ad Adapter, log *slog.Logger) (*Node, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		set: set, ad: ad, log: log, reg: prometheus.NewRegistry(), kernel: kernel.New(), boot: uint64(time.Now().UnixMilli()),
		pool: conns.NewPool(), retries: make(map[string]*retry.Window), notes: newNotes(),
	}
	n.st = store.New("http://"+set.Store, store.WithProtocol(ad.Protocol), store.WithWatchWait(watchWait), store.WithMetrics(store.NewMetrics(n.reg)))
	n.cache = newCacheWatch(ad.Control, log, func() bool { return n.mesh.IsPromptWatcher() })
	n.placer = sched.New(set.DataCentre, n.cache, sched.WithWeightsLimit(set.WeightsLimit))
	n.quota = newLimiter(func() { n.mesh.SendSoon() })
	n.mirror = mirror.NewService(n.st, ad.Decoder, mirror.WithLogger(log), mirror.WithChangeFunc(n.changed), mirror.WithWatchPolicy(n.pace))
	n.mesh = mesh.New(n.record(), mesh.Deps{
		Compose: n.compose, Receive: n.receive, Versions: n.mirror.Versions, Export: n.mirror.Export, Import: n.mirror.Import, Log: log,
	})
	n.crash = crash.NewRegistry(recorder{log}, crash.WithShare(n.notes.addCrash, func(crash.Name) {}))
	n.loader = newLoader(n)
	n.keeper = lease.NewKeeper(n.st, recorder{log}, lease.Config{
		Prefix: leaseKind, Node: set.Node, Boot: clock.Suspended().String(), Shards: 1, Clock: clock.Suspended,
		Times: lease.Times{Lease: leaseTime, Renew: renewTime, Poll: pollTime, Drift: 0.01}, Wanted: func(int) bool { return n.wantsLease() },
		OnTake: n.loader.took, OnLapse: func(int, time.Time) {}, OnLose: func(int) {}, OnDone: func(int, []byte) {},
		Data: func(int, lease.Purpose, json.RawMessage) json.RawMessage { return nil },
	})
	n.handler = front.New(front.Deps{
		View: n.mirror.View, Dialect: ad.Dialect, Placer: n.placer, Pool: n.pool, Quota: n.quota, Crashes: n.crash,
		RetryBudget: n.window, Draining: n.isLeaving, RefuseStreams: n.isClosing, WeightsChanged: n.learned, UpstreamMismatch: n.loader.check, UpstreamFailed: n.failed, Log: log, Metrics: front.NewMetrics(n.reg),
	})
	return n, n.register()
}

// register adds the services to the kernel.
func (n *Node) register() error {
	for _, s := range []struct {
		name string
		svc  kernel.Service
	}{
		{"mirror", n.mirror}, {"mesh", n.mesh}, {"cache", n.cache}, {"lease", n.keeper}, {"loader", n.loader},
		{"join", serviceFunc(n.join)}, {"watch", serviceFunc(n.watch)},
	} {
		if err := n.kernel.Add(s.name, s.svc); err != nil {
			return err
		}
	}
	return nil
}

// serviceFunc is a function that is a service.
type serviceFunc func(ctx context.Context, ready func()) error

// Run implements kernel.Service.
func (f serviceFunc) Run(ctx context.Context, ready func()) error { return f(ctx, ready) }

// record returns how the node makes itself known.
func (n *Node) record() vane.PeerRecord {
	return vane.PeerRecord{Name: n.set.Node, Mesh: n.set.mesh(), Callers: n.set.Callers, DataCentre: n.set.DataCentre, Boot: n.boot, LinkMbps: n.set.LinkMbps}
}

// Run serves until ctx ends, and then until callers were sent elsewhere.
func (n *Node) Run(ctx context.Context) error {
	sctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.kernel.Start(sctx); err != nil {
		return err
	}
	callers := newWeb(n.set.Callers, n.handler)
	others := []*web{
		newWeb(n.set.Ready, http.HandlerFunc(n.serveReady)),
		newWeb(n.set.Directory, http.HandlerFunc(n.serveDirectory)),
	}
	if n.set.MetricsPort > 0 {
		others = append(others, newWeb(metricsAddr(n.set), promhttp.HandlerFor(n.reg, promhttp.HandlerOpts{})))
	}
	for _, w := range append(others, callers) {
		if err := w.start(); err != nil {
			return err
		}
	}
	n.log.Info("started", "boot", n.boot, "callers", n.set.Callers, "data_centre", n.set.DataCentre)
	select {
	case <-ctx.Done():
	case err := <-n.kernel.Failed():
		return err
	}
	n.drain(callers)
	end, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	err := n.kernel.Stop(end)
	n.pool.Close()
	n.log.Info("stopped")
	return err
}

// drain sends callers elsewhere, and serves until their directory answers have run
// out and the requests in flight have ended.
func (n *Node) drain(callers *web) {
	begin := time.Now()
	n.mu.Lock()
	n.leaving, n.left = true, begin
	n.mu.Unlock()
	n.mesh.SendNow()
	n.log.Info("draining", "in_flight", n.handler.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), n.set.Grace-drainMargin)
	defer cancel()
	go n.keeper.Release(ctx)
	go n.leave(ctx)
	clock.Sleep(ctx, 3*n.set.ttl()+tickPeriod)
	callers.quiet()
	for n.handler.InFlight() > 0 && clock.Sleep(ctx, tickPeriod/4) {
	}
	n.log.Info("drained", "in_flight", n.handler.InFlight(), "took_ms", time.Since(begin).Milliseconds())
	callers.close()
}

// isLeaving says whether the node is stopping.
func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// isClosing says whether callers have had time to learn that the node is stopping.
// The streams that it still runs have the rest of the grace to end.
func (n *Node) isClosing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving && time.Since(n.left) > 3*n.set.ttl()
}

// pace says how closely this node follows objects in the store.
func (n *Node) pace(prefix string) mirror.WatchPolicy {
	switch {
	case !n.mesh.IsLargeSite():
		return mirror.WatchPolicy{BatchWindow: smallGather}
	case !n.mesh.IsPromptWatcher() || prefix == mirror.NodeStatePrefix:
		return mirror.WatchPolicy{Relaxed: true, BatchWindow: lateGather}
	}
	return mirror.WatchPolicy{BatchWindow: largeGather}
}

// window returns the bound on repeats to a service.
func (n *Node) window(service string) *retry.Window {
	n.mu.Lock()
	defer n.mu.Unlock()
	w, ok := n.retries[service]
	if !ok {
		w = retry.NewWindow(n.set.RetryWindow, retryPart*n.set.RetryShare, n.slack())
		n.retries[service] = w
	}
	return w
}

// retryPart is the part of the allowed repeats that is used: requests and repeats
// of the fleet fall into the window at different times.
const retryPart = 0.75

// slack returns the node's part of the repeats that are allowed beyond the share.
func (n *Node) slack() float64 { return retryPart * n.set.RetrySlack / float64(1+n.peers) }

// changed takes a new view of the store's objects.
func (n *Node) changed(old, v *mirror.View) {
	n.logChanges(old, v)
	n.placer.Update(v)
	n.mesh.SetPeers(v.Peers)
	n.quota.update(v, n.set.Node)
	n.cache.update(v)
	if v.Config != old.Config {
		n.mesh.SendSoon()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	others := len(v.Peers)
	if _, ok := v.Peers[n.set.Node]; ok {
		others--
	}
	n.peers = max(others, 0)
	for _, w := range n.retries {
		w.SetSlack(n.slack())
	}
}

// logChanges writes what changed in the node's picture of the site.
func (n *Node) logChanges(old, v *mirror.View) {
	if v.Config != old.Config && v.Config != nil {
		n.log.Info("configuration in force", "version", v.Config.Version)
	}
	for name, u := range v.Upstreams {
		if o, ok := old.Upstreams[name]; !ok || o != u {
			n.log.Info("upstream", "upstream", name, "addr", u.Addr, "service", u.Service, "state", u.State.String(), "weights", u.Weights, "incarnation", u.Incarnation)
		}
	}
	for name := range old.Upstreams {
		if _, ok := v.Upstreams[name]; !ok {
			n.log.Info("upstream gone", "upstream", name)
		}
	}
	for model, w := range v.Weights {
		if old.Weights[model].Number != w.Number {
			n.log.Info("weights named", "model", model, "weights", w.Number)
		}
	}
}

// learned takes what an answer shows of an upstream's weights. The other nodes learn
// it from the holder of the lease.
func (n *Node) learned(upstream string, weights uint64) { n.placer.RecordWeights(upstream, weights) }

// failed tells the other nodes that an upstream does not answer.
func (n *Node) failed(u vane.Upstream) {
	n.notes.addAside(u.Name)
	n.mesh.SendNow()
}

// watch looks for upstreams that fell silent.
func (n *Node) watch(ctx context.Context, ready func()) error {
	ready()
	for clock.Sleep(ctx, tickPeriod) {
		for _, name := range n.placer.EjectSilent(time.Now(), silentLimit) {
			n.notes.addAside(name)
			n.mesh.SendNow()
			n.log.Warn("upstream set aside", "upstream", name, "cause", "silent", "limit_ms", silentLimit.Milliseconds())
		}
	}
	return nil
}
