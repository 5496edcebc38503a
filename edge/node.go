package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
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
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/retry"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/store"
)

// Durations of a node.
const (
	watchTimeout   = 2 * time.Second         // the store answers a watch call within this time, also without a change
	startTimeout   = 10 * time.Second        // limit for starting the services
	stopTimeout    = 150 * time.Millisecond  // limit for stopping the services
	smallSiteBatch = 150 * time.Millisecond  // changes of upstreams within this time are applied in one batch, in a small site
	largeSiteBatch = 800 * time.Millisecond  // the same in a large site, where many engines change at a time
	largeSiteWait  = 6 * time.Second         // how long the store holds a watch of a large site; a lost connection shows earlier by its probes
	relaxedBatch   = 4 * time.Second         // the same for nodes of a large site that learn of changes from other nodes first
	tickPeriod     = 100 * time.Millisecond  // period of the checks for silent upstreams, and of the waits while draining
	silentTimeout  = 1200 * time.Millisecond // an upstream that keeps requests waiting for this long is checked, or set aside

	silentCheckTimeout = 400 * time.Millisecond // a running engine answers a check within milliseconds; connecting may need a second packet
	leasePrefix        = "vane-leases"          // key prefix of the leases in the store
)

// Directory encodes the answers to callers that ask which nodes to use.
type Directory interface {
	// Path returns the URL path of the directory.
	Path() string
	// ReadyPath returns the URL path of the readiness check.
	ReadyPath() string
	// Zone returns the data centre of the caller, or "" if it is not known.
	Zone(r *http.Request) string
	// Answer returns the body of a directory answer, to be encoded as JSON.
	Answer(addrs []string, ttl time.Duration) any
}

// StatusEncoder encodes the recorded states of roll-outs.
type StatusEncoder interface {
	EncodeRolloutStatus(r vane.Rollout) ([]byte, error)
}

// Adapter groups everything that depends on the platform's names and formats.
type Adapter struct {
	Protocol  store.Protocol
	Decoder   mirror.Decoder
	Dialect   vane.Dialect
	Control   vane.EngineControl
	Directory Directory
	Rollouts  StatusEncoder
}

// Node is an entry node for routed traffic. Its methods are safe for concurrent use.
type Node struct {
	settings       Settings
	adapter        Adapter
	log            *slog.Logger
	registry       *prometheus.Registry
	kernel         *kernel.Kernel
	startedAt      time.Time // time of New as a reading of clock.BootTime
	storeClient    *store.Client
	mirror         *mirror.Service
	mesh           *mesh.Mesh
	placer         *sched.Placer
	pool           *conns.Pool
	limits         memory.Limits
	memory         *memory.Budget
	cache          *cacheWatcher
	quota          *limiter
	crash          *crash.Registry
	parts          *crash.Parts
	leases         *lease.Manager
	loader         *loader
	rollouts       *rollouts
	coldStarts     *coldStarts
	handler        *front.Handler
	pendingUpdates *pendingUpdates
	rejoin         chan struct{} // requests that the node's record is written again; holds one request

	mu           sync.Mutex
	retries      map[string]*retry.Window // by service
	leaving      bool
	leavingSince time.Time // zero until the node starts to leave
	peerCount    int       // number of other nodes with a record in the store
}

