package vane

import (
	"context"
	"time"
)

// Object is one versioned value of the platform's object API.
type Object struct {
	Key     string
	Version uint64 // of the last write, see [VersionOf]; its revision is zero if the object does not exist
	Value   []byte
	Status  []byte // what the system recorded about the object, on platforms that keep that apart; nil if nothing
	Deleted bool   // the object was deleted; set on watch events only
}

// Batch is the result of a list or a watch.
type Batch struct {
	Revision uint64 // version after which a watch continues, see [VersionOf]
	Objects  []Object
}

// Store is the platform's object API. Implementations are safe for concurrent
// use. Errors are of type [*Error]; KindUnknownOutcome marks a write whose
// response was lost.
type Store interface {
	// Get returns the object. The error is KindNotFound if it does not exist; the object
	// then has a version without a revision.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object has the version expected; one without a revision
	// creates the object. It returns the new version. The error is KindConflict if the
	// object has another version. If the platform came back from a copy meanwhile, the
	// object may have had the same revision with another value; the new version shows that.
	Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Delete removes the object if it has the version expected. The error is
	// KindConflict if it has another version.
	Delete(ctx context.Context, key string, expected uint64) error
	// List returns all objects whose keys start with prefix.
	List(ctx context.Context, prefix string) (Batch, error)
	// Watch waits for changes after the revision and returns them, or an empty
	// batch when the platform ends the wait. After KindCompacted the caller must
	// list again.
	Watch(ctx context.Context, prefix string, after uint64) (Batch, error)
	// Hosts returns the platform's list of upstreams, which lags behind their
	// real state.
	Hosts(ctx context.Context) ([]Upstream, error)
}

// Query asks a [Placer] for an upstream of a model.
type Query struct {
	Model   string
	Version string // version of the weights; empty for any
	Prompt  Prompt
	Exclude []string // names of upstreams that must not be chosen
}

// Pick is the choice of an upstream for one attempt.
type Pick struct {
	Upstream       Upstream
	ExpectedCached int           // prompt tokens expected in the upstream's cache
	Estimate       time.Duration // expected time to the first token
	Rank           int           // position of the upstream in the prompt's order of preference; zero is the first choice
}

// Outcome is what the router observed of an attempt at an upstream.
type Outcome struct {
	TimeToFirstToken time.Duration // counted from RecordSent; zero if there was no token
	CachedTokens     int           // prompt tokens that the upstream found in its cache; negative if not known
}

// Placer chooses upstreams for prompts. Implementations are safe for
// concurrent use.
type Placer interface {
	// Update replaces the set of upstreams that may be chosen.
	Update(now time.Time, ups []Upstream)
	// Pick chooses an upstream. It returns false if none can be chosen.
	Pick(now time.Time, q Query) (Pick, bool)
	// RecordSent records that a request was sent to the picked upstream.
	RecordSent(now time.Time, q Query, p Pick)
	// RecordFirstToken records that the first token of a request arrived.
	RecordFirstToken(now time.Time, q Query, p Pick)
	// RecordDone records the end of a request, with or without a first token.
	RecordDone(now time.Time, q Query, p Pick, o Outcome)
	// RecordFailure records that the upstream failed to serve an attempt.
	RecordFailure(now time.Time, name string)
	// RecordLoad records the load that an upstream reported.
	RecordLoad(now time.Time, name string, l Load)
}

// Reservation is a number of tokens taken from a workspace's budget.
type Reservation interface {
	// Settle returns to the budget the reserved tokens above the number used. It
	// may be called once.
	Settle(used int)
}

// Limiter enforces the rate and the burst of every workspace, in tokens.
type Limiter interface {
	// Reserve takes tokens from the workspace's budget. It waits for them at most
	// until ctx ends. It returns a [*Refusal] if it can't reserve them.
	Reserve(ctx context.Context, workspace string, tokens int) (Reservation, error)
}

// Recorder takes events for the time line. It never blocks.
type Recorder interface {
	Record(e Event)
}
