package vane

import (
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind int

// The kinds of routes.
const (
	RouteUnsafe RouteKind = iota // unsafe
	RouteSafe                    // safe
	RouteStream                  // stream
)

// WeightedService is a part of a route's traffic.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          RouteKind
	Resumable     bool              // a stream may go on at another upstream
	Timeout       time.Duration     // longest time until the answer ends; zero for none
	LatencyTarget time.Duration     // answers within it are on time
	MaxAttempts   int               // upstreams that one request may run on
	Priority      int               // 0 is the highest
	Public        bool              // no key is needed
	HasPrompts    bool              // requests carry prompts with shared parts
	Services      []WeightedService // at least one
}

// Idempotent says whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name            string
	MaxConns        int      // connections that one upstream accepts from all nodes
	Models          []string // served models; empty for a plain service
	Slots           int      // requests that an engine batches; zero for a plain service
	CacheAddr       string   // address of the cache store; empty for other services
	CacheDataCentre string   // data centre of the cache store
	CacheTokens     int      // tokens that one engine or the cache store holds
	LinkMbps        float64  // of one engine or the cache store
	TokenBytes      float64  // size of a cached token
	MaxCacheWatches int      // calls for cache changes that one cache holds at once
}

// Quota is a workspace's bound over all nodes.
type Quota struct {
	Rate          float64 // units a second; zero for no bound
	Burst         float64 // units
	CountsTokens  bool    // units are tokens rather than requests
	DefaultTokens int     // tokens charged for a request that states no size
}

// Cost returns the units that a request is charged.
func (q Quota) Cost(m RequestMeta) float64 {
	if !q.CountsTokens {
		return 1
	}
	return float64(m.ChargedTokens(q.DefaultTokens))
}

// WorkspaceConfig is one workspace of a site.
type WorkspaceConfig struct {
	Workspace   string
	Keys        []string
	Priority    int
	HasPriority bool // Priority was stated
	Isolated    bool // shares no cached parts with other workspaces
	Quota       Quota
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TargetWeights are the weights that a model is to be served with.
type TargetWeights struct {
	Model   string
	Version uint64
}

// PeerRecord is how a node makes itself known to the others.
type PeerRecord struct {
	Name       string  `json:"name"`
	Mesh       string  `json:"mesh"`    // address for messages between nodes
	Callers    string  `json:"callers"` // address for callers
	DataCentre string  `json:"data_centre"`
	Boot       uint64  `json:"boot"`      // differs between starts of the node
	LinkMbps   float64 `json:"link_mbps"` // of the host's network link; zero if not known
}