// New assembles a node. It opens no socket. The error is that of [Settings.Check], or
// of registering a service.
func New(settings Settings, adapter Adapter, log *slog.Logger) (*Node, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		settings: settings, adapter: adapter, log: log, registry: prometheus.NewRegistry(), kernel: kernel.New(), startedAt: clock.BootTime(),
		limits: settings.limits(), retries: make(map[string]*retry.Window), pendingUpdates: newPendingUpdates(), rejoin: make(chan struct{}, 1),
	}
	n.pool = conns.NewPool(conns.WithMaxIdle(n.limits.IdleUpstreams))
	n.memory = memory.New(n.limits.Capacity, memory.WithMetrics(n.registry), memory.WithLog(log.Warn))
	n.storeClient = store.New("http://"+settings.StoreAddr, store.WithProtocol(adapter.Protocol), store.WithWatchWait(watchTimeout), store.WithMetrics(store.NewMetrics(n.registry)),
		store.WithRestoreFunc(n.handleRestore))
	n.cache = newCacheWatcher(adapter.Control, log, func() bool { return n.mesh.IsPromptWatcher() })
	n.coldStarts = newColdStarts(n)
	n.placer = sched.New(settings.DataCentre, n.cache, sched.WithWeightsLimit(settings.WeightsLimit), sched.WithColdLimiter(n.coldStarts), sched.WithRegions(settings.Regions), sched.WithStallLimit(settings.EvacuationLimit/2), sched.WithMetrics(sched.NewMetrics(n.registry)))
	n.quota = newLimiter(settings.Node, settings.LinkMbps, func() { n.mesh.SendSoon() }, n.registry, log)
	opts := []mirror.Option{mirror.WithLogger(log), mirror.WithChangeFunc(n.handleViewChange), mirror.WithWatchPolicy(n.watchPolicy), mirror.WithMalformedFunc(malformedCounter(n.registry).Inc),
		mirror.WithWallOffset(func() (time.Duration, bool) { return n.mesh.WallOffset() })}
	evacuations, ok := adapter.Decoder.(mirror.EvacuationDecoder)
	followsEvacuations := ok && settings.EvacuationLimit > 0
	if followsEvacuations {
		opts = append(opts, mirror.WithEvacuations(evacuations))
	}
	n.mirror = mirror.NewService(n.storeClient, adapter.Decoder, opts...)
	n.mesh = mesh.New(n.record(uint64(time.Now().UnixMilli())), mesh.Deps{
		Compose: n.compose, Receive: n.receive, Versions: n.mirror.Versions, Export: n.mirror.Export, Import: n.mirror.Import, Answer: n.quota.answer, Log: log,
		Evacuations: followsEvacuations,
	})
	n.quota.ask, n.quota.nodes, n.quota.leaving = n.mesh.Ask, n.mesh.Peers, n.isLeaving
	n.crash = crash.NewRegistry(recorder{log}, crash.WithBroadcast(n.pendingUpdates.addCrash, func(crash.RequestKey) {}))
	n.parts = crash.NewParts(crash.PartsConfig{
		BroadcastCrash: func(c crash.PartCrash) { n.pendingUpdates.addPartCrash(c); n.mesh.SendSoon() }, BroadcastClear: n.pendingUpdates.addPartClear,
		BroadcastConviction: func(c crash.Conviction) { n.pendingUpdates.addConviction(c); n.mesh.SendNow() }, Log: log,
	})
	n.loader = newLoader(n)
	n.rollouts = newRollouts(n)
	n.leases = lease.NewManager(n.storeClient, recorder{log}, lease.Config{
		Prefix: leasePrefix, Node: settings.Node, Boot: clock.BootTime().String(), Shards: 1, Clock: clock.BootTime,
		Times: lease.Times{Lease: leaseDuration, Renew: renewInterval, Poll: pollInterval, Drift: 0.01}, Wanted: func(int) bool { return n.wantsLease() },
		OnAcquire: n.loader.handleAcquired, OnExpire: func(int, time.Time) {}, OnLose: func(int) {}, OnWritten: func(int, []byte) {},
		Data: func(int, lease.Purpose, json.RawMessage) json.RawMessage { return n.loader.leaseData() },
	})
	n.handler = front.New(front.Deps{
		View: n.mirror.View, Dialect: adapter.Dialect, Placer: n.placer, Pool: n.pool, Quota: n.quota, Crashes: n.crash, Parts: n.parts,
		RetryBudget: n.retryWindow, Draining: n.isLeaving, Closing: n.closing, WeightsChanged: n.recordWeights, UpstreamMismatch: n.loader.checkWeights, UpstreamFailed: n.reportUnresponsive, UpstreamLeaving: n.reportLeaving, Process: n.processOf, UpstreamLoad: n.adapter.Control.Load, RecordResult: n.rollouts.Record, Memory: n.memory, Log: log, Metrics: front.NewMetrics(n.registry),
	})
	return n, n.register()
}

