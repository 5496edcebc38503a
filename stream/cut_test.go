package stream_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/stream"
)

// A stream or a response that is cut after any byte is not complete, whatever the framing
// of its connection shows.
func TestCutIsNotComplete(t *testing.T) {
	is := is.New(t)
	text := answerEvent(0, "a") + answerEvent(1, "b") + usageEvent + doneEvent
	for n := range len(text) {
		s := &collector{limit: 100}
		err := stream.NewRelay(s, "tok", 0, false).Copy(stream.NewReader(strings.NewReader(text[:n])), "chatcmpl-1")
		if err == nil || strings.Contains(s.b.String(), "[DONE]") {
			t.Errorf("stream cut after %d of %d bytes: error %v", n, len(text), err)
		}
	}
	const body = `{"id":"chatcmpl-1","choices":[{"index":0}],"usage":{"prompt_tokens":9,"completion_tokens":25}}`
	for n := range len(body) {
		if _, err := stream.CheckResponse([]byte(body[:n]), "chatcmpl-1"); err == nil {
			t.Errorf("response cut after %d of %d bytes", n, len(body))
		}
	}
	_, err := stream.CheckResponse([]byte(body), "chatcmpl-1")
	is.NoErr(err)
}
