package kernel

import (
	"context"
	"sync"

	vane "mustardvane.org/vane"
)

// Service is a task with a life cycle.
type Service interface {
	// Run does the service's work until ctx ends. It calls ready once, when
	// other services can use it. It returns nil on a planned stop.
	Run(ctx context.Context, ready func()) error
}

// unit is a registered service and its running state.
type unit struct {
	name   string
	needs  []string
	svc    Service
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Kernel is a registry of services. Add services first, then Start.
type Kernel struct {
	mu      sync.Mutex
	units   map[string]*unit
	order   []*unit // start order
	started []*unit
	failed  chan error
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{units: make(map[string]*unit), failed: make(chan error, 1)}
}

// Add registers a service under a name with the names of the services that
// must be ready before it starts.
func (k *Kernel) Add(name string, svc Service, needs ...string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.units[name]; ok {
		return vane.Errorf(vane.KindInvalid, "kernel.add", "give each service its own name", "service %q is registered twice", name)
	}
	k.units[name] = &unit{name: name, needs: needs, svc: svc, done: make(chan struct{})}
	return nil
}

// Lookup returns the service of the given name and type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	u, ok := k.units[name]
	if !ok {
		return zero, vane.Errorf(vane.KindNotFound, "kernel.lookup", "register it before the lookup", "no service %q", name)
	}
	t, ok := u.svc.(T)
	if !ok {
		return zero, vane.Errorf(vane.KindInvalid, "kernel.lookup", "look it up under its own type", "service %q has type %T", name, u.svc)
	}
	return t, nil
}

// Start starts all services in dependency order and returns when every one is
// ready. If one fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.sorted()
	if err != nil {
		return err
	}
	k.order = order
	for _, u := range order {
		if err := k.start(ctx, u); err != nil {
			k.Stop(ctx)
			return err
		}
	}
	return nil
}

// start runs one service and waits until it is ready or has failed.
func (k *Kernel) start(ctx context.Context, u *unit) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	u.cancel = cancel
	ready := make(chan struct{})
	var once sync.Once
	go func() {
		defer close(u.done)
		u.err = u.svc.Run(run, func() { once.Do(func() { close(ready) }) })
		if u.err != nil {
			k.report(u)
		}
	}()
	k.started = append(k.started, u)
	select {
	case <-ready:
		return nil
	case <-u.done:
		if u.err != nil {
			return u.err
		}
		return vane.Errorf(vane.KindInternal, "kernel.start", "see the log of the service", "service %q ended before it was ready", u.name)
	case <-ctx.Done():
		return vane.Errorf(vane.KindUnavailable, "kernel.start", "allow more time to start", "service %q is not ready", u.name).WithCause(ctx.Err())
	}
}

// report publishes the first failure of a running service.
func (k *Kernel) report(u *unit) {
	select {
	case k.failed <- vane.Errorf(vane.KindInternal, "kernel.run", "see the log of the service", "service %q failed", u.name).WithCause(u.err):
	default:
	}
}

// Failed returns the channel on which the first failure of a running service
// arrives.
func (k *Kernel) Failed() <-chan error { return k.failed }

// Stop stops the started services in reverse order. Each has until the end of
// ctx to return.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.started) - 1; i >= 0; i-- {
		u := k.started[i]
		u.cancel()
		select {
		case <-u.done:
		case <-ctx.Done():
			if first == nil {
				first = vane.Errorf(vane.KindUnavailable, "kernel.stop", "allow more time to stop", "service %q has not ended", u.name)
			}
		}
	}
	k.started = nil
	return first
}

// Names returns the names of the services in start order.
func (k *Kernel) Names() []string {
	names := make([]string, 0, len(k.order))
	for _, u := range k.order {
		names = append(names, u.name)
	}
	return names
}

// sorted returns the services so that each follows those it needs. Services
// that are free of each other stand in order of their names.
func (k *Kernel) sorted() ([]*unit, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := sorter{units: k.units, state: make(map[string]mark)}
	for _, name := range sortedNames(k.units) {
		if err := s.visit(name, ""); err != nil {
			return nil, err
		}
	}
	return s.out, nil
}
