package vane

import (
	"context"
	"time"
)

// Object is one versioned value of the platform's object API.
type Object struct {
	Key     string
	Version uint64 // platform revision of the last write; zero if absent
	Value   []byte
	Deleted bool // set on watch events only
}

// Batch is what a list or a watch answered.
type Batch struct {
	Revision uint64 // resume a watch after this revision
	Objects  []Object
}

// Store is the platform's object API. Implementations are safe for concurrent
// use. Errors are of type [*Error]; KindUnknown marks a write whose answer was
// lost.
type Store interface {
	// Get returns the object, or KindNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is still want; want zero
	// creates it. It returns the new version, or KindConflict.
	Put(ctx context.Context, key string, want uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is still want.
	Delete(ctx context.Context, key string, want uint64) error
	// List returns all objects whose keys start with prefix.
	List(ctx context.Context, prefix string) (Batch, error)
	// Watch waits for changes after the revision and returns them, or an empty
	// batch when the platform's own wait time is over. KindCompacted asks the
	// caller to list again.
	Watch(ctx context.Context, prefix string, after uint64) (Batch, error)
	// Hosts returns the platform's lagging list of upstreams.
	Hosts(ctx context.Context) ([]Upstream, error)
}

// Query asks for an upstream of a model.
type Query struct {
	Model   string
	Version string // of the weights; empty for any
	Prompt  Prompt
	Exclude []string // names of upstreams that are not to be chosen
}

// Pick is the choice of an upstream for one attempt.
type Pick struct {
	Upstream       Upstream
	ExpectedCached int           // prompt tokens expected in the upstream's cache
	Estimate       time.Duration // expected time to the first token
	Rank           int           // position in the prompt's order of preference
}

// Outcome is what an attempt showed about an upstream.
type Outcome struct {
	TimeToFirstToken time.Duration // from Sent to the first token; zero if there was none
	CachedTokens     int           // prompt tokens found in the cache; negative if not known
}

// Placer chooses upstreams for prompts. Implementations are safe for
// concurrent use.
type Placer interface {
	// Update replaces the set of upstreams that may be chosen.
	Update(now time.Time, ups []Upstream)
	// Pick chooses an upstream. It returns false if there is none.
	Pick(now time.Time, q Query) (Pick, bool)
	// Sent notes that a request went to the picked upstream.
	Sent(now time.Time, q Query, p Pick)
	// First notes the first token of a request.
	First(now time.Time, q Query, p Pick)
	// Done notes the end of a request, with or without a first token.
	Done(now time.Time, q Query, p Pick, o Outcome)
	// Failed notes that the upstream did not serve an attempt.
	Failed(now time.Time, name string)
	// Report notes what an upstream said about its load.
	Report(now time.Time, name string, l Load)
}

// Reservation is a number of tokens taken from a workspace's budget.
type Reservation interface {
	// Settle gives back what was reserved and not used. It may be called once.
	Settle(used int)
}

// Limiter holds every workspace to its rate and burst in tokens.
type Limiter interface {
	// Reserve takes tokens of the workspace, waiting until the context ends at
	// most. It returns a [*Refusal] if the tokens can't be had.
	Reserve(ctx context.Context, workspace string, tokens int) (Reservation, error)
}

// Recorder takes events for the time line. It never blocks.
type Recorder interface {
	Record(e Event)
}
