package edge

import (
	"sync"
	"time"

	"mustardvane.org/vane/front"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/quota"
)

// limiter makes the quota state machine safe for concurrent use.
type limiter struct {
	mu    sync.Mutex
	b     *quota.Buckets
	onHot func() // a workspace is near its rate
}

var _ front.Limiter = (*limiter)(nil)

// newLimiter returns a limiter without terms.
func newLimiter(onHot func()) *limiter { return &limiter{b: quota.New(time.Now()), onHot: onHot} }

// Take implements front.Limiter.
func (l *limiter) Take(ws string, units float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, ok := l.b.Take(time.Now(), ws, units)
	if l.b.Hot(ws) {
		l.onHot()
	}
	return wait, ok
}

// Return implements front.Limiter.
func (l *limiter) Return(ws string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Return(ws, units)
}

// update takes the terms and the names of the other nodes.
func (l *limiter) update(v *mirror.View, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if v.Config != nil {
		terms := make(map[string]quota.Terms)
		for _, t := range v.Config.Tenancies() {
			terms[t.Workspace] = quota.Terms{Rate: t.Quota.Rate, Burst: t.Quota.Burst}
		}
		l.b.SetTerms(now, terms)
	}
	var names []string
	for name := range v.Peers {
		if name != self {
			names = append(names, name)
		}
	}
	l.b.SetPeers(now, names)
	l.b.SetInterval(mesh.Interval(len(names)))
}

// publish returns what the other nodes are told.
func (l *limiter) publish(now time.Time) (spent, levels map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.b.Settled(now) {
		levels = l.b.Levels(now)
	}
	return l.b.Spent(), levels
}

// receive takes the counters of another node.
func (l *limiter) receive(now time.Time, m *mesh.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Receive(now, m.Name, m.Boot, m.Spent, m.Levels)
}
