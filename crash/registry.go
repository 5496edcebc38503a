package crash

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
)

// Limits of the registry.
const (
	maxCrashes   = 2         // number of crashes from which on a request is refused
	registrySize = 1 << 14   // largest number of requests with crashes that are remembered
	reportTTL    = time.Hour // time after the last report of a request at which its reports are dropped
)

// RequestKey identifies requests with the same content in a workspace.
type RequestKey struct {
	Workspace   string
	Fingerprint uint64 // hash of the content
}

// Report says that an upstream crashed while it ran a request.
type Report struct {
	Request     RequestKey
	Upstream    string
	Incarnation uint64 // incarnation of the process that crashed
}

// entry holds the reports of one request.
type entry struct {
	reports      []Report
	lastReportAt time.Time
}

// Registry records the crashes of upstreams by request. It is safe for concurrent use.
type Registry struct {
	rec            vane.Recorder
	broadcastCrash func(Report)
	broadcastClear func(RequestKey)

	mu      sync.Mutex
	entries *lru.LRU[RequestKey, *entry]
}

// Option configures a registry.
type Option func(*Registry)

// WithBroadcast sets functions that tell the other nodes of crashes and of cleared
// requests that this node saw. Without it they are not told.
func WithBroadcast(crash func(Report), clear func(RequestKey)) Option {
	return func(b *Registry) { b.broadcastCrash, b.broadcastClear = crash, clear }
}

// NewRegistry returns an empty registry that sends its events to rec.
func NewRegistry(rec vane.Recorder, opts ...Option) *Registry {
	m, _ := lru.NewLRU[RequestKey, *entry](registrySize, nil)
	b := &Registry{rec: rec, entries: m, broadcastCrash: func(Report) {}, broadcastClear: func(RequestKey) {}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Check returns a [*vane.Refusal] if the request has crashed too many upstreams, else nil.
func (b *Registry) Check(ws string, fp uint64) error {
	n := b.crashes(RequestKey{ws, fp})
	if n < maxCrashes {
		return nil
	}
	return vane.Refuse(vane.ReasonSuspectRequest,
		"%d upstreams crashed while they ran this request; it is not run again, so change its content", n)
}

// crashes returns the number of crashes during which the request was running. It drops
// the reports if they have expired.
func (b *Registry) crashes(n RequestKey) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries.Get(n)
	if !ok {
		return 0
	}
	if time.Since(e.lastReportAt) > reportTTL {
		b.entries.Remove(n)
		return 0
	}
	return len(e.reports)
}

// RefusedCount returns the number of remembered requests that have reached the maximum
// number of crashes. It includes requests whose reports have expired but were not dropped
// yet.
func (b *Registry) RefusedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.entries.Values() {
		if len(e.reports) >= maxCrashes {
			n++
		}
	}
	return n
}

// Lost records that the upstream crashed while this node had the request running
// on it, and tells the other nodes.
func (b *Registry) Lost(ws string, fp uint64, u vane.Upstream) {
	s := Report{Request: RequestKey{ws, fp}, Upstream: u.Name, Incarnation: u.Incarnation}
	if b.Add(s) {
		b.broadcastCrash(s)
	}
}

// Add adds a report of this node or another one. It returns false if the registry has the
// same report already.
func (b *Registry) Add(s Report) bool {
	b.mu.Lock()
	e, ok := b.entries.Get(s.Request)
	if !ok {
		e = &entry{}
		b.entries.Add(s.Request, e)
	}
	for _, c := range e.reports {
		if c == s {
			b.mu.Unlock()
			return false
		}
	}
	e.reports = append(e.reports, s)
	e.lastReportAt = time.Now()
	n := len(e.reports)
	b.mu.Unlock()
	b.rec.Record(vane.Event{
		Kind: vane.EventRequestSuspect, Reason: vane.ReasonSuspectRequest, Workspace: s.Request.Workspace,
		Subject: s.Upstream, Observed: float64(n), Threshold: maxCrashes,
	})
	return true
}

// Answered clears a request that got a complete answer, and tells the other nodes.
func (b *Registry) Answered(ws string, fp uint64) {
	n := RequestKey{ws, fp}
	if b.Clear(n) {
		b.broadcastClear(n)
	}
}

// Clear removes all reports of a request. It returns false if there are none.
func (b *Registry) Clear(n RequestKey) bool {
	b.mu.Lock()
	ok := b.entries.Remove(n)
	b.mu.Unlock()
	if ok {
		b.rec.Record(vane.Event{Kind: vane.EventRequestCleared, Workspace: n.Workspace})
	}
	return ok
}
