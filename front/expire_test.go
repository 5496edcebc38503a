package front_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// A request that waits at an engine with outdated weights is withdrawn from it. It moves
// to another engine only if it may run twice, and counts as no cause of a crash.
func TestWithdrawnRequest(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
	}{
		{"/safe/x", http.StatusOK},
		{"/once/x", http.StatusBadGateway},
	} {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			arrived, left := make(chan struct{}, 1), make(chan struct{})
			busy := newScriptedUpstream(t, func(int, io.Writer, string, *http.Request) bool {
				arrived <- struct{}{}
				<-left
				return false
			})
			idle := newScriptedUpstream(t, respondSigned(200, "ok"))
			b := newTestFront(t, 10, busy, idle)
			now := clock.BootTime()
			for name, weights := range map[string]uint64{"u0": 1, "u1": 2} {
				u := b.view.Upstreams[name]
				u.Role, u.Weights, u.Incarnation = vane.RoleEngine, weights, 1
				b.view.Upstreams[name] = u
			}
			aside := b.view.Upstreams["u1"]
			b.view.Weights = map[string]mirror.Weights{"": {TargetWeights: vane.TargetWeights{Version: 2}, History: []mirror.WeightsVersion{{Number: 2, Since: now.Add(-5 * time.Second)}}}}
			b.placer.Update(b.view)
			b.placer.SetLoading(aside.Name, now.Add(time.Hour))
			go func() {
				<-arrived
				b.placer.SetLoading(aside.Name, time.Time{})
				var expired []sched.Expired
				for end := time.Now().Add(time.Minute); len(expired) == 0 && time.Now().Before(end); { // the attempt is registered shortly before the request arrives
					expired = b.placer.ExpireWaiting(now.Add(7 * time.Second))
				}
				close(left)
			}()
			status, _, _, err := b.send(context.Background(), tt.path)
			is.NoErr(err)
			is.Equal(status, tt.status)
			is.Equal(b.crashes.RefusedCount(), 0)
		})
	}
}
