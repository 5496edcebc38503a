package bench_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admin"
	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/fake/plain"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/trace"
)

// response is the part of an HTTP response that the tests check. Reason and execution
// are those of an error body, else empty.
type response struct {
	status    int
	header    http.Header
	body      string
	reason    string
	execution string
}

// send sends a request with the given header names and values and reads the whole
// response.
func send(t *testing.T, method, url, body string, header ...string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var e struct {
		Error struct{ Reason, Message, Execution string }
	}
	_ = json.Unmarshal(b, &e)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), reason: e.Error.Reason, execution: e.Error.Execution}
}

// bearer returns the value of the Authorization header with a workspace's key.
func bearer(ws string) string { return "Bearer " + bench.KeyOf(ws) }

const chatBody = `{"model":"quill","messages":[{"role":"user","content":"hello"}],"max_tokens":3}`

// TestBadRequests sends requests that must be refused before they reach an engine.
func TestBadRequests(t *testing.T) {
	f := startFleet(t, bench.WithNodes(1), bench.WithEngines(1, fastEngine()...), bench.WithSettings(func(s *config.Settings) {
		s.Callers.MaxBodyBytes = 64 << 10
	}))
	base := "http://" + f.Nodes[0].Addr()
	chat := base + "/v1/chat/completions"
	auth := []string{"Authorization", bearer("w1")}
	for _, tt := range []struct {
		name, method, url, body string
		header                  []string
		status                  int
		reason                  string
	}{
		{"no key", "POST", chat, chatBody, nil, 401, "key_missing"},
		{"two keys", "POST", chat, chatBody, []string{"Authorization", bearer("w1"), "Authorization", bearer("w2")}, 401, "key_missing"},
		{"another scheme", "POST", chat, chatBody, []string{"Authorization", "Basic abc"}, 401, "key_missing"},
		{"unknown key", "POST", chat, chatBody, []string{"Authorization", "Bearer nobody"}, 401, "key_unknown"},
		{"wrong method", "GET", chat, "", auth, 405, "method_not_allowed"},
		{"unknown path", "GET", base + "/v2/x", "", auth, 403, "route_unknown"},
		{"unknown service", "POST", base + "/v1/services/none/x", "", auth, 403, "route_unknown"},
		{"not JSON", "POST", chat, `{"model":`, auth, 400, "bad_request"},
		{"not an object", "POST", chat, `[]`, auth, 400, "bad_request"},
		{"null", "POST", chat, `null`, auth, 400, "bad_request"},
		{"two objects", "POST", chat, chatBody + chatBody, auth, 400, "bad_request"},
		{"bad UTF-8", "POST", chat, strings.Replace(chatBody, "hello", "\xff\xfe", 1), auth, 400, "bad_request"},
		{"no messages", "POST", chat, `{"model":"quill"}`, auth, 400, "bad_request"},
		{"empty messages", "POST", chat, `{"model":"quill","messages":[]}`, auth, 400, "bad_request"},
		{"message without role", "POST", chat, `{"model":"quill","messages":[{"content":"x"}]}`, auth, 400, "bad_request"},
		{"no model", "POST", chat, `{"messages":[{"role":"user","content":"x"}]}`, auth, 400, "bad_request"},
		{"unknown model", "POST", chat, strings.Replace(chatBody, "quill", "nib", 1), auth, 404, "model_unknown"},
		{"wrong type", "POST", chat, `{"model":7,"messages":[{"role":"user","content":"x"}]}`, auth, 400, "bad_request"},
		{"zero tokens", "POST", chat, strings.Replace(chatBody, ":3}", ":0}", 1), auth, 400, "bad_request"},
		{"several choices", "POST", chat, strings.Replace(chatBody, ":3}", `:3,"n":2}`, 1), auth, 400, "bad_request"},
		{"too large", "POST", chat, strings.Replace(chatBody, "hello", strings.Repeat("x", 70<<10), 1), auth, 413, "body_too_large"},
		{"resume without streaming", "POST", chat, chatBody, append([]string{"Last-Event-ID", "x.1"}, auth...), 400, "resume_invalid"},
		{"resume after an unknown event", "POST", chat, strings.Replace(chatBody, ":3}", `:3,"stream":true}`, 1), append([]string{"Last-Event-ID", "x.1"}, auth...), 400, "resume_invalid"},
		{"booking without idempotency key", "POST", base + "/v1/services/booking/bookings", "{}", auth, 400, "claim_key_missing"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := send(t, tt.method, tt.url, tt.body, tt.header...)
			is.Equal(a.status, tt.status)
			is.Equal(a.reason, tt.reason)
			is.Equal(a.execution, "not_run")
			is.Equal(a.header.Get("Mustardvane-Execution"), "not_run")
			is.True(!strings.Contains(a.body, bench.KeyOf("w1")))
		})
	}
	is := is.New(t)
	is.Equal(len(f.Engines[0].Log()), 0)                           // no bad request reached an engine
	is.Equal(send(t, "POST", chat, chatBody, auth...).status, 200) // the node still serves good requests
}