// malformedCounter registers and returns the counter of malformed objects.
func malformedCounter(r prometheus.Registerer) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: "vane_store_malformed_objects_total", Help: "Objects of the store that were found malformed and ignored, by version."})
	r.MustRegister(c)
	return c
}

// register adds the services to the kernel.
func (n *Node) register() error {
	for _, s := range []struct {
		name string
		svc  kernel.Service
	}{
		{"mirror", n.mirror}, {"mesh", n.mesh}, {"cache", n.cache}, {"lease", n.leases}, {"loader", n.loader}, {"rollouts", n.rollouts},
		{"join", serviceFunc(n.maintainRecord)}, {"watch", serviceFunc(n.watchSilentUpstreams)},
	} {
		if err := n.kernel.Add(s.name, s.svc); err != nil {
			return err
		}
	}
	return nil
}

// serviceFunc adapts a function to kernel.Service.
type serviceFunc func(ctx context.Context, ready func()) error

// Run implements kernel.Service.
func (f serviceFunc) Run(ctx context.Context, ready func()) error { return f(ctx, ready) }

// record returns the record under which the start of the node with the boot number registers in
// the store.
func (n *Node) record(boot uint64) vane.PeerRecord {
	return vane.PeerRecord{Name: n.settings.Node, Mesh: n.settings.mesh(), Callers: n.settings.CallerAddr, DataCentre: n.settings.DataCentre, Boot: boot, LinkMbps: n.settings.LinkMbps}
}

// Run serves until ctx ends, and then drains: it returns once callers have been sent to
// other nodes, or the grace period is nearly over. It returns an error if a service or
// a listener fails. It may be called once.
func (n *Node) Run(ctx context.Context) error {
	sctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.kernel.Start(sctx); err != nil {
		return err
	}
	mctx, endMemory := context.WithCancel(context.Background())
	defer endMemory()
	go n.memory.Run(mctx)
	callers := newListener("callers", n.settings.CallerAddr, n.handler, n.memory, n.limits.Connections)
	others := []*httpListener{
		newListener("ready", n.settings.ReadyAddr, http.HandlerFunc(n.serveReady), n.memory, n.limits.Auxiliary),
		newListener("directory", n.settings.DirectoryAddr, http.HandlerFunc(n.serveDirectory), n.memory, n.limits.Auxiliary),
	}
	if n.settings.MetricsPort > 0 {
		others = append(others, newListener("metrics", metricsAddr(n.settings), promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}), n.memory, n.limits.Auxiliary))
	}
	for _, w := range append(others, callers) {
		if err := w.start(); err != nil {
			return err
		}
	}
	n.log.Info("started", "memory_capacity", n.limits.Capacity, "connections_limit", n.limits.Connections, "boot", n.mesh.Boot(), "callers", n.settings.CallerAddr, "data_centre", n.settings.DataCentre)
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

// handleRestore is called when the store has come back from a copy. What this node wrote
// since the copy is lost, so it writes its records again.
func (n *Node) handleRestore(restores uint64) {
	n.log.Warn("store came back from a copy", "restores", restores)
	n.loader.forgetRecorded()
	select {
	case n.rejoin <- struct{}{}:
	default: // already requested
	}
}

// watchPolicy returns how closely this node follows the objects under the prefix.
func (n *Node) watchPolicy(prefix string) mirror.WatchPolicy {
	switch {
	case !n.mesh.IsLargeSite():
		return mirror.WatchPolicy{BatchWindow: smallSiteBatch}
	case !n.mesh.IsPromptWatcher() || prefix == mirror.NodeStatePrefix:
		return mirror.WatchPolicy{Relaxed: true, BatchWindow: relaxedBatch}
	}
	return mirror.WatchPolicy{Wait: largeSiteWait, BatchWindow: largeSiteBatch}
}

// retryWindow returns the retry limit for a service, and creates it on first use.
func (n *Node) retryWindow(service string) *retry.Window {
	n.mu.Lock()
	defer n.mu.Unlock()
	w, ok := n.retries[service]
	if !ok {
		w = retry.NewWindow(n.settings.RetryWindow, retryFraction*n.settings.RetryShare, n.slack())
		n.retries[service] = w
	}
	return w
}

