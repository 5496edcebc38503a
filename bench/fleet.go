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

// Defaults of a fleet.
const (
	defaultNodes   = 3
	defaultEngines = 6
	secret         = "bench-secret-0123456789"
	readyWait      = 10 * time.Second
	// ModelName is the model of the stand-in engines.
	ModelName = "quill"
	// ServiceName is the plain service of the fleet.
	ServiceName = "booking"
)

// dataCentres are the places of nodes and upstreams, taken in turn.
var dataCentres = []string{"mvd-1", "mvd-2", "mvd-3"}

// Engine is a stand-in engine with its server.
type Engine struct {
	*engine.Engine
	Name string
	srv  *fake.Server
	dc   string
}

// Addr returns the engine's address.
func (e *Engine) Addr() string { return e.srv.Addr() }

// Kill cuts all connections of the engine and stops listening.
func (e *Engine) Kill() { e.srv.Close() }

// Alive says whether the engine still listens.
func (e *Engine) Alive() bool {
	c, err := net.DialTimeout("tcp", e.srv.Addr(), time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Service is a stand-in service with its server.
type Service struct {
	*plain.Service
	srv *fake.Server
	dc  string
}

// Kill cuts all connections of the service and stops listening.
func (p *Service) Kill() { p.srv.Close() }

// Fleet is a running fleet.
type Fleet struct {
	Platform   *plat.Platform
	Engines    []*Engine
	Services   []*Service
	Nodes      []*node.Node
	RunCounter *plain.RunCounter
	Store      *store.Client

	opts    options
	platSrv *fake.Server
	set     []config.Settings
}

// options are the choices of Start.
type options struct {
	nodes    int
	engines  int
	services int
	engine   []engine.Option
	node     func() []node.Option
	settings func(*config.Settings)
}

// Option changes a fleet under construction.
type Option func(*options)

// WithNodes sets the number of nodes.
func WithNodes(n int) Option { return func(o *options) { o.nodes = n } }

// WithEngines sets the number of engines and their options.
func WithEngines(n int, opts ...engine.Option) Option {
	return func(o *options) { o.engines, o.engine = n, opts }
}

// WithServices sets the number of instances of the plain service.
func WithServices(n int) Option { return func(o *options) { o.services = n } }

// WithNodeOptions sets a function that makes the options of each node.
func WithNodeOptions(f func() []node.Option) Option { return func(o *options) { o.node = f } }

// WithSettings changes the settings of each node.
func WithSettings(f func(*config.Settings)) Option { return func(o *options) { o.settings = f } }

// Start starts a fleet.
func Start(ctx context.Context, opts ...Option) (*Fleet, error) {
	f := &Fleet{Platform: plat.New(), RunCounter: plain.NewRunCounter(), opts: options{
		nodes: defaultNodes, engines: defaultEngines, services: 1,
		node: func() []node.Option { return nil }, settings: func(*config.Settings) {},
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

// start starts the parts one by one.
func (f *Fleet) start(ctx context.Context) error {
	srv, err := fake.Listen("127.0.0.1:0", f.Platform)
	if err != nil {
		return err
	}
	f.platSrv = srv
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

// addEngine starts one engine.
func (f *Fleet) addEngine(i int) error {
	e := &Engine{Name: fmt.Sprintf("engine-%d", i+1), dc: dataCentres[i%len(dataCentres)]}
	opts := append([]engine.Option{engine.WithModel(ModelName, "v1"), engine.WithSeed(uint64(i + 1))}, f.opts.engine...)
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

// RestartEngine starts a killed engine anew at its old address, with an empty cache.
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

// addService starts one instance of the plain service.
func (f *Fleet) addService(i int) error {
	p := &Service{dc: dataCentres[i%len(dataCentres)]}
	p.Service = plain.New(fmt.Sprintf("%s-%d", ServiceName, i+1), ServiceName, plain.WithRunCounter(f.RunCounter))
	srv, err := fake.Listen("127.0.0.1:0", p.Service)
	if err != nil {
		return err
	}
	p.srv = srv
	f.Services = append(f.Services, p)
	return nil
}

// PublishHosts puts all upstreams on the platform's list.
func (f *Fleet) PublishHosts() {
	var ups []vane.Upstream
	for _, e := range f.Engines {
		ups = append(ups, e.Upstream(e.srv.Addr(), e.dc))
	}
	for _, p := range f.Services {
		ups = append(ups, p.Upstream(p.srv.Addr(), p.dc))
	}
	f.Platform.SetHosts(ups)
}

// Settings returns the settings of node i, which stay the same over restarts.
func (f *Fleet) Settings(i int) (config.Settings, error) {
	for len(f.set) <= i {
		s := config.DefaultSettings()
		k := len(f.set)
		s.Node = config.NodeSettings{Name: fmt.Sprintf("vane-%d", k+1), DataCentre: dataCentres[k%len(dataCentres)], Region: "montevideo"}
		s.Platform.URL = f.platSrv.URL()
		s.Peers.Secret = secret
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
			s.Peers.Seeds = []string{f.set[0].Listen.Peers}
		}
		f.opts.settings(&s)
		f.set = append(f.set, s)
	}
	return f.set[i], nil
}

// PlatformURL returns the URL of the platform's stand-in.
func (f *Fleet) PlatformURL() string { return f.platSrv.URL() }

// StartNode starts node i, or starts it anew after a stop.
func (f *Fleet) StartNode(ctx context.Context, i int) error {
	set, err := f.Settings(i)
	if err != nil {
		return err
	}
	n, err := node.New(set, f.opts.node()...)
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

// KillNode ends node i at once, as a crash of its host does: connections are cut
// and nothing is handed over.
func (f *Fleet) KillNode(i int) { f.Nodes[i].Kill() }

// Isolate cuts node i off from the platform and from the other nodes.
func (f *Fleet) Isolate(i int) {
	addr := f.set[i].Listen.Peers
	for k, n := range f.Nodes {
		if k == i {
			n.BlockPeers(func(string) bool { return true })
			n.BlockPlatform(true)
			continue
		}
		n.BlockPeers(func(a string) bool { return a == addr })
	}
}

// Apply puts a configuration in force, by the operators' own code path, and waits
// until each node has it.
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

// Close stops everything at once.
func (f *Fleet) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), readyWait)
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
	if f.platSrv != nil {
		f.platSrv.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// KeyOf returns the key of a workspace in a default fleet.
func KeyOf(workspace string) string { return "key-of-" + workspace + "-0123456789abcdef" }

// DefaultFleet returns a configuration with the given workspaces, each with one
// key, one class of work, and the plain service.
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
