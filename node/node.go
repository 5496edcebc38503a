package node

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/budget"
	"mustardvane.org/vane/claim"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/entry"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/hosts"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/kernel"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/member"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/node/certs"
	"mustardvane.org/vane/peer"
	"mustardvane.org/vane/place"
	"mustardvane.org/vane/queue"
	"mustardvane.org/vane/route"
	"mustardvane.org/vane/store"
	"mustardvane.org/vane/stream"
	"mustardvane.org/vane/target"
	"mustardvane.org/vane/wire"
)

// Limits and timeouts of a node.
const (
	eventRingSize    = 8192             // events kept in memory
	maxInFlight      = 1024             // requests in flight admitted at most, whatever the number of slots
	requestsPerSlot  = 2                // requests in flight admitted per slot of the upstreams
	startTimeout     = 10 * time.Second // limit of Start, and of the stop in Kill
	leavePropagation = 2 * time.Second  // time for the leaving status to reach all nodes
)

// Names under which the services are registered with the kernel.
const (
	serviceMemory = "memory"
	serviceConfig = "config"
	serviceHosts  = "hosts"
	serviceEntry  = "entry"
	serviceAdmin  = "admin"
	servicePeers  = "peers"
	serviceSync   = "sync"
	serviceLease  = "lease"
	serviceBudget = "budget"
	serviceMoves  = "moves"
)

// Node is one router process.
type Node struct {
	settings    config.Settings
	kernel      *kernel.Kernel
	metrics     *prometheus.Registry
	events      *event.Ring
	store       *store.Client
	config      *config.Service
	directory   *hosts.Directory
	placer      vane.Placer
	router      *route.Router
	gate        *queue.Gate
	crashes     *crash.Registry
	peers       *peer.Service
	leases      *lease.Manager
	allocator   *budget.Allocator
	limiter     *budget.FleetLimiter
	moves       *moves
	targets     *target.Tracker
	limits      memory.Limits
	memory      *memory.Budget
	entry       *entry.Server
	callerHTTP  *httpService
	adminHTTP   *httpService
	pieceTokens int           // size of a cached prompt piece in tokens; 0 for the default
	incarnation uint64        // start time in Unix milliseconds; distinguishes restarts of the node
	pingPeriod  time.Duration // time between two rounds of membership pings

	mu               sync.Mutex
	recordedPauses   int                // number of own pauses already recorded as events
	newerConfigSince time.Time          // when a newer configuration was first heard of; zero if none is known
	minSharesKey     minSharesInputs    // inputs of minSharesCache
	minSharesCache   map[string]float64 // latest result of minShares
}

// Option configures a node; pass it to New.
type Option func(*Node)

// WithPlacer replaces the default placer, for benchmark comparisons.
func WithPlacer(p vane.Placer) Option { return func(n *Node) { n.placer = p } }

// WithPieceTokens sets the size, in tokens, of the pieces in which the engines cache
// prompt prefixes.
func WithPieceTokens(tokens int) Option { return func(n *Node) { n.pieceTokens = tokens } }

