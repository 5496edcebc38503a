package vane

import (
	"context"
	"net/http"
	"time"
)

// PromptPart is one identified part of a prompt. Prompts that start with the
// same parts share the cache entries of those parts in the engines.
type PromptPart struct {
	ID     string
	Tokens int // length of the part in tokens
}

// RequestMeta holds what the headers of a caller's request state.
type RequestMeta struct {
	ID              string        // request ID, chosen by the caller for this attempt
	Key             string        // API key; empty if none was sent
	Model           string        // empty for plain services
	Parts           []PromptPart  // parts of the prompt in order; the last one is not shared with other requests
	PromptTokens    int           // length of the prompt in tokens
	MaxOutputTokens int           // upper bound of the generated tokens
	HasTokenCounts  bool          // the caller stated PromptTokens and MaxOutputTokens
	TimeLimit       time.Duration // how long the caller waits; zero if not stated
	LastEventID     string        // resume the stream after this event; empty for a new stream
}

// ChargedTokens returns the number of tokens that the request is charged: prompt
// and maximum output, or defaultTokens if the caller did not state them.
func (m RequestMeta) ChargedTokens(defaultTokens int) int {
	if !m.HasTokenCounts {
		return defaultTokens
	}
	return m.PromptTokens + m.MaxOutputTokens
}

// Forward holds what the router states in the headers of a request that it sends
// to an upstream.
type Forward struct {
	Workspace   string        // empty on public routes
	TimeLimit   time.Duration // time left until the request's deadline
	Upstream    string        // name of the upstream that must serve the request
	Weights     uint64        // version of the weights that must serve the request; zero for any
	Priority    int           // 0 is the highest; negative for none
	CacheSalt   string        // requests share cached prompt parts only if their salts are equal
	FetchFrom   string        // address of a cache that may hold parts of the prompt; empty for none
	SaveTo      string        // address of the cache store that the parts are saved to; empty for none
	LastEventID string        // resume the stream after this event; empty for the whole stream
}

// ResponseMeta holds what the status and the headers of an upstream's response
// state.
type ResponseMeta struct {
	ID            string // ID of the request that the response belongs to
	Signed        bool   // the response carries an upstream's signature
	NotRun        bool   // the upstream states that the request did not run
	WrongUpstream bool   // the request reached another upstream than the one it names
	Load          Load   // valid if HasLoad is set
	Slots         int    // requests that the upstream batches at once; zero if not stated
	HasLoad       bool   // the response states at least one value of Load; the others are zero
	Weights       uint64 // version of the weights that served the request; zero if not stated
	Leaving       bool   // the upstream states that it is about to stop
	// RetryAfter is the time for which an upstream that refused the request wants no
	// further one from this node. It is zero if the upstream states none.
	RetryAfter time.Duration
}

// Dialect translates between the headers of a platform and the values above. An
// implementation makes no routing decisions.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestMeta
	// UpstreamHeader returns the headers of the request to an upstream. These are
	// the caller's headers h without those that only the router may set, and the
	// headers that state f.
	UpstreamHeader(h http.Header, f Forward) http.Header
	// ParseResponse reads the status and the headers of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseMeta
	// ParseEventWeights reads the version of the weights from one line of a
	// server-sent event. It returns zero if the line states none.
	ParseEventWeights(line []byte) uint64
}

// WeightsOrder asks an engine to load weights.
type WeightsOrder struct {
	Model          string
	Weights        uint64 // version to load
	Holder         string // name of the node that holds the lease
	Fence          uint64 // fencing number of the lease
	ExpectedOrders uint64 // orders that the engine has accepted, as far as the node knows; the engine refuses the order if its own count differs
}

// OrderResult is an engine's response to a [WeightsOrder].
type OrderResult int

// The results of orders.
const (
	OrderUnknown       OrderResult = iota // unknown
	OrderAccepted                         // accepted
	OrderAlreadyLoaded                    // holds
	OrderBusy                             // busy
	OrderFenced                           // fenced
	OrderWrongUpstream                    // wrong_upstream
	OrderInvalid                          // invalid
)

// EngineReport is the state that an engine reports of itself.
type EngineReport struct {
	Weights        map[string]uint64 // version of the loaded weights by model
	Busy           bool              // the engine is carrying out an order
	AcceptedOrders uint64            // number of orders accepted so far
	Load           Load
	At             time.Time // when the node asked for the report
}

// CacheEvent is one change of a cache's contents.
type CacheEvent struct {
	Added  bool   // the part was added to the cache; false if it was removed
	Salt   string // cache salt of the part
	PartID string
	Tokens int // tokens of the part that the cache now holds
}

// CacheChanges is a cache's response to a request for its changes.
type CacheChanges struct {
	Epoch  uint64 // changes when the cache has lost all its contents
	Next   uint64 // position to pass to the next call
	Gap    bool   // changes between the requested position and Events are no longer available
	Events []CacheEvent
}

// ColdProber asks upstreams whether they are cold. The interface is optional for an
// [EngineControl].
type ColdProber interface {
	// ColdLeft returns how much longer the upstream stays cold, by its health check. It returns
	// false if the response does not state it or is that of another upstream. The error says
	// that there was no response.
	ColdLeft(ctx context.Context, u Upstream, healthPath string) (time.Duration, bool, error)
}

// EngineControl is the management interface of engines and caches.
type EngineControl interface {
	// Order sends an order to load weights. After an error it is not known whether
	// the engine carries the order out.
	Order(ctx context.Context, u Upstream, o WeightsOrder) (OrderResult, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, u Upstream) (EngineReport, error)
	// Process asks an engine or a plain service for its incarnation, which is zero if it states
	// none. The state is ProcessReplaced if another upstream answers. healthPath is the path
	// of the health check of a plain service.
	Process(ctx context.Context, u Upstream, healthPath string) (uint64, ProcessState)
	// Load asks an upstream for its load, with a request for the path of its health check. It
	// returns false if the upstream does not state it.
	Load(ctx context.Context, u Upstream, healthPath string) (Load, bool)
	// CacheContents returns all parts that a cache holds, each as an event that adds it.
	CacheContents(ctx context.Context, addr string) (CacheChanges, error)
	// CacheChanges waits for changes of a cache after the position since.
	CacheChanges(ctx context.Context, addr string, since uint64) (CacheChanges, error)
}
