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

// Sizes of a node.
const (
	ringSize     = 8192 // events kept
	maxInFlight  = 1024
	overcommit   = 2 // requests in flight for each slot of the upstreams
	startTimeout = 10 * time.Second
	leaveSpread  = 2 * time.Second // until all nodes have heard that one leaves
)

// Names of the services.
const (
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
	set    config.Settings
	kernel *kernel.Kernel
	reg    *prometheus.Registry
	ring   *event.Ring
	st     *store.Client
	conf   *config.Service
	dir    *hosts.Directory
	placer vane.Placer
	router *route.Router
	gate   *queue.Gate
	crash  *crash.Registry
	peers  *peer.Service
	keeper *lease.Keeper
	hub    *budget.Allocator
	shares *budget.FleetLimiter
	moves  *moves
	target *target.Tracker
	entry  *entry.Server
	web    *web
	admin  *web
	piece  int
	boot   uint64        // incarnation of this life
	period time.Duration // of the members' pings

	mu          sync.Mutex
	pauses      int       // of this node that were recorded
	behindSince time.Time // a newer configuration is known since then
	floorKey    floorKey
	floor       map[string]float64
}

// Option changes a node under construction.
type Option func(*Node)

// WithPlacer replaces the choice of upstreams, for comparisons.
func WithPlacer(p vane.Placer) Option { return func(n *Node) { n.placer = p } }

// WithPiece sets the size in tokens of the engines' cached pieces.
func WithPiece(tokens int) Option { return func(n *Node) { n.piece = tokens } }

// New assembles a node from its settings. It opens no socket.
func New(set config.Settings, opts ...Option) (*Node, error) {
	n := &Node{
		set: set, kernel: kernel.New(), reg: prometheus.NewRegistry(), placer: place.New(),
		boot: uint64(time.Now().UnixMilli()), period: time.Second, target: target.NewTracker(),
	}
	for _, o := range opts {
		o(n)
	}
	n.ring = event.NewRing(set.Node.Name, ringSize)
	n.st = store.New(set.Platform.URL,
		store.WithTimeout(set.Platform.Timeout),
		store.WithMetrics(store.NewMetrics(n.reg)),
		store.WithStateFunc(n.storeState),
	)
	n.conf = config.NewService(n.st, n.ring)
	n.dir = hosts.New(n.st, n.placer, n.ring, hosts.WithShare(n.polls), hosts.WithLoadFunc(n.broadcastLoad))
	n.gate = queue.NewGate(queue.NewFair(), maxInFlight)
	n.dir.OnChange(n.resize)
	n.moves = newMoves(n)
	n.conf.OnObject(n.moves.ApplyObject)
	n.router = route.New(n.placer, n.dir, n.ring, route.WithSecret(set.Peers.Secret), route.WithVersions(n.moves))
	n.crash = crash.NewRegistry(n.ring, crash.WithShare(n.broadcastCrash, n.broadcastClear))
	if err := n.newPeers(); err != nil {
		return nil, err
	}
	n.hub = budget.NewAllocator(budgetShards, n.terms, budget.AllocatorHooks{
		Holds:     func(i int) (uint64, bool) { return n.keeper.Holds(i) },
		Recall:    n.recall,
		RenewSoon: func(i int) { n.keeper.RenewSoon(i) },
	})
	n.keeper = n.newKeeper()
	n.shares = budget.NewFleetLimiter(set.Node.Name, n.boot, budgetShards, n.terms, n, budget.WithMinShares(n.floors))
	n.entry = n.newEntry()
	return n, n.register()
}

// newEntry builds the callers' side.
func (n *Node) newEntry() *entry.Server {
	opts := []entry.Option{entry.WithBounds(n.set.Callers), entry.WithEntriesTTL(n.set.Drain.EntriesTTL)}
	if n.piece > 0 {
		opts = append(opts, entry.WithPiece(n.piece))
	}
	return entry.New(entry.Deps{
		View:           n.conf.Current,
		KeyFreshness:   n.fresh,
		Router:         n.router,
		Gate:           n.gate,
		Limiter:        n.shares,
		Claims:         claim.NewRegistry(n.st, n.set.Node.Name, n.ring),
		Crashes:        n.crash,
		Signer:         stream.NewSigner(n.set.Peers.Secret),
		Recorder:       n.ring,
		EntryAddresses: n.entries,
		Metrics:        n.reg,
		Targets:        n.target,
	}, opts...)
}