// New assembles a node from its settings. It opens no sockets. It returns an
// error if the peer certificates can't be loaded.
func New(set config.Settings, opts ...Option) (*Node, error) {
	n := &Node{
		settings: set, kernel: kernel.New(), metrics: prometheus.NewRegistry(), placer: place.New(),
		limits: set.Memory.Limits(), incarnation: uint64(time.Now().UnixMilli()), pingPeriod: time.Second, targets: target.NewTracker(),
	}
	for _, o := range opts {
		o(n)
	}
	n.memory = memory.New(n.limits.Capacity, memory.WithMetrics(n.metrics), memory.WithLog(logWarning))
	n.events = event.NewRing(set.Node.Name, eventRingSize)
	n.store = store.New(set.Platform.URL,
		store.WithTimeout(set.Platform.Timeout),
		store.WithMetrics(store.NewMetrics(n.metrics)),
		store.WithStateFunc(n.recordStoreState),
	)
	n.config = config.NewService(n.store, n.events)
	n.directory = hosts.New(n.store, n.placer, n.events, hosts.WithPollFilter(n.pollsUpstream), hosts.WithLoadFunc(n.broadcastLoad))
	n.gate = queue.NewGate(queue.NewScheduler(), maxInFlight)
	n.directory.OnChange(n.updateInFlightLimit)
	n.moves = newMoves(n)
	n.config.OnObject(n.moves.ApplyObject)
	n.router = route.New(n.placer, n.directory, n.events, route.WithSecret(set.Peers.Secret), route.WithVersionPolicy(n.moves), route.WithMaxIdle(n.limits.IdleUpstreams))
	n.crashes = crash.NewRegistry(n.events, crash.WithBroadcast(n.broadcastCrash, n.broadcastClear))
	if err := n.newPeerService(); err != nil {
		return nil, err
	}
	n.allocator = budget.NewAllocator(budgetShards, n.budgetLimits, budget.AllocatorHooks{
		Holds:     func(i int) (uint64, bool) { return n.leases.Holds(i) },
		Recall:    n.sendRecall,
		RenewSoon: func(i int) { n.leases.RenewSoon(i) },
	})
	n.leases = n.newLeaseManager()
	n.limiter = budget.NewFleetLimiter(set.Node.Name, n.incarnation, budgetShards, n.budgetLimits, n, budget.WithMinShares(n.minShares))
	n.entry = n.newCallerServer()
	return n, n.registerServices()
}

// logWarning writes a line of package memory.
func logWarning(msg string, args ...any) { klog.InfoS(msg, args...) }

// newCallerServer builds the server for callers' requests.
func (n *Node) newCallerServer() *entry.Server {
	opts := []entry.Option{entry.WithBounds(n.settings.Callers), entry.WithEntriesTTL(n.settings.Drain.EntriesTTL)}
	if n.pieceTokens > 0 {
		opts = append(opts, entry.WithPieceTokens(n.pieceTokens))
	}
	return entry.New(entry.Deps{
		View:           n.config.Current,
		KeyFreshness:   n.keysConfirmed,
		Router:         n.router,
		Gate:           n.gate,
		Limiter:        n.limiter,
		Claims:         claim.NewRegistry(n.store, n.settings.Node.Name, n.events),
		Crashes:        n.crashes,
		Signer:         stream.NewSigner(n.settings.Peers.Secret),
		Recorder:       n.events,
		EntryAddresses: n.entryAddresses,
		Metrics:        n.metrics,
		Targets:        n.targets,
		Memory:         n.memory,
	}, opts...)
}

// newPeerService builds the membership state and the service that talks to
// other nodes.
func (n *Node) newPeerService() error {
	self := &wire.Member{
		Name: n.settings.Node.Name, Addr: n.settings.Listen.Peers, Callers: n.settings.Listen.Advertise,
		DataCentre: n.settings.Node.DataCentre, Incarnation: n.incarnation,
	}
	st := member.New(self, member.WithPeriod(n.pingPeriod), member.WithSeeds(n.settings.Peers.Seeds), member.WithChangeFunc(n.recordMemberChange))
	st.SetClock(n.events.Clock().Exchange)
	st.OnReports(n.receiveLoad, n.receiveCrash)
	var opts []peer.Option
	if n.settings.TLS.Peers.Enabled() {
		server, client, err := certs.MutualTLS(n.settings.TLS.Peers.Cert, n.settings.TLS.Peers.Key, n.settings.TLS.Peers.CA)
		if err != nil {
			return err
		}
		opts = append(opts, peer.WithTLS(server, client))
	}
	n.peers = peer.New(st, n.settings.Listen.Peers, n.settings.Peers.Secret, n.pingPeriod, opts...)
	n.peers.SetHandlers(peer.Handlers{
		Snapshot: n.handleSnapshot, Exchange: n.handleExchange, Recall: func(r *wire.RecallRequest) { n.limiter.Recall(r) },
		Observe: n.moves.ReceiveSamples, StopMove: n.moves.ReceiveStop,
	})
	return nil
}

