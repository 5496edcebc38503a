package vane

import (
	"context"
	"net/http"
	"time"
)

// PromptPart is one identified part of a prompt. Prompts that start with the same
// parts share them in the engines' caches.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestMeta is what a caller's headers say about a routed request.
type RequestMeta struct {
	ID              string        // the caller's name for this attempt
	Key             string        // empty if none was sent
	Model           string        // empty for plain services
	Parts           []PromptPart  // the prompt, in order; the last one is the request's own
	PromptTokens    int           // prompt tokens
	MaxOutputTokens int           // generated tokens at most
	HasTokenCounts  bool          // Prompt and Output were stated
	TimeLimit       time.Duration // how long the caller waits; zero if not stated
	LastEventID     string        // the stream goes on after this event; empty for a new one
}

// ChargedTokens returns the tokens that the request is charged, or plain if it does not
// state its size.
func (m RequestMeta) ChargedTokens(plain int) int {
	if !m.HasTokenCounts {
		return plain
	}
	return m.PromptTokens + m.MaxOutputTokens
}

// Forward is what the router states when it sends a request to an upstream.
type Forward struct {
	Workspace   string        // empty on public routes
	TimeLimit   time.Duration // what is left of the caller's time
	Upstream    string        // name of the upstream that is meant
	Weights     uint64        // weights that are expected; zero for any
	Priority    int           // 0 is served first; negative for none
	CacheSalt   string        // parts are shared only under equal salts
	FetchFrom   string        // address of a cache that may hold parts; empty for none
	SaveTo      string        // address of the cache store to save parts to; empty for none
	LastEventID string        // resume after this event; empty for the whole stream
}

// ResponseMeta is what an upstream's answer says beside its body.
type ResponseMeta struct {
	ID            string // of the request that is answered
	Signed        bool   // the answer is the upstream's own
	NotRun        bool   // the upstream states that the request did not run
	WrongUpstream bool   // another upstream has the address
	Load          Load
	Slots         int
	HasLoad       bool
	Weights       uint64 // zero if not stated
}

// Dialect translates between HTTP headers and the values above. An
// implementation decides nothing.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestMeta
	// UpstreamHeader returns the headers for an upstream: those of the caller without
	// the ones that belong to the router, and those that f states.
	UpstreamHeader(h http.Header, f Forward) http.Header
	// ParseResponse reads the headers of an upstream's answer.
	ParseResponse(status int, h http.Header) ResponseMeta
	// ParseEventWeights reads the number of weights from a line of an event. It returns
	// zero if the line states none.
	ParseEventWeights(line []byte) uint64
}

// WeightsOrder asks an engine to load weights.
type WeightsOrder struct {
	Model          string
	Weights        uint64
	Holder         string // name of the node that holds the lease
	Fence          uint64 // fencing number of the lease
	ExpectedOrders uint64 // number of orders that the engine has accepted so far
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// The answers to orders.
const (
	OrderUnknown       OrderResult = iota // unknown
	OrderAccepted                         // accepted
	OrderAlreadyLoaded                    // holds
	OrderBusy                             // busy
	OrderFenced                           // fenced
	OrderWrongUpstream                    // wrong_upstream
	OrderInvalid                          // invalid
)

// EngineReport is an engine's own account of its state.
type EngineReport struct {
	Weights        map[string]uint64 // by model
	Busy           bool              // an order is being carried out
	AcceptedOrders uint64            // number of accepted orders
	Load           Load
	At             time.Time // when the report was asked for
}

// CacheEvent is one change of a cache's contents.
type CacheEvent struct {
	Added  bool
	Salt   string
	PartID string
	Tokens int // tokens stored now
}

// CacheChanges is what a cache answered to a call for its changes.
type CacheChanges struct {
	Epoch  uint64 // changes when the cache lost everything
	Next   uint64 // pass to the next call
	Gap    bool   // events before these were lost
	Events []CacheEvent
}

// EngineControl is the side of engines and caches that takes no requests.
type EngineControl interface {
	// Order sends an order to load weights. An error leaves open whether the
	// engine will carry it out.
	Order(ctx context.Context, u Upstream, o WeightsOrder) (OrderResult, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, u Upstream) (EngineReport, error)
	// CacheContents returns everything that a cache holds, as events that add it.
	CacheContents(ctx context.Context, addr string) (CacheChanges, error)
	// CacheChanges waits for changes of a cache after the event number since.
	CacheChanges(ctx context.Context, addr string, since uint64) (CacheChanges, error)
}
