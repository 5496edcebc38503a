package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/trace"
)

// A trace that is cut within a request is refused. Whether whole requests are missing at
// its end can't be seen.
func TestCutTrace(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(trace.Write(&b, trace.Generate(trace.Shape{Seed: 3, Requests: 3})))
	text := b.String()
	for n := range len(text) {
		whole := n == 0 || text[n-1] == '\n' || text[n] == '\n'
		if _, err := trace.Read(strings.NewReader(text[:n])); err == nil != whole {
			t.Errorf("cut after %d of %d bytes: error %v", n, len(text), err)
		}
	}
}
