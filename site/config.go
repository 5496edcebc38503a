package site

import (
	"net"
	"strings"

	vane "mustardvane.org/vane"
)

// Config is one version of the configuration. It is immutable and safe for
// concurrent use.
type Config struct {
	Version          uint64                 // version of the configuration, as passed to New
	Limits           vane.CallerLimits      // limits on what callers may send
	routesByHost     map[string]*hostRoutes // by lower-case host
	servicesByName   map[string]vane.Service
	workspacesByKey  map[string]vane.WorkspaceConfig
	workspacesByName map[string]vane.WorkspaceConfig
	cacheStore       vane.Service
}

// Option adds a part to a configuration that New builds.
type Option func(*Config)

// WithRoutes adds routes.
func WithRoutes(routes ...vane.Route) Option {
	return func(c *Config) {
		for _, r := range routes {
			h := strings.ToLower(r.Host)
			if c.routesByHost[h] == nil {
				c.routesByHost[h] = &hostRoutes{bySlash: make(map[string]vane.Route)}
			}
			c.routesByHost[h].add(r)
		}
	}
}

// WithServices adds services.
func WithServices(services ...vane.Service) Option {
	return func(c *Config) {
		for _, s := range services {
			c.servicesByName[s.Name] = s
			if s.CacheAddr != "" {
				c.cacheStore = s
			}
		}
	}
}

// WithWorkspaces adds workspaces.
func WithWorkspaces(workspaces ...vane.WorkspaceConfig) Option {
	return func(c *Config) {
		for _, w := range workspaces {
			c.workspacesByName[w.Workspace] = w
			for _, k := range w.Keys {
				c.workspacesByKey[k] = w
			}
		}
	}
}

// WithLimits sets the limits on what callers may send.
func WithLimits(l vane.CallerLimits) Option { return func(c *Config) { c.Limits = l } }

// New returns a configuration with the given version and parts.
func New(version uint64, opts ...Option) *Config {
	c := &Config{
		Version: version, routesByHost: make(map[string]*hostRoutes), servicesByName: make(map[string]vane.Service),
		workspacesByKey: make(map[string]vane.WorkspaceConfig), workspacesByName: make(map[string]vane.WorkspaceConfig),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Match returns the route of a request, and false if the host has no route for the
// path. The host may include a port.
func (c *Config) Match(host, path string) (vane.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	h, ok := c.routesByHost[strings.ToLower(host)]
	if !ok {
		return vane.Route{}, false
	}
	return h.match(path)
}

// Service returns the service with the given name, and false if there is none.
func (c *Config) Service(name string) (vane.Service, bool) {
	s, ok := c.servicesByName[name]
	return s, ok
}

// CacheStore returns the service that is the cache store, and false if there is none.
func (c *Config) CacheStore() (vane.Service, bool) { return c.cacheStore, c.cacheStore.CacheAddr != "" }

// WorkspaceByKey returns the workspace that the API key belongs to, and false if
// there is none. An empty key belongs to no workspace.
func (c *Config) WorkspaceByKey(key string) (vane.WorkspaceConfig, bool) {
	w, ok := c.workspacesByKey[key]
	return w, ok && key != ""
}

// Workspace returns the workspace with the given name, and false if there is none.
func (c *Config) Workspace(name string) (vane.WorkspaceConfig, bool) {
	w, ok := c.workspacesByName[name]
	return w, ok
}

// RequiresKeys reports whether routes that are not public require an API key. They
// do if the configuration has at least one workspace.
func (c *Config) RequiresKeys() bool { return len(c.workspacesByName) > 0 }

// Workspaces returns all workspaces in no particular order.
func (c *Config) Workspaces() []vane.WorkspaceConfig {
	out := make([]vane.WorkspaceConfig, 0, len(c.workspacesByName))
	for _, w := range c.workspacesByName {
		out = append(out, w)
	}
	return out
}
