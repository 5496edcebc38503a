package kernel

import (
	"context"
	"sync"

	vane "mustardvane.org/vane"
)

// Service is a long-running part of the process.
type Service interface {
	// Run does the service's work until ctx ends. It calls ready once other
	// services can use it; further calls of ready have no effect. It returns nil
	// if it ended because ctx ended.
	Run(ctx context.Context, ready func()) error
}

// registration is a registered service and its running state.
type registration struct {
	name   string
	needs  []string // names of the services that must be ready first
	svc    Service
	cancel context.CancelFunc
	done   chan struct{} // closed when Run has returned
	err    error         // result of Run; valid once done is closed
}

// Kernel is a registry of services. All services must be added before Start is called.
type Kernel struct {
	mu       sync.Mutex
	services map[string]*registration
	order    []*registration // all services in start order; set by Start
	started  []*registration
	failed   chan error // holds the first failure only
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]*registration), failed: make(chan error, 1)}
}

// Add registers a service under a name, with the names of the services that must be
// ready before it starts. These may be added later. It returns an error of
// KindInvalid if the name is already registered.
func (k *Kernel) Add(name string, svc Service, needs ...string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return vane.Errorf(vane.KindInvalid, "kernel.add", "give each service its own name", "service %q is already registered", name)
	}
	k.services[name] = &registration{name: name, needs: needs, svc: svc, done: make(chan struct{})}
	return nil
}

// Lookup returns the service of the given name as a T. The error is of KindNotFound
// if there is no service of this name, and of KindInvalid if it is not a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	u, ok := k.services[name]
	if !ok {
		return zero, vane.Errorf(vane.KindNotFound, "kernel.lookup", "register the service before the lookup", "no service %q is registered", name)
	}
	t, ok := u.svc.(T)
	if !ok {
		return zero, vane.Errorf(vane.KindInvalid, "kernel.lookup", "look the service up under its own type", "service %q has type %T", name, u.svc)
	}
	return t, nil
}

// Start starts all services in dependency order and returns when all of them are
// ready. If one fails, those already started are stopped and the error is returned. If
// a dependency is not registered (KindNotFound) or there is a dependency cycle
// (KindInvalid), no service is started.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.startOrder()
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

// start runs one service and waits until it is ready, has ended, or ctx ends. The end of
// ctx later on does not end the service; only Stop does.
func (k *Kernel) start(ctx context.Context, u *registration) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	u.cancel = cancel
	ready := make(chan struct{})
	var once sync.Once
	go func() {
		defer close(u.done)
		u.err = u.svc.Run(run, func() { once.Do(func() { close(ready) }) })
		if u.err != nil {
			k.reportFailure(u)
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
		return vane.Errorf(vane.KindInternal, "kernel.start", "see the log of the service", "service %q ended without an error before it was ready", u.name)
	case <-ctx.Done():
		return vane.Errorf(vane.KindUnavailable, "kernel.start", "allow more time to start", "service %q was not ready within the time to start", u.name).WithCause(ctx.Err())
	}
}

// reportFailure sends the error of a service to the channel of Failed. All but the
// first error are discarded.
func (k *Kernel) reportFailure(u *registration) {
	select {
	case k.failed <- vane.Errorf(vane.KindInternal, "kernel.run", "see the log of the service", "service %q failed", u.name).WithCause(u.err):
	default:
	}
}

// Failed returns a channel that receives the first error that a service's Run returns.
func (k *Kernel) Failed() <-chan error { return k.failed }

// Stop stops the started services in reverse order and waits for each until ctx ends.
// It returns an error that names the first service that had not ended by then.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.started) - 1; i >= 0; i-- {
		u := k.started[i]
		u.cancel()
		select {
		case <-u.done:
		case <-ctx.Done():
			if first == nil {
				first = vane.Errorf(vane.KindUnavailable, "kernel.stop", "allow more time to stop", "service %q did not end within the time to stop", u.name)
			}
		}
	}
	k.started = nil
	return first
}

// Names returns the names of the services in start order. The result is empty before
// Start.
func (k *Kernel) Names() []string {
	names := make([]string, 0, len(k.order))
	for _, u := range k.order {
		names = append(names, u.name)
	}
	return names
}

// startOrder returns the services in an order in which each follows those that it
// depends on. Of the possible orders, it chooses the same one at each call, by name.
func (k *Kernel) startOrder() ([]*registration, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := topoSorter{services: k.services, state: make(map[string]visitState)}
	for _, name := range sortedNames(k.services) {
		if err := s.visit(name, ""); err != nil {
			return nil, err
		}
	}
	return s.out, nil
}
