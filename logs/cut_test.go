package logs_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/logs"
)

// A last line that is cut, as that of a node that was killed, is counted as skipped and
// not taken for a line with less to say.
func TestCutLine(t *testing.T) {
	is := is.New(t)
	const line = `{"time":"2026-03-10T21:45:24.14Z","msg":"refused","node":"a","request_id":"r1","status":502}`
	for n := 1; n < len(line); n++ {
		lines, skipped, err := logs.Scan(strings.NewReader(line + "\n" + line[:n]))
		is.NoErr(err)
		if len(lines) != 1 || skipped != 1 {
			t.Errorf("cut after %d bytes: %d lines, %d skipped", n, len(lines), skipped)
		}
	}
}
