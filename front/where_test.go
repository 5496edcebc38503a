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
	"mustardvane.org/vane/site"
)

// Guards against requests that stay in an evacuated data centre although they may run twice,
// and against ends of those that may not, which are answered there.
func TestRequestsLeaveAnEvacuatedDataCentre(t *testing.T) {
	for _, tt := range []struct {
		path, body string
	}{
		{"/safe/x", "elsewhere"},
		{"/unsafe/x", "here"},
	} {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			arrived, goOn := make(chan struct{}, 1), make(chan struct{})
			busy := newScriptedUpstream(t, func(n int, w io.Writer, id string, r *http.Request) bool {
				arrived <- struct{}{}
				<-goOn
				return respondSigned(201, "here")(n, w, id, r)
			})
			idle := newScriptedUpstream(t, respondSigned(201, "elsewhere"))
			b := newTestFront(t, 10, busy, idle)
			v := *b.view
			v.Upstreams = upstreamsOf(b.upstreams)
			u := v.Upstreams["u1"]
			u.DataCentre = "far"
			v.Upstreams["u1"] = u
			v.Evacuated = map[string]uint64{"far": 1}
			b.placer.Update(&v)
			go func() {
				<-arrived
				w := v
				w.Evacuated = map[string]uint64{"dc": 2}
				b.placer.Update(&w)
				if tt.body == "here" {
					time.Sleep(10 * time.Millisecond) // the attempt is registered shortly before the request arrives
					if n := len(b.placer.WithdrawEvacuated(clock.BootTime())); n > 0 {
						t.Errorf("%d requests withdrawn", n)
					}
					close(goOn)
					return
				}
				for end := time.Now().Add(time.Minute); len(b.placer.WithdrawEvacuated(clock.BootTime())) == 0 && time.Now().Before(end); {
				}
			}()
			status, _, body, err := b.send(context.Background(), tt.path)
			if tt.body == "elsewhere" {
				close(goOn)
			}
			is.NoErr(err)
			is.Equal(status, 201)
			is.Equal(body, tt.body)
		})
	}
}

// Guards against requests that wait, or are sent anywhere, although route and workspace allow no
// region in common.
func TestNoRegionInCommon(t *testing.T) {
	is := is.New(t)
	u := newScriptedUpstream(t, respondSigned(200, "ok"))
	b := newTestFront(t, 10, u)
	b.view.Config = site.New(2, site.WithRoutes(
		vane.Route{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: vane.RouteSafe, MaxAttempts: 2, Services: []vane.WeightedService{{Service: "s", Weight: 1}}, Regions: []string{"north"}},
	), site.WithWorkspaces(vane.WorkspaceConfig{Workspace: "ws", Keys: []string{"k"}, Regions: []string{"south"}}))
	status, h, body, err := b.send(context.Background(), "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(h.Get("Retry-After"), "") // a retry does not help
	is.Equal(body, "route safe allows the regions [north] and workspace ws the regions [south]; no region is in both\n")
	is.Equal(u.requests.Load(), int64(0))
}