// recordMemberChange records a status change of another node as an event.
func (n *Node) recordMemberChange(c member.Change) {
	what := map[wire.Status]vane.EventKind{
		wire.Status_STATUS_ALIVE: vane.EventMemberAlive, wire.Status_STATUS_SUSPECT: vane.EventMemberSuspect,
		wire.Status_STATUS_DEAD: vane.EventMemberDead, wire.Status_STATUS_LEAVING: vane.EventMemberLeft, wire.Status_STATUS_LEFT: vane.EventMemberLeft,
	}[c.Member.Status]
	n.events.Record(vane.Event{Kind: what, Subject: c.Member.Name, Observed: float64(c.Member.Incarnation)})
}

// registerServices adds the services and their dependencies to the kernel.
func (n *Node) registerServices() error {
	n.callerHTTP = newHTTPService("callers", n.settings.Listen.Callers, n.entry.Handler(), n.settings.Callers, n.settings.TLS.Callers, n.memory, n.limits.Connections)
	n.adminHTTP = newHTTPService("admin", n.settings.Listen.Admin, n.adminHandler(), n.settings.Callers, config.CertSettings{}, n.memory, n.limits.Auxiliary)
	for _, s := range []struct {
		name  string
		svc   kernel.Service
		needs []string
	}{
		{serviceMemory, memoryService{n.memory}, nil},
		{serviceConfig, n.config, nil},
		{serviceHosts, n.directory, nil},
		{servicePeers, n.peers, nil},
		{serviceSync, &syncer{n}, []string{serviceConfig, serviceHosts, servicePeers}},
		{serviceLease, n.leases, []string{servicePeers, serviceSync}},
		{serviceBudget, n.limiter, []string{serviceLease}},
		{serviceMoves, n.moves, []string{servicePeers, serviceSync}},
		{serviceEntry, n.callerHTTP, []string{serviceBudget, serviceMoves}},
		{serviceAdmin, n.adminHTTP, []string{serviceEntry}},
	} {
		if err := n.kernel.Add(s.name, s.svc, s.needs...); err != nil {
			return err
		}
	}
	return nil
}

// memoryService adapts a memory budget to kernel.Service.
type memoryService struct{ b *memory.Budget }

// Run implements kernel.Service.
func (s memoryService) Run(ctx context.Context, ready func()) error {
	ready()
	s.b.Run(ctx)
	return nil
}

// Start starts all services in dependency order. It returns an error if they
// are not ready within 10 s.
func (n *Node) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	n.events.Record(vane.Event{Kind: vane.EventStarted, Subject: n.callerHTTP.Addr()})
	klog.InfoS("node started", "node", n.settings.Node.Name, "callers", n.callerHTTP.Addr(), "admin", n.adminHTTP.Addr())
	return nil
}

// Failed returns the channel that receives the error of a service that fails
// while the node runs.
func (n *Node) Failed() <-chan error { return n.kernel.Failed() }

// Addr returns the address that the node listens on for callers.
func (n *Node) Addr() string { return n.callerHTTP.Addr() }

// AdminAddr returns the address that the node listens on for operators.
func (n *Node) AdminAddr() string { return n.adminHTTP.Addr() }

// PeerAddr returns the address that the node listens on for other nodes.
func (n *Node) PeerAddr() string { return n.settings.Listen.Peers }

// Leases returns the number of budget shards whose lease the node holds, and the
// number of shards in the fleet.
func (n *Node) Leases() (held, all int) { return n.leases.HeldCount(), budgetShards }

// Ring returns the buffer of events that this node recorded.
func (n *Node) Ring() *event.Ring { return n.events }

// Config returns the configuration in force. Its revision is zero before the
// first configuration has arrived.
func (n *Node) Config() *config.View { return n.config.Current() }

