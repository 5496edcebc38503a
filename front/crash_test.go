package front_test

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/crash"
)

// newParts returns a tracker of prompt parts that tells no other node.
func newParts() *crash.Parts {
	return crash.NewParts(crash.PartsConfig{
		BroadcastCrash: func(crash.PartCrash) {}, BroadcastClear: func(uint64) {}, BroadcastConviction: func(crash.Conviction) {},
		Log: slog.New(slog.DiscardHandler),
	})
}

// A stream that two crashes broke off after its first event was not their cause: its
// caller may send it again.
func TestStreamThatBeganIsNoSuspect(t *testing.T) {
	is := is.New(t)
	text := "id: 1\n\nid: 2\n\n"
	cut := newScriptedUpstream(t, respondEvents(text, 8))
	cut2 := newScriptedUpstream(t, respondEvents(text, 8))
	b := newTestFront(t, 10, cut, cut2)
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, b.url+"/resume/x", strings.NewReader("x"))
		is.NoErr(err)
		req.Host = "h"
		req.Header.Set("Id", "1")
		req.Header.Set("Key", "k")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		is.True(resp.StatusCode != http.StatusUnprocessableEntity)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	is.True(cut.requests.Load()+cut2.requests.Load() > 2)
}
