package soak

import (
	"errors"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/internal/port"
	"mustardvane.org/vane/platform/stand"
)

// TestCheckResults checks that each kind of violation is found, and that none is reported for
// permitted outcomes.
func TestCheckResults(t *testing.T) {
	run := func(id string) stand.Run { return stand.Run{ID: id, Tenant: "a", Server: "i", Path: kindPaths[unsafe]} }
	whole := stand.Run{ID: "1", Tenant: "a", Path: kindPaths[stream]}
	short := whole
	short.EndedShort = true
	good := result{id: "1", workspace: "a", kind: unsafe, status: 200, body: stand.ResponseBody("1"), stated: true}
	unstated := good
	unstated.stated = false
	events := func(body string, stated bool) result {
		return result{id: "1", workspace: "a", kind: stream, status: 200, body: body, stated: stated}
	}
	for _, tt := range []struct {
		name string
		res  result
		runs []stand.Run
		want string
	}{
		{"good", good, []stand.Run{run("1")}, ""},
		{"twice", good, []stand.Run{run("1"), run("1")}, "once"},
		{"untrue refusal", result{id: "1", workspace: "a", kind: unsafe, status: 503}, []stand.Run{run("1")}, "not run"},
		{"true refusal", result{id: "1", workspace: "a", kind: unsafe, status: 503}, nil, ""},
		{"may have run", result{id: "1", workspace: "a", kind: unsafe, status: 502}, []stand.Run{run("1")}, ""},
		{"response to another request", result{id: "1", workspace: "a", kind: unsafe, status: 200, body: stand.ResponseBody("2"), stated: true}, []stand.Run{run("1")}, "whole"},
		{"short stream", events(stand.Event("1", 1), true), nil, "whole"},
		{"short stream that states no end", events(stand.Event("1", 1), false), []stand.Run{short}, ""},
		{"short stream that states no end, though its upstream's was whole", events(stand.Event("1", 1), false), []stand.Run{whole}, "whole"},
		{"stream that states no end and ends inside an event", events(stand.Event("1", 1)+"id: 2\n", false), []stand.Run{short}, "whole"},
		{"stream with a gap that states no end", events(stand.Event("1", 1)+stand.Event("1", 3), false), []stand.Run{short}, "whole"},
		{"complete stream that states no end", events(stand.Stream("1"), false), nil, ""},
		{"stream with an event too many", events(stand.Stream("1")+stand.Event("1", 12), true), nil, "whole"},
		{"stream with comments", events(": a\n\n"+stand.Stream("1")+": b\n\n: c\n", true), nil, ""},
		{"short stream with comments", events(stand.Event("1", 1)+": b\n\n", true), nil, "whole"},
		{"response that states no end", unstated, []stand.Run{run("1")}, ""},
		{"response to another request that states no end", result{id: "1", workspace: "a", kind: unsafe, status: 200, body: stand.ResponseBody("2")}, []stand.Run{run("1")}, "whole"},
		{"broken stream", result{id: "1", workspace: "a", kind: stream, status: 200, body: stand.Event("1", 1), err: errors.New("reset")}, nil, ""},
		{"another workspace", good, []stand.Run{{ID: "1", Tenant: "b", Path: kindPaths[unsafe]}}, "workspace"},
		{"key forwarded to the upstream", good, []stand.Run{{ID: "1", Tenant: "a", Path: kindPaths[unsafe], KeyForwarded: true}}, "key"},
		{"other body at the upstream", good, []stand.Run{{ID: "1", Tenant: "a", Path: kindPaths[unsafe], BodyWrong: true}}, "body"},
		{"stream that states no end, broken off by its upstream", events(stand.Event("1", 1), false), []stand.Run{{ID: "1", Tenant: "a", Path: kindPaths[stream], BrokenOff: true}}, "whole"},
		{"denied", result{id: "1", workspace: "a", kind: unsafe, status: 401}, nil, "denied"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := checkResults([]result{tt.res}, tt.runs)
			if tt.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(len(got), 1)
			is.Equal(got[0].Check, tt.want)
		})
	}
}

// TestPortsOfNodes checks that a node has both of its internal ports, which its settings name
// as a range, also if another soak takes ports at the same time.
func TestPortsOfNodes(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := port.Free(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 200 {
		ports, err := freePorts()
		is.NoErr(err)
		is.Equal(ports[4], ports[3]+1)
	}
	close(stop)
	wg.Wait()
}

// buildNode builds the program of the nodes and returns its path.
func buildNode(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "vaned")
	if out, err := exec.Command("go", "build", "-o", bin, "mustardvane.org/vane/cmd/vaned").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// TestSeeds runs short soaks. A seed whose soak has failed once is added to the list.
func TestSeeds(t *testing.T) {
	bin := buildNode(t)
	for _, seed := range []uint64{1, 2, 12} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			res, err := Run(t.Context(), Options{Binary: bin, Dir: t.TempDir(), Seed: seed, Length: 4 * time.Second})
			is.NoErr(err)
			for _, v := range res.Violations {
				t.Error(v)
			}
			is.True(res.Answered > 0)
		})
	}
}

// TestPlannedStops stops nodes in series while callers go on using their connections.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	bin := buildNode(t)
	for _, seed := range []uint64{1, 2} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			res, err := RunStops(t.Context(), Options{Binary: bin, Dir: t.TempDir(), Seed: seed, Length: 12 * time.Second})
			is.NoErr(err)
			for _, v := range res.Violations {
				t.Error(v)
			}
			t.Logf("%d requests, %d answered, %d stops", res.Requests, res.Answered, res.Stops)
			is.True(res.Answered > 0)
		})
	}
}
