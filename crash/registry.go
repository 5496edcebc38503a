package crash

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
)

// Bounds of the registry.
const (
	maxCrashes   = 2       // crashes after which a request is refused
	registrySize = 1 << 14 // requests with crashes that are remembered
	reportLife   = time.Hour
)

// Name identifies a request's text within its workspace.
type Name struct {
	Workspace   string
	Fingerprint uint64
}

// Report is a crash that a request was running in.
type Report struct {
	Name        Name
	Upstream    string
	Incarnation uint64
}

// entry is what is known of a request with crashes.
type entry struct {
	crashes []Report
	at      time.Time // of the newest
}

// Registry remembers crashes. It is safe for concurrent use.
type Registry struct {
	rec   vane.Recorder
	share func(Report)
	clear func(Name)

	mu      sync.Mutex
	entries *lru.LRU[Name, *entry]
}

// Option changes a registry under construction.
type Option func(*Registry)

// WithShare sets functions that tell the other nodes of crashes and clearances.
func WithShare(crash func(Report), clear func(Name)) Option {
	return func(b *Registry) { b.share, b.clear = crash, clear }
}

// NewRegistry returns an empty registry.
func NewRegistry(rec vane.Recorder, opts ...Option) *Registry {
	m, _ := lru.NewLRU[Name, *entry](registrySize, nil)
	b := &Registry{rec: rec, entries: m, share: func(Report) {}, clear: func(Name) {}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Check refuses a request that has crashed upstreams.
func (b *Registry) Check(ws string, fp uint64) error {
	n := b.crashes(Name{ws, fp})
	if n < maxCrashes {
		return nil
	}
	return vane.Refuse(vane.ReasonSuspectRequest,
		"%d upstreams crashed while they ran this request; it is not run again, so change its content", n)
}

// crashes returns the number of crashes that the request was running in.
func (b *Registry) crashes(n Name) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries.Get(n)
	if !ok {
		return 0
	}
	if time.Since(e.at) > reportLife {
		b.entries.Remove(n)
		return 0
	}
	return len(e.crashes)
}

// Refused returns the number of requests that are refused.
func (b *Registry) Refused() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.entries.Values() {
		if len(e.crashes) >= maxCrashes {
			n++
		}
	}
	return n
}

// Lost notes that the upstream crashed while it ran the request.
func (b *Registry) Lost(ws string, fp uint64, u vane.Upstream) {
	s := Report{Name: Name{ws, fp}, Upstream: u.Name, Incarnation: u.Incarnation}
	if b.Add(s) {
		b.share(s)
	}
}

// Add takes a crash, also one that another node saw. It returns false if the
// crash was known.
func (b *Registry) Add(s Report) bool {
	b.mu.Lock()
	e, ok := b.entries.Get(s.Name)
	if !ok {
		e = &entry{}
		b.entries.Add(s.Name, e)
	}
	for _, c := range e.crashes {
		if c == s {
			b.mu.Unlock()
			return false
		}
	}
	e.crashes = append(e.crashes, s)
	e.at = time.Now()
	n := len(e.crashes)
	b.mu.Unlock()
	b.rec.Record(vane.Event{
		What: vane.EventSuspect, Reason: vane.ReasonSuspectRequest, Workspace: s.Name.Workspace,
		Subject: s.Upstream, Have: float64(n), Want: maxCrashes,
	})
	return true
}

// Answered clears a request that got a whole answer.
func (b *Registry) Answered(ws string, fp uint64) {
	n := Name{ws, fp}
	if b.Clear(n) {
		b.clear(n)
	}
}

// Clear takes back all crashes of a request. It returns false if there are none.
func (b *Registry) Clear(n Name) bool {
	b.mu.Lock()
	ok := b.entries.Remove(n)
	b.mu.Unlock()
	if ok {
		b.rec.Record(vane.Event{What: vane.EventCleared, Workspace: n.Workspace})
	}
	return ok
}