// TestKeyIsNotExposed checks that callers' keys reach neither the upstreams nor the
// metrics, the timeline, the status or the platform's objects.
func TestKeyIsNotExposed(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1), bench.WithEngines(1, fastEngine()...))
	base := "http://" + f.Nodes[0].Addr()
	key := bench.KeyOf("w1")
	send(t, "POST", base+"/v1/chat/completions", chatBody, "Authorization", "Bearer "+key, "X-Api-Key", key, "Cookie", "k="+key)
	send(t, "GET", base+"/v1/services/booking/stock", "", "Authorization", "Bearer "+key, "Api-Key", key, "Cookie", "k="+key)
	send(t, "POST", base+"/v1/chat/completions", chatBody, "Authorization", "Bearer wrong-"+key)
	var seen bytes.Buffer
	for _, h := range f.Engines[0].Headers() {
		fmt.Fprintln(&seen, h)
	}
	for _, h := range f.Services[0].Headers() {
		fmt.Fprintln(&seen, h)
	}
	is.True(strings.Contains(seen.String(), "X-Workspace:[w1]")) // the upstreams were reached
	seen.WriteString(send(t, "GET", "http://"+f.Nodes[0].AdminAddr()+"/metrics", "").body)
	seen.WriteString(send(t, "GET", "http://"+f.Nodes[0].AdminAddr()+"/v1/timeline", "").body)
	seen.WriteString(send(t, "GET", "http://"+f.Nodes[0].AdminAddr()+"/v1/status", "").body)
	objects, err := f.Store.List(t.Context(), "")
	is.NoErr(err)
	for _, o := range objects.Objects {
		seen.Write(o.Value)
	}
	is.True(!strings.Contains(seen.String(), key))
}

// TestWithdrawnKey removes a key from the configuration while a caller keeps its
// connection. The node must refuse the key, and still accept those of others.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	url := "http://" + f.Nodes[2].Addr() + "/v1/models"
	is.Equal(send(t, "GET", url, "", "Authorization", bearer("w1")).status, 200)
	fleet := bench.DefaultFleet("w1", "w2")
	fleet.Workspaces[0].Keys = nil
	_, err := admin.Apply(t.Context(), f.Store, fleet, admin.AnyRevision)
	is.NoErr(err)
	eventually(t, "the withdrawn key is refused", func() bool {
		return send(t, "GET", url, "", "Authorization", bearer("w1")).reason == "key_unknown"
	})
	is.Equal(send(t, "GET", url, "", "Authorization", bearer("w2")).status, 200)
}

// TestWithdrawalSpreadsWithoutThePlatform gives one node a configuration without a
// key while the platform is down. The other nodes must get it from that node.
func TestWithdrawalSpreadsWithoutThePlatform(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	fleet := bench.DefaultFleet("w1", "w2")
	fleet.Workspaces[0].Keys = nil
	value, err := fleet.Encode()
	is.NoErr(err)
	f.Platform.SetFaults(plat.Faults{Down: true})
	ok, err := f.Nodes[0].ApplyConfigIfNewer(f.Nodes[0].Config().Revision+10, value)
	is.NoErr(err)
	is.True(ok)
	for _, n := range f.Nodes {
		eventually(t, "the withdrawn key is refused", func() bool {
			return send(t, "GET", "http://"+n.Addr()+"/v1/models", "", "Authorization", bearer("w1")).reason == "key_unknown"
		})
	}
}

// TestIsolatedNodeRefusesKeys blocks one node's traffic with the platform and its
// peers. It can no longer learn of withdrawn keys and must stop accepting any.
func TestIsolatedNodeRefusesKeys(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	isolated := f.Nodes[2]
	url := "http://" + isolated.Addr() + "/v1/models"
	is.Equal(send(t, "GET", url, "", "Authorization", bearer("w1")).status, 200)
	f.Isolate(2)
	eventually(t, "the isolated node refuses the key", func() bool {
		a := send(t, "GET", url, "", "Authorization", bearer("w1"))
		return a.reason == "key_unconfirmed" && a.execution == "not_run"
	})
	is.True(!isolated.Status().Keys.Confirmed) // the status shows it to the operator
	is.True(isolated.Status().Keys.Reason != "")
	is.Equal(send(t, "GET", "http://"+f.Nodes[0].Addr()+"/v1/models", "", "Authorization", bearer("w1")).status, 200)
}

