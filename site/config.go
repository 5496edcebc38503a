package site

import (
	"net"
	"slices"
	"strings"

	vane "mustardvane.org/vane"
)

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Limits   vane.CallerLimits
	byHost   map[string][]vane.Route // longest prefix first
	services map[string]vane.Service
	byKey    map[string]vane.WorkspaceConfig
	byName   map[string]vane.WorkspaceConfig
	cache    vane.Service
}

// Option adds to a configuration under construction.
type Option func(*Config)

// WithRoutes adds routes.
func WithRoutes(routes ...vane.Route) Option {
	return func(c *Config) {
		for _, r := range routes {
			h := strings.ToLower(r.Host)
			c.byHost[h] = append(c.byHost[h], r)
		}
	}
}

// WithServices adds services.
func WithServices(services ...vane.Service) Option {
	return func(c *Config) {
		for _, s := range services {
			c.services[s.Name] = s
			if s.CacheAddr != "" {
				c.cache = s
			}
		}
	}
}

// WithWorkspaces adds workspaces.
func WithWorkspaces(ts ...vane.WorkspaceConfig) Option {
	return func(c *Config) {
		for _, t := range ts {
			c.byName[t.Workspace] = t
			for _, k := range t.Keys {
				c.byKey[k] = t
			}
		}
	}
}

// WithLimits bounds what callers may send.
func WithLimits(l vane.CallerLimits) Option { return func(c *Config) { c.Limits = l } }

// New returns a configuration.
func New(version uint64, opts ...Option) *Config {
	c := &Config{
		Version: version, byHost: make(map[string][]vane.Route), services: make(map[string]vane.Service),
		byKey: make(map[string]vane.WorkspaceConfig), byName: make(map[string]vane.WorkspaceConfig),
	}
	for _, o := range opts {
		o(c)
	}
	for _, rs := range c.byHost {
		slices.SortStableFunc(rs, func(a, b vane.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return c
}

// Match returns the route of a request. The host may carry a port.
func (c *Config) Match(host, path string) (vane.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return vane.Route{}, false
}

// Service returns the service of the name.
func (c *Config) Service(name string) (vane.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// CacheStore returns the cache store, if there is one.
func (c *Config) CacheStore() (vane.Service, bool) { return c.cache, c.cache.CacheAddr != "" }

// WorkspaceByKey returns the workspace that holds the key.
func (c *Config) WorkspaceByKey(key string) (vane.WorkspaceConfig, bool) {
	t, ok := c.byKey[key]
	return t, ok && key != ""
}

// Workspace returns the workspace of the name.
func (c *Config) Workspace(name string) (vane.WorkspaceConfig, bool) {
	t, ok := c.byName[name]
	return t, ok
}

// RequiresKeys says whether requests need keys at all.
func (c *Config) RequiresKeys() bool { return len(c.byName) > 0 }

// Workspaces returns all workspaces, in no order.
func (c *Config) Workspaces() []vane.WorkspaceConfig {
	out := make([]vane.WorkspaceConfig, 0, len(c.byName))
	for _, t := range c.byName {
		out = append(out, t)
	}
	return out
}
