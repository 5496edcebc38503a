package edge

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/front"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/quota"
)

// limiter makes the quota state machine safe for concurrent use.
type limiter struct {
	mu          sync.Mutex
	buckets     *quota.Buckets
	onNearLimit func() // called under mu when a workspace is near its rate
}

var _ front.Limiter = (*limiter)(nil)

// newLimiter returns the limiter of the node with the given name, without limits for any
// workspace.
func newLimiter(node string, onNearLimit func()) *limiter {
	return &limiter{buckets: quota.New(time.Now(), quota.WithSeed(xxhash.Sum64String(node))), onNearLimit: onNearLimit}
}

// Take implements front.Limiter.
func (l *limiter) Take(ws string, units float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, ok := l.buckets.Take(time.Now(), ws, units)
	if l.buckets.NearLimit(ws) {
		l.onNearLimit()
	}
	return wait, ok
}

// Return implements front.Limiter.
func (l *limiter) Return(ws string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Refund(ws, units)
}

// update takes the limits of the workspaces and the names of the other nodes from the
// view.
func (l *limiter) update(v *mirror.View, self string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if v.Config != nil {
		limits := make(map[string]quota.Limit)
		for _, t := range v.Config.Workspaces() {
			limits[t.Workspace] = quota.Limit{Rate: t.Quota.Rate, Burst: t.Quota.Burst}
		}
		l.buckets.SetLimits(now, limits)
	}
	var names []string
	for name := range v.Peers {
		if name != self {
			names = append(names, name)
		}
	}
	l.buckets.SetPeers(now, names)
	l.buckets.SetInterval(mesh.MaxInterval(len(names)))
}

// publish returns the quota counters for the next message to the other nodes. levels is
// nil until they are reliable.
func (l *limiter) publish(now time.Time) (spent, levels map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets.LevelsReliable(now) {
		levels = l.buckets.Levels(now)
	}
	return l.buckets.Admitted(), levels
}

// receive applies the quota counters of another node.
func (l *limiter) receive(now time.Time, m *mesh.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Receive(now, m.Name, m.Boot, m.QuotaSpent, m.QuotaLevels)
}
