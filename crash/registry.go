package crash

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
)

// Limits of the registry.
const (
	maxCrashes   = 2         // number of crashes after which a request is refused
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
	return func(r *Registry) { r.broadcastCrash, r.broadcastClear = crash, clear }
}

// NewRegistry returns an empty registry that sends its events to rec.
func NewRegistry(rec vane.Recorder, opts ...Option) *Registry {
	m, _ := lru.NewLRU[RequestKey, *entry](registrySize, nil)
	r := &Registry{rec: rec, entries: m, broadcastCrash: func(Report) {}, broadcastClear: func(RequestKey) {}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Check returns a [*vane.Refusal] if the request has crashed too many upstreams, else nil.
func (r *Registry) Check(ws string, fp uint64) error {
	n := r.crashes(RequestKey{ws, fp})
	if n < maxCrashes {
		return nil
	}
	return vane.Refuse(vane.ReasonSuspectRequest,
		"%d upstreams crashed while they ran this request; it is not run again, so change its content", n)
}

// crashes returns the number of crashes during which the request was running. It drops
// the reports if they have expired.
func (r *Registry) crashes(key RequestKey) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries.Get(key)
	if !ok {
		return 0
	}
	if time.Since(e.lastReportAt) > reportTTL {
		r.entries.Remove(key)
		return 0
	}
	return len(e.reports)
}

// RefusedCount returns the number of remembered requests that have reached the maximum
// number of crashes. It includes requests whose reports have expired but were not dropped
// yet.
func (r *Registry) RefusedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries.Values() {
		if len(e.reports) >= maxCrashes {
			n++
		}
	}
	return n
}

// RecordCrash records that the upstream crashed while this node had the request running
// on it, and tells the other nodes.
func (r *Registry) RecordCrash(ws string, fp uint64, u vane.Upstream) {
	s := Report{Request: RequestKey{ws, fp}, Upstream: u.Name, Incarnation: u.Incarnation}
	if r.Add(s) {
		r.broadcastCrash(s)
	}
}

// Add adds a report of this node or another one. It returns false if the registry has the
// same report already.
func (r *Registry) Add(s Report) bool {
	r.mu.Lock()
	e, ok := r.entries.Get(s.Request)
	if !ok {
		e = &entry{}
		r.entries.Add(s.Request, e)
	}
	for _, c := range e.reports {
		if c == s {
			r.mu.Unlock()
			return false
		}
	}
	e.reports = append(e.reports, s)
	e.lastReportAt = time.Now()
	n := len(e.reports)
	r.mu.Unlock()
	r.rec.Record(vane.Event{
		Kind: vane.EventRequestSuspect, Reason: vane.ReasonSuspectRequest, Workspace: s.Request.Workspace,
		Subject: s.Upstream, Observed: float64(n), Threshold: maxCrashes,
	})
	return true
}

// RecordSuccess clears a request that got a complete answer, and tells the other nodes.
func (r *Registry) RecordSuccess(ws string, fp uint64) {
	key := RequestKey{ws, fp}
	if r.Clear(key) {
		r.broadcastClear(key)
	}
}

// Clear removes all reports of a request. It returns false if there are none.
func (r *Registry) Clear(key RequestKey) bool {
	r.mu.Lock()
	ok := r.entries.Remove(key)
	r.mu.Unlock()
	if ok {
		r.rec.Record(vane.Event{Kind: vane.EventRequestCleared, Workspace: key.Workspace})
	}
	return ok
}
