package crash

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	vane "mustardvane.org/vane"
)

// Bounds of the book.
const (
	maxStrikes = 2       // crashes after which a request is refused
	bookSize   = 1 << 14 // requests with strikes that are remembered
	strikeLife = time.Hour
)

// Name identifies a request's text within its workspace.
type Name struct {
	Workspace   string
	Fingerprint uint64
}

// Strike is a crash that a request was running in.
type Strike struct {
	Name        Name
	Upstream    string
	Incarnation uint64
}

// entry is what is known of a request with strikes.
type entry struct {
	crashes []Strike
	at      time.Time // of the newest
}

// Book remembers strikes. It is safe for concurrent use.
type Book struct {
	rec   vane.Recorder
	share func(Strike)
	clear func(Name)

	mu      sync.Mutex
	entries *lru.LRU[Name, *entry]
}

// Option changes a book under construction.
type Option func(*Book)

// WithShare sets functions that tell the other nodes of strikes and clearances.
func WithShare(strike func(Strike), clear func(Name)) Option {
	return func(b *Book) { b.share, b.clear = strike, clear }
}

// NewBook returns an empty book.
func NewBook(rec vane.Recorder, opts ...Option) *Book {
	m, _ := lru.NewLRU[Name, *entry](bookSize, nil)
	b := &Book{rec: rec, entries: m, share: func(Strike) {}, clear: func(Name) {}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Check refuses a request that has crashed upstreams.
func (b *Book) Check(ws string, fp uint64) error {
	n := b.strikes(Name{ws, fp})
	if n < maxStrikes {
		return nil
	}
	return vane.Refuse(vane.ReasonSuspectRequest,
		"%d upstreams crashed while they ran this request; it is not run again, so change its content", n)
}

// strikes returns the number of crashes that the request was running in.
func (b *Book) strikes(n Name) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries.Get(n)
	if !ok {
		return 0
	}
	if time.Since(e.at) > strikeLife {
		b.entries.Remove(n)
		return 0
	}
	return len(e.crashes)
}

// Refused returns the number of requests that are refused.
func (b *Book) Refused() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.entries.Values() {
		if len(e.crashes) >= maxStrikes {
			n++
		}
	}
	return n
}

// Lost notes that the upstream crashed while it ran the request.
func (b *Book) Lost(ws string, fp uint64, u vane.Upstream) {
	s := Strike{Name: Name{ws, fp}, Upstream: u.Name, Incarnation: u.Incarnation}
	if b.Add(s) {
		b.share(s)
	}
}

// Add takes a strike, also one that another node saw. It returns false if the
// strike was known.
func (b *Book) Add(s Strike) bool {
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
		Subject: s.Upstream, Have: float64(n), Want: maxStrikes,
	})
	return true
}

// Answered clears a request that got a whole answer.
func (b *Book) Answered(ws string, fp uint64) {
	n := Name{ws, fp}
	if b.Clear(n) {
		b.clear(n)
	}
}

// Clear takes back all strikes of a request. It returns false if there are none.
func (b *Book) Clear(n Name) bool {
	b.mu.Lock()
	ok := b.entries.Remove(n)
	b.mu.Unlock()
	if ok {
		b.rec.Record(vane.Event{What: vane.EventCleared, Workspace: n.Workspace})
	}
	return ok
}