// retryFraction is the fraction of the allowed retries that is used. The rest is a
// margin, because requests and retries of the fleet fall into the window at different
// times.
const retryFraction = 0.75

// slack returns this node's part of the retries that are allowed in addition to the
// share of requests. The caller must hold n.mu.
func (n *Node) slack() float64 { return retryFraction * n.settings.RetrySlack / float64(1+n.peerCount) }

// handleViewChange applies a new view of the objects in the store.
func (n *Node) handleViewChange(old, v *mirror.View) {
	n.logChanges(old, v)
	n.rollouts.update(time.Now(), v)
	n.placer.Update(v)
	n.mesh.SetPeers(v.Peers)
	n.quota.update(v, n.settings.Node)
	n.coldStarts.handleViewChange(old, v)
	n.cache.update(v)
	switch {
	case !maps.Equal(v.Evacuated, old.Evacuated):
		n.mesh.SendNow() // for nodes that the store does not reach, or that follow it with delay
	case v.Config != old.Config || len(v.Rollouts) > len(old.Rollouts):
		n.mesh.SendSoon()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	others := len(v.Peers)
	if _, ok := v.Peers[n.settings.Node]; ok {
		others--
	}
	n.peerCount = max(others, 0)
	for _, w := range n.retries {
		w.SetSlack(n.slack())
	}
}

// logChanges logs the differences between two views.
func (n *Node) logChanges(old, v *mirror.View) {
	if v.Config != old.Config && v.Config != nil {
		if asked := v.Config.Limits.BodyBytes; asked > n.memory.LargestBody() {
			n.log.Warn("body limit lowered", "configured", asked, "limit", n.memory.LargestBody(), "capacity", n.memory.Capacity())
		}
		n.log.Info("configuration in force", "version", v.Config.Version, "restores", vane.RestoresOf(v.ConfigRevision), "revision", vane.RevisionOf(v.ConfigRevision))
	}
	for name, u := range v.Upstreams {
		if o, ok := old.Upstreams[name]; !ok || o != u {
			args := []any{"upstream", name, "addr", u.Addr, "service", u.Service, "state", u.State.String(), "release", u.Release, "weights", u.Weights, "incarnation", u.Incarnation}
			if !u.ColdUntil.IsZero() {
				args = append(args, "cold_left_ms", u.ColdUntil.Sub(clock.BootTime()).Milliseconds())
			}
			n.log.Info("upstream", args...)
		}
	}
	for name := range old.Upstreams {
		if _, ok := v.Upstreams[name]; !ok {
			n.log.Info("upstream gone", "upstream", name)
		}
	}
	for dc := range v.Evacuated {
		if _, ok := old.Evacuated[dc]; !ok {
			n.log.Warn("data centre evacuated", "evacuated", dc)
		}
	}
	for dc := range old.Evacuated {
		if _, ok := v.Evacuated[dc]; !ok {
			n.log.Info("evacuation of a data centre ended", "evacuated", dc)
		}
	}
	for model, w := range v.Weights {
		if old.Weights[model].Version != w.Version {
			n.log.Info("weights named", "model", model, "weights", w.Version)
		}
	}
}

// recordWeights records the weights that a response shows an upstream to serve. The
// other nodes learn them from the lease holder.
func (n *Node) recordWeights(upstream string, weights uint64) {
	n.placer.RecordWeights(upstream, weights)
}

// reportUnresponsive tells the other nodes that an upstream does not respond.
func (n *Node) reportUnresponsive(u vane.Upstream) {
	n.pendingUpdates.addUnresponsive(u.Name)
	n.mesh.SendNow()
}

// reportLeaving tells the other nodes that an upstream said that it is leaving.
func (n *Node) reportLeaving(u vane.Upstream) {
	n.pendingUpdates.addLeaving(u)
	n.mesh.SendSoon()
}

// processOf returns the incarnation of an upstream's process, if one runs. If the process does
// not state it, it is that of its entry in the store, or as last heard if the store can't be
// read.
func (n *Node) processOf(ctx context.Context, u vane.Upstream, healthPath string) (uint64, vane.ProcessState) {
	incarnation, state := n.adapter.Control.Process(ctx, u, healthPath)
	if state != vane.ProcessRuns || incarnation > 0 {
		return incarnation, state
	}
	if o, err := n.storeClient.Get(ctx, n.adapter.Decoder.UpstreamPrefix()+u.Name); err == nil {
		if now, ok := n.adapter.Decoder.Upstream(o); ok {
			return now.Incarnation, state
		}
	}
	if now, ok := n.mirror.View().Upstreams[u.Name]; ok {
		return now.Incarnation, state
	}
	return u.Incarnation, state
}

// forgetDeadPeers drops the requests in flight of nodes that are down.
func (n *Node) forgetDeadPeers() {
	n.placer.KeepPeersInFlight(n.mesh.IsAlive)
	n.placer.KeepPeersWork(n.mesh.IsAlive)
}

// checkSilent asks an engine that keeps requests waiting for its load. The upstream is set
// aside, and the other nodes are told, if it does not answer or is not an engine. Slow
// engines that were set aside by all nodes once left the whole load to the others, which
// then were as slow.
func (n *Node) checkSilent(ctx context.Context, u vane.Upstream) {
	var load *vane.Load
	if u.Role == vane.RoleEngine {
		ctx, cancel := context.WithTimeout(ctx, silentCheckTimeout)
		defer cancel()
		if r, err := n.adapter.Control.Report(ctx, u); err == nil {
			load = &r.Load
		}
	}
	if n.placer.ResolveSilent(clock.BootTime(), u, load, silentTimeout) {
		n.pendingUpdates.addUnresponsive(u.Name)
		n.mesh.SendNow()
		n.log.Warn("upstream set aside", "upstream", u.Name, "cause", "silent", "reported", load != nil, "limit_ms", silentTimeout.Milliseconds())
	}
	if load == nil {
		for _, x := range n.placer.WithdrawSilent(clock.BootTime(), u.Name, silentTimeout) {
			n.log.Info("request withdrawn", "request_id", x.ID, "upstream", x.Upstream, "cause", "upstream silent", "waited_ms", x.Waited.Milliseconds())
		}
	} else {
		n.log.Info("silent upstream answers", "upstream", u.Name, "running", load.Running, "waiting", load.Waiting)
	}
}

// watchSilentUpstreams sets aside upstreams that keep requests waiting for too long, and
// withdraws requests that would begin on outdated weights.
func (n *Node) watchSilentUpstreams(ctx context.Context, ready func()) error {
	ready()
	var checks sync.WaitGroup
	defer checks.Wait()
	failing := false
	for clock.Sleep(ctx, tickPeriod) {
		if now := n.mirror.Failing(); now != failing {
			if failing = now; n.mesh.IsPromptWatcher() {
				n.mesh.SendNow() // another node has to take over, or need not any more
			}
		}
		n.quota.tick()
		n.forgetDeadPeers()
		n.placer.Tick(clock.BootTime())
		n.coldStarts.tick(ctx, clock.BootTime())
		for _, u := range n.placer.SilentUpstreams(clock.BootTime(), silentTimeout) {
			checks.Go(func() { n.checkSilent(ctx, u) })
		}
		for _, x := range n.placer.WithdrawEvacuated(clock.BootTime()) {
			n.log.Info("request withdrawn", "request_id", x.ID, "upstream", x.Upstream, "cause", "data centre evacuated", "waited_ms", x.Waited.Milliseconds())
		}
		for _, x := range n.placer.ExpireWaiting(clock.BootTime()) {
			n.log.Info("request withdrawn", "request_id", x.ID, "upstream", x.Upstream, "cause", "weights outdated", "weights", x.Weights,
				"outdated_ms", x.OutdatedFor.Milliseconds(), "limit_ms", n.settings.WeightsLimit.Milliseconds(), "waited_ms", x.Waited.Milliseconds())
		}
	}
	return nil
}