// Drain stops the node gracefully: it withdraws the node from the lists of entry
// addresses, serves until the lists that callers hold have expired, waits for the
// requests in flight up to the configured limit, and stops.
func (n *Node) Drain(ctx context.Context) error {
	n.events.Record(vane.Event{Kind: vane.EventDraining, Observed: float64(n.entry.InFlight())})
	klog.InfoS("node draining", "node", n.settings.Node.Name, "in_flight", n.entry.InFlight())
	n.leave()
	clock.Sleep(ctx, n.settings.Drain.EntriesTTL+leavePropagation)
	n.callerHTTP.disableKeepAlives()
	limit, cancel := context.WithTimeout(ctx, n.settings.Drain.MaxWait)
	defer cancel()
	select {
	case <-n.entry.Idle():
	case <-limit.Done():
		klog.InfoS("drain timeout reached with requests still in flight", "in_flight", n.entry.InFlight())
	}
	n.releaseBudgetsAndLeases(ctx)
	return n.Stop(ctx)
}

// leave withdraws the node from the answers to GET /v1/entries, both its own and
// those of other nodes.
func (n *Node) leave() {
	n.entry.StartDraining()
	n.peers.Leave()
}

// releaseBudgetsAndLeases returns budget shares to their lease holders and
// releases the leases, so that other nodes can take over without waiting for
// expiry.
func (n *Node) releaseBudgetsAndLeases(ctx context.Context) {
	n.limiter.ReturnAll(ctx)
	n.leases.Release(ctx)
}

// Stop stops all services without draining.
func (n *Node) Stop(ctx context.Context) error {
	n.events.Record(vane.Event{Kind: vane.EventStopped})
	err := n.kernel.Stop(ctx)
	n.router.Close()
	n.store.Close()
	klog.InfoS("node stopped", "node", n.settings.Node.Name)
	return err
}

// Kill stops the node without releasing budgets or leases, as a host crash
// would. It exists for failure tests.
func (n *Node) Kill() {
	n.peers.BlockPeers(func(string) bool { return true })
	n.callerHTTP.closeNow()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = n.Stop(ctx)
}

// SuspectRequests returns the number of requests that are refused because they
// crashed upstreams.
func (n *Node) SuspectRequests() int { return n.crashes.RefusedCount() }

// BlockPeers drops all traffic with the peers for whose address f returns true.
// It replaces an earlier filter. It exists for failure tests.
func (n *Node) BlockPeers(f func(addr string) bool) { n.peers.BlockPeers(f) }

// BlockPlatform makes calls to the platform fail while blocked is true. It exists
// for failure tests.
func (n *Node) BlockPlatform(blocked bool) { n.store.Block(blocked) }

// ApplyConfigIfNewer puts an encoded configuration in force if its revision is
// higher than the current one, and reports whether it did. It is for embedders
// that receive the configuration by other means than the platform.
func (n *Node) ApplyConfigIfNewer(rev uint64, value []byte) (bool, error) {
	return n.config.ApplyIfNewer(rev, value)
}

// budgetLimits returns the rate and burst of a workspace's budget, and false if
// the workspace is not configured. A request may reach its upstream up to the
// class's first-token target after its tokens were reserved. To keep the burst
// bound at the upstreams as well, the burst is reduced by the tokens that the rate
// yields in that time, but by at most half.
func (n *Node) budgetLimits(ws string) (budget.Limits, bool) {
	v := n.config.Current()
	w, ok := v.Workspace(ws)
	lateTokens := w.Rate * v.FirstTokenTarget(w).Seconds()
	return budget.Limits{Rate: w.Rate, Burst: w.Burst - min(lateTokens, w.Burst/2)}, ok
}

// updateInFlightLimit sets the limit on requests in flight from the slots of all
// upstreams.
func (n *Node) updateInFlightLimit(ups []vane.Upstream) {
	slots := 0
	for _, u := range ups {
		slots += u.Slots
	}
	n.gate.SetMaxLimit(min(maxInFlight, requestsPerSlot*slots))
}

// recordStoreState records an event when the platform becomes reachable or
// unreachable.
func (n *Node) recordStoreState(up bool) {
	what := vane.EventStoreDown
	if up {
		what = vane.EventStoreUp
	}
	n.events.Record(vane.Event{Kind: what, Subject: n.settings.Platform.URL})
}