// newPeers builds the side of the other nodes.
func (n *Node) newPeers() error {
	self := &wire.Member{
		Name: n.set.Node.Name, Addr: n.set.Listen.Peers, Callers: n.set.Listen.Advertise,
		DataCentre: n.set.Node.DataCentre, Incarnation: n.boot,
	}
	st := member.New(self, member.WithPeriod(n.period), member.WithSeeds(n.set.Peers.Seeds), member.WithChangeFunc(n.memberChanged))
	st.SetClock(n.ring.Clock().Exchange)
	st.OnReports(n.receiveLoad, n.receiveCrash)
	var opts []peer.Option
	if n.set.TLS.Peers.Enabled() {
		server, client, err := certs.MutualTLS(n.set.TLS.Peers.Cert, n.set.TLS.Peers.Key, n.set.TLS.Peers.CA)
		if err != nil {
			return err
		}
		opts = append(opts, peer.WithTLS(server, client))
	}
	n.peers = peer.New(st, n.set.Listen.Peers, n.set.Peers.Secret, n.period, opts...)
	n.peers.SetHandlers(peer.Handlers{
		Snapshot: n.snapshot, Exchange: n.exchange, Recall: func(r *wire.RecallRequest) { n.shares.Recall(r) },
		Observe: n.moves.ReceiveSamples, StopMove: n.moves.ReceiveStop,
	})
	return nil
}

// memberChanged records what happens to other nodes.
func (n *Node) memberChanged(c member.Change) {
	what := map[wire.Status]vane.EventKind{
		wire.Status_STATUS_ALIVE: vane.EventMemberAlive, wire.Status_STATUS_SUSPECT: vane.EventMemberSuspect,
		wire.Status_STATUS_DEAD: vane.EventMemberDead, wire.Status_STATUS_LEAVING: vane.EventMemberLeft, wire.Status_STATUS_LEFT: vane.EventMemberLeft,
	}[c.Member.Status]
	n.ring.Record(vane.Event{What: what, Subject: c.Member.Name, Have: float64(c.Member.Incarnation)})
}

// register adds the services to the kernel.
func (n *Node) register() error {
	n.web = newWeb(n.set.Listen.Callers, n.entry.Handler(), n.set.Callers, n.set.TLS.Callers)
	n.admin = newWeb(n.set.Listen.Admin, n.adminHandler(), n.set.Callers, config.CertSettings{})
	for _, s := range []struct {
		name  string
		svc   kernel.Service
		needs []string
	}{
		{serviceConfig, n.conf, nil},
		{serviceHosts, n.dir, nil},
		{servicePeers, n.peers, nil},
		{serviceSync, &syncer{n}, []string{serviceConfig, serviceHosts, servicePeers}},
		{serviceLease, n.keeper, []string{servicePeers, serviceSync}},
		{serviceBudget, n.shares, []string{serviceLease}},
		{serviceMoves, n.moves, []string{servicePeers, serviceSync}},
		{serviceEntry, n.web, []string{serviceBudget, serviceMoves}},
		{serviceAdmin, n.admin, []string{serviceEntry}},
	} {
		if err := n.kernel.Add(s.name, s.svc, s.needs...); err != nil {
			return err
		}
	}
	return nil
}

// Start starts all services.
func (n *Node) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	n.ring.Record(vane.Event{What: vane.EventStarted, Subject: n.web.Addr()})
	klog.InfoS("node started", "node", n.set.Node.Name, "callers", n.web.Addr(), "admin", n.admin.Addr())
	return nil
}

// Failed returns the channel on which the failure of a service arrives.
func (n *Node) Failed() <-chan error { return n.kernel.Failed() }

// Addr returns the callers' address that the node listens on.
func (n *Node) Addr() string { return n.web.Addr() }

// AdminAddr returns the operators' address that the node listens on.
func (n *Node) AdminAddr() string { return n.admin.Addr() }