// TestPlatformDown takes the platform down. The nodes must go on serving, and a node
// that starts during the outage must get its configuration from its peers. Requests
// that need a claim in the store are refused without running.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	is.Equal(f.Drive(t.Context(), trace.Generate(twoWorkspaces(20)), nil).Complete, 20)
	f.Platform.SetFaults(plat.Faults{Down: true})
	f.KillNode(1)
	is.NoErr(f.StartNode(t.Context(), 1))
	eventually(t, "the restarted node is ready", func() bool { return f.Nodes[1].Status().Ready })
	eventually(t, "all nodes have confirmed their keys", func() bool {
		return f.Nodes[0].Status().Keys.Confirmed && f.Nodes[1].Status().Keys.Confirmed && f.Nodes[2].Status().Keys.Confirmed
	})
	rep := f.Drive(t.Context(), trace.Generate(twoWorkspaces(60)), nil)
	is.Equal(rep.Reasons, map[string]int{})
	is.Equal(rep.Complete, 60)
	url := "http://" + f.Nodes[0].Addr() + "/v1/services/booking/bookings"
	a := send(t, "POST", url, "{}", "Authorization", bearer("w1"), "Idempotency-Key", "k1", plain.HeaderOperation, "op1")
	is.Equal(a.reason, "claim_unavailable")
	is.Equal(a.execution, "not_run")
	is.Equal(f.RunCounter.Runs("op1"), 0) // the refusal's not_run is true
}

// TestBookingRunsAtMostOnce checks that a booking runs at most once when it is
// repeated, when its response is lost and when the service is down, and that a refusal
// states correctly whether it ran.
func TestBookingRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(2), bench.WithServices(2))
	url := func(n int) string { return "http://" + f.Nodes[n].Addr() + "/v1/services/booking/bookings" }
	book := func(n int, key, op, body string) response {
		return send(t, "POST", url(n), body, "Authorization", bearer("w1"), "Idempotency-Key", key, plain.HeaderOperation, op)
	}
	faults := func(fl plain.Faults) {
		for _, s := range f.Services {
			s.SetFaults(fl)
		}
	}
	first := book(0, "a", "op-a", "{}")
	is.Equal(first.status, 200)
	eventually(t, "the second node finds the outcome of the booking", func() bool { return book(1, "a", "op-a", "{}").status == 200 })
	again := book(1, "a", "op-a", "{}")
	is.Equal(again.body, first.body) // a repetition gets the first response
	is.Equal(again.header.Get("Idempotent-Replayed"), "true")
	is.Equal(book(1, "a", "op-a", `{"other":1}`).reason, "claim_conflict")
	is.Equal(f.RunCounter.Runs("op-a"), 1)

	faults(plain.Faults{CutAfter: true})
	lost := book(0, "b", "op-b", "{}")
	is.Equal(lost.execution, "may_have_run")
	faults(plain.Faults{})
	is.Equal(book(1, "b", "op-b", "{}").execution, "may_have_run") // the operation is not repeated
	is.Equal(f.RunCounter.Runs("op-b"), 1)

	for _, s := range f.Services {
		s.Kill()
	}
	down := book(0, "c", "op-c", "{}")
	is.Equal(down.execution, "not_run")
	is.Equal(f.RunCounter.Runs("op-c"), 0)
}

// TestCallerGone closes the caller's connection during a stream. The node must cancel
// the request at the engine.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1), bench.WithEngines(1, engine.WithSpeed(4_000_000, 5*time.Millisecond)))
	req := trace.Generate(twoWorkspaces(1))[0]
	req.MaxTokens = 2000
	body, _ := json.Marshal(map[string]any{"model": req.Model, "messages": req.Messages(), "stream": true, "max_tokens": req.MaxTokens})
	hr, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+f.Nodes[0].Addr()+"/v1/chat/completions", bytes.NewReader(body))
	is.NoErr(err)
	hr.Header.Set("Authorization", bearer(req.Workspace))
	resp, err := http.DefaultClient.Do(hr)
	is.NoErr(err)
	_, _ = io.ReadFull(resp.Body, make([]byte, 100))
	is.NoErr(resp.Body.Close())
	eventually(t, "neither the node nor the engine has a request in flight", func() bool { return f.Nodes[0].Status().InFlight == 0 && f.Engines[0].InFlight() == 0 })
	is.True(f.Engines[0].Log()[0].GeneratedTokens < req.MaxTokens) // the engine stopped before the end
}

// TestRacingOperators applies two configurations that are based on the same revision. The second
// must fail with a conflict that shows the difference.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1))
	base := f.Nodes[0].Config().Revision
	rev, err := admin.Apply(t.Context(), f.Store, bench.DefaultFleet("w1", "w2", "w3"), base)
	is.NoErr(err)
	is.True(rev > base)
	_, err = admin.Apply(t.Context(), f.Store, bench.DefaultFleet("w1", "w2", "w4"), base)
	is.Equal(vane.KindOf(err), vane.KindConflict)
	is.True(strings.Contains(err.Error(), "w3") && strings.Contains(err.Error(), "w4")) // the error shows the difference
	is.True(strings.Contains(err.Error(), "--base"))                                    // the error names the remedy
}

