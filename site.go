package vane

import (
	"time"
)

// RouteKind classifies routes by whether their requests may be repeated.
type RouteKind int

// The kinds of routes.
const (
	RouteUnsafe RouteKind = iota // unsafe
	RouteSafe                    // safe
	RouteStream                  // stream
)

// WeightedService is a service that receives a share of a route's traffic.
type WeightedService struct {
	Service string  // name of the service
	Weight  float64 // share relative to the weights of the route's other services
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          RouteKind
	Resumable     bool              // an interrupted stream can be resumed at another upstream
	Timeout       time.Duration     // time limit until the end of the response; zero if the route states none
	LatencyTarget time.Duration     // responses that take no longer count as on time
	MaxAttempts   int               // attempts of one request that may have run at an upstream, at most
	Priority      int               // 0 is the highest
	Public        bool              // no API key is required
	HasPrompts    bool              // requests carry prompts with shared parts
	Services      []WeightedService // at least one
	Regions       []string          // regions to whose upstreams requests may be sent; empty for all
}

// Idempotent reports whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name            string
	HealthPath      string   // path of the health check of an upstream
	MaxConns        int      // connections that one upstream accepts from all nodes together
	Models          []string // served models; empty for a plain service
	Slots           int      // requests that an engine batches at once; zero for a plain service
	CacheAddr       string   // address of the cache store; empty for other services
	CacheDataCentre string   // data centre of the cache store
	CacheTokens     int      // capacity of one engine's cache or of the cache store, in tokens
	LinkMbps        float64  // bandwidth of one engine's link or of the cache store's, in Mbit/s
	TokenBytes      float64  // size of one cached token in bytes
	MaxCacheWatches int      // pending calls for cache changes that one cache accepts at once

	ColdStart time.Duration // time for which an upstream is cold after its start; zero if upstreams do not start cold
	ColdRate  float64       // requests a second that a cold upstream tolerates
}

// Quota limits a workspace's traffic over all nodes. A unit is a request or a
// token.
type Quota struct {
	Rate          float64 // units per second; zero for no limit
	Burst         float64 // units
	CountsTokens  bool    // units are tokens; otherwise requests
	DefaultTokens int     // tokens charged for a request that states no token counts
}

// Cost returns the units that a request is charged.
func (q Quota) Cost(m RequestMeta) float64 {
	if !q.CountsTokens {
		return 1
	}
	return float64(m.ChargedTokens(q.DefaultTokens))
}

// WorkspaceConfig is the configuration of one workspace.
type WorkspaceConfig struct {
	Workspace   string   // name of the workspace
	Keys        []string // API keys that belong to the workspace
	Priority    int      // 0 is the highest; valid if HasPriority is set
	HasPriority bool     // the configuration states Priority
	Isolated    bool     // cached prompt parts are not shared with other workspaces
	Quota       Quota
	Regions     []string // regions to whose upstreams requests may be sent; empty for all
}

// CallerLimits limits what callers may send. Sizes are in bytes.
type CallerLimits struct {
	HeaderBytes   int           // size of the request's headers
	BodyBytes     int64         // size of the request's body
	HeaderTimeout time.Duration // time to read the request's headers
	IdleTimeout   time.Duration // time that a connection may stay idle between requests
}

// TargetWeights is the version of the weights that a model must be served with.
type TargetWeights struct {
	Model   string
	Version uint64
}

// PeerRecord is what a node publishes about itself to the other nodes.
type PeerRecord struct {
	Name       string  `json:"name"`
	Mesh       string  `json:"mesh"`    // address for messages between nodes
	Callers    string  `json:"callers"` // address for callers
	DataCentre string  `json:"data_centre"`
	Boot       uint64  `json:"boot"`      // differs between starts of the node
	LinkMbps   float64 `json:"link_mbps"` // bandwidth of the host's network link in Mbit/s; zero if not known
}