// PeerAddr returns the address that other nodes use.
func (n *Node) PeerAddr() string { return n.set.Listen.Peers }

// Leases returns the number of budget shards that the node holds, and of all.
func (n *Node) Leases() (held, all int) { return n.keeper.Held(), budgetShards }

// Ring returns the node's part of the time line.
func (n *Node) Ring() *event.Ring { return n.ring }

// Config returns the configuration in force.
func (n *Node) Config() *config.View { return n.conf.Current() }

// Drain stops the node without cutting a request: it leaves the lists of entry
// addresses, serves until those lists have run out, waits for the requests in
// flight, and stops.
func (n *Node) Drain(ctx context.Context) error {
	n.ring.Record(vane.Event{What: vane.EventDraining, Have: float64(n.entry.InFlight())})
	klog.InfoS("node draining", "node", n.set.Node.Name, "in_flight", n.entry.InFlight())
	n.leave()
	clock.Sleep(ctx, n.set.Drain.EntriesTTL+leaveSpread)
	n.web.quiet()
	limit, cancel := context.WithTimeout(ctx, n.set.Drain.MaxWait)
	defer cancel()
	select {
	case <-n.entry.Idle():
	case <-limit.Done():
		klog.InfoS("streams outlast the drain", "in_flight", n.entry.InFlight())
	}
	n.handOver(ctx)
	return n.Stop(ctx)
}

// leave takes the node out of the answers of GET /v1/entries.
func (n *Node) leave() {
	n.entry.StartDraining()
	n.peers.Leave()
}

// handOver gives budgets and leases to other nodes.
func (n *Node) handOver(ctx context.Context) {
	n.shares.ReturnAll(ctx)
	n.keeper.Release(ctx)
}

// Stop stops all services at once.
func (n *Node) Stop(ctx context.Context) error {
	n.ring.Record(vane.Event{What: vane.EventStopped})
	err := n.kernel.Stop(ctx)
	n.router.Close()
	n.st.Close()
	klog.InfoS("node stopped", "node", n.set.Node.Name)
	return err
}

// Kill ends the node without handing anything over, as the crash of its host
// does. It exists for failure tests.
func (n *Node) Kill() {
	n.peers.BlockPeers(func(string) bool { return true })
	n.web.cut()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = n.Stop(ctx)
}

// SuspectRequests returns the number of requests that are known to crash upstreams.
func (n *Node) SuspectRequests() int { return n.crash.Refused() }

// BlockPeers makes the node ignore the peers at the given addresses. It exists for
// failure tests.
func (n *Node) BlockPeers(f func(addr string) bool) { n.peers.BlockPeers(f) }

// BlockPlatform makes calls to the platform fail. It exists for failure tests.
func (n *Node) BlockPlatform(cut bool) { n.st.Cut(cut) }

// ApplyConfigIfNewer puts a configuration in force if its revision is higher than the one that
// is. It serves embedders that get the configuration in another way.
func (n *Node) ApplyConfigIfNewer(rev uint64, value []byte) (bool, error) {
	return n.conf.ApplyIfNewer(rev, value)
}

// terms returns the budget of a workspace. A request may reach its upstream as
// late after its reservation as the class allows for the first token; so that the
// bound holds at the upstreams too, what the rate yields in that time is taken off
// the burst, but never more than half of it.
func (n *Node) terms(ws string) (budget.Limits, bool) {
	v := n.conf.Current()
	w, ok := v.Workspace(ws)
	late := w.Rate * v.FirstTokenTarget(w).Seconds()
	return budget.Limits{Rate: w.Rate, Burst: w.Burst - min(late, w.Burst/2)}, ok
}

// resize adapts the bound on requests in flight to the upstreams.
func (n *Node) resize(ups []vane.Upstream) {
	slots := 0
	for _, u := range ups {
		slots += u.Slots
	}
	n.gate.SetCap(min(maxInFlight, overcommit*slots))
}

// storeState records when the platform becomes reachable or unreachable.
func (n *Node) storeState(up bool) {
	what := vane.EventStoreDown
	if up {
		what = vane.EventStoreUp
	}
	n.ring.Record(vane.Event{What: what, Subject: n.set.Platform.URL})
}
