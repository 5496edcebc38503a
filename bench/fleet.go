package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/fake/plain"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/internal/port"
	"mustardvane.org/vane/node"
	"mustardvane.org/vane/store"
)

// Defaults and names of a fleet.
const (
	defaultNodes   = 3
	defaultEngines = 6
	peerSecret     = "bench-secret-0123456789"
	readyTimeout   = 10 * time.Second // limit for each wait on the nodes
	// ModelName is the name of the model that the simulated engines serve.
	ModelName = "quill"
	// ServiceName is the name of the plain service behind the fleet.
	ServiceName = "booking"
)

// dataCentres are assigned to nodes and upstreams in turn.
var dataCentres = []string{"mvd-1", "mvd-2", "mvd-3"}

// Engine is a simulated model engine with its server.
type Engine struct {
	*engine.Engine
	Name       string
	srv        *fake.Server
	dataCentre string
}

// Addr returns the address that the engine listens on, as host:port.
func (e *Engine) Addr() string { return e.srv.Addr() }

// Kill closes all connections of the engine and stops listening.
func (e *Engine) Kill() { e.srv.Close() }

// Alive reports whether the engine accepts connections.
func (e *Engine) Alive() bool {
	c, err := net.DialTimeout("tcp", e.srv.Addr(), time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Service is a simulated instance of the plain service with its server.
type Service struct {
	*plain.Service
	srv        *fake.Server
	dataCentre string
}

// Kill closes all connections of the service and stops listening.
func (p *Service) Kill() { p.srv.Close() }

// Fleet is a set of running nodes, with the simulated upstreams and platform that
// they use.
type Fleet struct {
	Platform   *plat.Platform
	Engines    []*Engine
	Services   []*Service
	Nodes      []*node.Node
	RunCounter *plain.RunCounter // runs of operations on all instances of the plain service
	Store      *store.Client

	opts           options
	platformServer *fake.Server
	nodeSettings   []config.Settings // settings by number of the node, counted from 0
}

// options are the parameters of Start.
type options struct {
	nodes        int
	engines      int
	services     int
	engineOpts   []engine.Option
	nodeOpts     func() []node.Option   // called for every start of a node
	editSettings func(*config.Settings) // modifies the default settings of each node
}

// Option configures Start.
type Option func(*options)

// WithNodes sets the number of nodes; the default is 3.
func WithNodes(n int) Option { return func(o *options) { o.nodes = n } }

// WithEngines sets the number of engines, 6 by default, and their options.
func WithEngines(n int, opts ...engine.Option) Option {
	return func(o *options) { o.engines, o.engineOpts = n, opts }
}

// WithServices sets the number of instances of the plain service; the default is 1.
func WithServices(n int) Option { return func(o *options) { o.services = n } }

// WithNodeOptions sets a function that returns the options of a node. It is called
// for every start of a node.
func WithNodeOptions(f func() []node.Option) Option { return func(o *options) { o.nodeOpts = f } }

// WithSettings sets a function that modifies the default settings of each node.
func WithSettings(f func(*config.Settings)) Option { return func(o *options) { o.editSettings = f } }

// Start starts a fleet on free ports of the loopback address. The nodes have no
// configuration until Apply is called. If a part fails to start, it closes the rest.
func Start(ctx context.Context, opts ...Option) (*Fleet, error) {
	f := &Fleet{Platform: plat.New(), RunCounter: plain.NewRunCounter(), opts: options{
		nodes: defaultNodes, engines: defaultEngines, services: 1,
		nodeOpts: func() []node.Option { return nil }, editSettings: func(*config.Settings) {},
	}}
	for _, o := range opts {
		o(&f.opts)
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts the platform, then the upstreams, then the nodes.
func (f *Fleet) start(ctx context.Context) error {
	srv, err := fake.Listen("127.0.0.1:0", f.Platform)
	if err != nil {
		return err
	}
	f.platformServer = srv
	f.Store = store.New(srv.URL())
	for i := range f.opts.engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.opts.services {
		if err := f.addService(i); err != nil {
			return err
		}
	}
	f.PublishHosts()
	for i := range f.opts.nodes {
		if err := f.StartNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// addEngine starts engine i, counted from 0.
func (f *Fleet) addEngine(i int) error {
	e := &Engine{Name: fmt.Sprintf("engine-%d", i+1), dataCentre: dataCentres[i%len(dataCentres)]}
	opts := append([]engine.Option{engine.WithModel(ModelName, "v1"), engine.WithSeed(uint64(i + 1))}, f.opts.engineOpts...)
	opts = append(opts, engine.WithCrashFunc(e.Kill))
	e.Engine = engine.New(e.Name, opts...)
	srv, err := fake.Listen("127.0.0.1:0", e.Engine)
	if err != nil {
		return err
	}
	e.srv = srv
	f.Engines = append(f.Engines, e)
	return nil
}

// RestartEngine restarts a killed engine at its old address, with an empty cache and a
// new incarnation, and publishes the list of upstreams. It fails if the address cannot
// be bound.
func (f *Fleet) RestartEngine(e *Engine) error {
	e.Restart()
	srv, err := fake.Listen(e.srv.Addr(), e.Engine)
	if err != nil {
		return err
	}
	e.srv = srv
	f.PublishHosts()
	return nil
}

// addService starts instance i of the plain service, counted from 0.
func (f *Fleet) addService(i int) error {
	p := &Service{dataCentre: dataCentres[i%len(dataCentres)]}
	p.Service = plain.New(fmt.Sprintf("%s-%d", ServiceName, i+1), ServiceName, plain.WithRunCounter(f.RunCounter))
	srv, err := fake.Listen("127.0.0.1:0", p.Service)
	if err != nil {
		return err
	}
	p.srv = srv
	f.Services = append(f.Services, p)
	return nil
}

// PublishHosts replaces the platform's list of upstreams by all engines and service
// instances.
func (f *Fleet) PublishHosts() {
	var ups []vane.Upstream
	for _, e := range f.Engines {
		ups = append(ups, e.Upstream(e.srv.Addr(), e.dataCentre))
	}
	for _, p := range f.Services {
		ups = append(ups, p.Upstream(p.srv.Addr(), p.dataCentre))
	}
	f.Platform.SetHosts(ups)
}

// Settings returns the settings of node i, counted from 0. They stay the same when
// the node restarts. An error means that no free port was found.
func (f *Fleet) Settings(i int) (config.Settings, error) {
	for len(f.nodeSettings) <= i {
		s := config.DefaultSettings()
		k := len(f.nodeSettings)
		s.Node = config.NodeSettings{Name: fmt.Sprintf("vane-%d", k+1), DataCentre: dataCentres[k%len(dataCentres)], Region: "montevideo"}
		s.Platform.URL = f.platformServer.URL()
		s.Peers.Secret = peerSecret
		s.Drain.EntriesTTL = 500 * time.Millisecond
		for _, a := range []*string{&s.Listen.Callers, &s.Listen.Admin, &s.Listen.Peers} {
			p, err := port.Free()
			if err != nil {
				return s, err
			}
			*a = fmt.Sprintf("127.0.0.1:%d", p)
		}
		s.Listen.Advertise = s.Listen.Callers
		if k > 0 {
			s.Peers.Seeds = []string{f.nodeSettings[0].Listen.Peers}
		}
		f.opts.editSettings(&s)
		f.nodeSettings = append(f.nodeSettings, s)
	}
	return f.nodeSettings[i], nil
}

// PlatformURL returns the base URL of the simulated platform.
func (f *Fleet) PlatformURL() string { return f.platformServer.URL() }

// StartNode starts node i, counted from 0, or restarts it after a stop. New nodes must
// be started in order, without gaps.
func (f *Fleet) StartNode(ctx context.Context, i int) error {
	set, err := f.Settings(i)
	if err != nil {
		return err
	}
	n, err := node.New(set, f.opts.nodeOpts()...)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	if i < len(f.Nodes) {
		f.Nodes[i] = n
		return nil
	}
	f.Nodes = append(f.Nodes, n)
	return nil
}

// KillNode stops node i as a crash of its host would: its connections break and it
// returns neither budgets nor leases.
func (f *Fleet) KillNode(i int) { f.Nodes[i].Kill() }

// Isolate blocks all traffic of node i with the platform and with the other nodes.
// It replaces earlier blocks of peers.
func (f *Fleet) Isolate(i int) {
	addr := f.nodeSettings[i].Listen.Peers
	for k, n := range f.Nodes {
		if k == i {
			n.BlockPeers(func(string) bool { return true })
			n.BlockPlatform(true)
			continue
		}
		n.BlockPeers(func(a string) bool { return a == addr })
	}
}

// Apply publishes a configuration in the way that the operator's tool does, and
// waits until every node uses it and the nodes hold all leases and budget shares.
func (f *Fleet) Apply(ctx context.Context, fleet *config.Fleet) error {
	rev, err := admin.Apply(ctx, f.Store, fleet, admin.AnyRevision)
	if err != nil {
		return err
	}
	if err := f.AwaitRevision(ctx, rev); err != nil {
		return err
	}
	if err := f.AwaitLeases(ctx); err != nil {
		return err
	}
	return f.AwaitShares(ctx, fleet)
}

// Close stops all nodes, upstreams and the platform without draining, and closes the
// idle connections of http.DefaultClient, which the tests use.
func (f *Fleet) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, n := range f.Nodes {
		_ = n.Stop(ctx)
	}
	for _, e := range f.Engines {
		e.Kill()
	}
	for _, p := range f.Services {
		p.Kill()
	}
	if f.Store != nil {
		f.Store.Close()
	}
	if f.platformServer != nil {
		f.platformServer.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// KeyOf returns the API key of a workspace in DefaultFleet.
func KeyOf(workspace string) string { return "key-of-" + workspace + "-0123456789abcdef" }

// DefaultFleet returns a configuration with one class of work, one model, the plain
// service and the given workspaces. Each workspace has one key and a rate that the
// tests do not reach.
func DefaultFleet(workspaces ...string) *config.Fleet {
	f := &config.Fleet{
		Classes: []config.Class{{Name: "interactive", FirstToken: config.Duration(820 * time.Millisecond), TokenGap: config.Duration(47 * time.Millisecond)}},
		Models:  []config.Model{{Name: ModelName, MaxContext: 200_000}},
		Services: []config.PlainService{{Name: ServiceName, Routes: []config.Route{
			{Path: "/bookings", Methods: []string{http.MethodPost}},
			{Path: "/stock", Methods: []string{http.MethodGet}, Idempotent: true},
			{Path: "/hours", Methods: []string{http.MethodGet}, Idempotent: true, Open: true},
		}}},
	}
	for _, w := range workspaces {
		f.Workspaces = append(f.Workspaces, config.Workspace{
			Name: w, Class: "interactive", Rate: 10_000_000, Burst: 50_000_000,
			Keys: []config.Key{{ID: "first", SHA256: config.HashKey(KeyOf(w))}},
		})
	}
	return f
}
