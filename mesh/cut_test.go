package mesh

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// A message that is cut after any byte is none, except between its fields and its
// extension, where messages of earlier builds end. There the length of the envelope shows
// the cut.
func TestCutMessage(t *testing.T) {
	is := is.New(t)
	in := &Message{
		Name: "n1", Boot: 7, Seq: 3, InFlight: map[string]int{"e": 2}, QuotaSpent: map[string]float64{"ws": 1.5},
		Engines: []EngineUpdate{{Upstream: "e", Weights: 3}}, PromptParts: map[string][]uint64{"e": {1 << 62}}, WeightsVersion: 4,
		Extension: Extension{
			RolloutVersion: 8, Rollouts: []RolloutUpdate{{Service: "s", Order: "v2", Stage: 2, Fence: 6}},
			Convictions: []Conviction{{Part: 7, Workspaces: []uint64{1, 2}}}, Leaving: []UpstreamStart{{"e", 1}, {"f", 2}},
		},
	}
	fields, err := encode(in)
	is.NoErr(err)
	b, err := encodeMessage(in)
	is.NoErr(err)
	for n := range len(b) {
		if out, err := decodeMessage(b[:n]); err == nil && n != len(fields) {
			t.Errorf("cut after %d of %d bytes: %+v", n, len(b), out.Extension)
		}
	}
	e, err := encode(&envelope{Messages: [][]byte{b, b}})
	is.NoErr(err)
	for n := range len(e) {
		if decode(e[:n], &envelope{}) == nil {
			t.Errorf("envelope cut after %d of %d bytes", n, len(e))
		}
	}
}

// A snapshot that is cut after any byte is not taken.
func TestCutSnapshot(t *testing.T) {
	is := is.New(t)
	m := newSite(1)
	m.Export = func(mirror.Versions) []vane.Object {
		return []vane.Object{{Key: "a", Version: 1, Value: []byte("x")}, {Key: "b", Version: 2, Value: []byte("y")}}
	}
	rec := httptest.NewRecorder()
	m.serveSnapshot(rec, httptest.NewRequest(http.MethodGet, snapshotPath, nil))
	body := rec.Body.Bytes()
	fetch := func(head string, n int) ([]vane.Object, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write(append([]byte("HTTP/1.1 200 OK\r\n"+head+"\r\n"), body[:n]...))
			_ = c.Close()
		}()
		return newSite(1).fetchSnapshot(t.Context(), ln.Addr().String())
	}
	for _, head := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(body))} {
		var wg sync.WaitGroup
		for n := range len(body) {
			wg.Go(func() {
				if objs, err := fetch(head, n); err == nil {
					t.Errorf("header %q, cut after %d of %d bytes: %d objects", head, n, len(body), len(objs))
				}
			})
		}
		wg.Wait()
		objs, err := fetch(head, len(body))
		is.NoErr(err)
		is.Equal(len(objs), 2)
	}
}