// TestSlowReader lets a caller stop reading a stream. Back-pressure must stop the
// engine, and the write timeout must end the stream, so that the node does not buffer
// what the caller does not read.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1), bench.WithEngines(1, engine.WithSpeed(4_000_000, 0)), bench.WithSettings(func(s *config.Settings) {
		s.Callers.WriteTimeout = 300 * time.Millisecond
	}))
	const tokens = 200_000 // far more than fits into the buffers of the connections
	body, err := json.Marshal(map[string]any{
		"model": bench.ModelName, "messages": []trace.Message{{Role: "user", Content: "hi"}}, "stream": true, "max_tokens": tokens,
	})
	is.NoErr(err)
	fleet := bench.DefaultFleet("w1", "w2")
	fleet.Models[0].MaxContext = 0
	is.NoErr(f.Apply(t.Context(), fleet))
	hr, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.Nodes[0].Addr()+"/v1/chat/completions", bytes.NewReader(body))
	is.NoErr(err)
	hr.Header.Set("Authorization", bearer("w1"))
	resp, err := http.DefaultClient.Do(hr)
	is.NoErr(err)
	defer resp.Body.Close()
	eventually(t, "neither the node nor the engine has a request in flight", func() bool { return f.Nodes[0].Status().InFlight == 0 && f.Engines[0].InFlight() == 0 })
	is.True(f.Engines[0].Log()[0].GeneratedTokens < tokens/2)
}

// TestKeyRotation adds a second key to a workspace and then removes the first. Both
// must work in between, and only the second afterwards.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1))
	url := "http://" + f.Nodes[0].Addr() + "/v1/models"
	status := func(key string) int { return send(t, "GET", url, "", "Authorization", "Bearer "+key).status }
	next := config.Key{ID: "second", SHA256: config.HashKey("the-second-key-of-w1")}
	fleet := bench.DefaultFleet("w1", "w2")
	fleet.Workspaces[0].Keys = append(fleet.Workspaces[0].Keys, next)
	is.NoErr(f.Apply(t.Context(), fleet))
	is.Equal(status(bench.KeyOf("w1")), 200)
	is.Equal(status("the-second-key-of-w1"), 200)
	fleet = bench.DefaultFleet("w1", "w2")
	fleet.Workspaces[0].Keys = []config.Key{next}
	is.NoErr(f.Apply(t.Context(), fleet))
	is.Equal(status(bench.KeyOf("w1")), 401)
	is.Equal(status("the-second-key-of-w1"), 200)
}

// A response of a plain service that does not state the end of its body does not reach the
// caller as if it were complete, nor does its repetition.
func TestServiceAnswerWithoutItsEnd(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1), bench.WithServices(1))
	f.Services[0].SetFaults(plain.Faults{Unframed: true})
	book := func() *http.Response { return bookOnce(t, f) }
	check := func(resp *http.Response) {
		is.Equal(resp.ContentLength, int64(-1))
		is.Equal(len(resp.TransferEncoding), 0)
	}
	check(book())
	var again *http.Response
	eventually(t, "the outcome of the booking is recorded", func() bool { again = book(); return again.StatusCode == 200 })
	check(again)
	is.Equal(again.Header.Get("Idempotent-Replayed"), "true")
	is.Equal(f.RunCounter.Runs("op-a"), 1)
}

// The response of an instance of which nobody knows whether it has crashed is no outcome of
// the call: it is neither relayed nor recorded.
func TestServiceAnswerOfAnUnknownProcess(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, bench.WithNodes(1), bench.WithServices(1))
	f.Services[0].SetFaults(plain.Faults{Unframed: true, NoLoad: true})
	is.Equal(bookOnce(t, f).StatusCode, http.StatusBadGateway)
	again := bookOnce(t, f)
	is.True(again.StatusCode >= http.StatusBadRequest)
	is.Equal(again.Header.Get("Idempotent-Replayed"), "")
	is.Equal(f.RunCounter.Runs("op-a"), 1)
}

// bookOnce calls a route that is not idempotent, each time with the same key.
func bookOnce(t *testing.T, f *bench.Fleet) *http.Response {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+f.Nodes[0].Addr()+"/v1/services/booking/bookings", strings.NewReader("{}"))
	is.NoErr(err)
	req.Header.Set("Authorization", bearer("w1"))
	req.Header.Set("Idempotency-Key", "a")
	req.Header.Set(plain.HeaderOperation, "op-a")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	return resp
}
