package logs_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/logs"
)

// logFiles are the log files of two nodes by name. The second line of a.log has a prefix
// like those added by log collectors, and its last line is not a log line.
var logFiles = map[string]string{
	"a.log": `{"time":"2026-03-10T21:45:20Z","level":"INFO","msg":"configuration in force","node":"a","version":7}
  1.25 a {"time":"2026-03-10T21:45:24.10Z","level":"INFO","msg":"sent","node":"a","request_id":"r1","upstream":"e1","workspace":"w1","price":0.25}
{"time":"2026-03-10T21:45:24.12Z","level":"INFO","msg":"attempt failed","node":"a","request_id":"r1","upstream":"e1","reason":"upstream_failed"}
{"time":"2026-03-10T21:45:24.13Z","level":"WARN","msg":"upstream set aside","node":"a","upstream":"e1","cause":"unexpected EOF"}
{"time":"2026-03-10T21:45:24.14Z","level":"INFO","msg":"refused","node":"a","request_id":"r1","workspace":"w1","status":502,"reason":"upstream_failed","execution":"may_have_run","elapsed_ms":40}
{"time":"2026-03-10T21:45:24.20Z","level":"INFO","msg":"sent","node":"a","request_id":"r2","upstream":"e1","workspace":"w2"}
{"time":"2026-03-10T21:45:26Z","level":"INFO","msg":"configuration in force","node":"a","version":8}
not a log line
`,
	"b.log": `{"time":"2026-03-10T21:45:23Z","level":"INFO","msg":"configuration in force","node":"b","version":7}
{"time":"2026-03-10T21:45:24.15Z","level":"INFO","msg":"upstream gone","node":"b","upstream":"e1"}
`,
}

func read(t *testing.T) []logs.Line {
	t.Helper()
	dir := t.TempDir()
	for name, text := range logFiles {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	lines, skipped, err := logs.Read(dir)
	if err != nil || skipped != 1 {
		t.Fatal(skipped, err)
	}
	return lines
}

func TestExplain(t *testing.T) {
	lines := read(t)
	for _, tt := range []struct {
		name  string
		has   []string
		lacks []string
	}{
		{"r1", []string{
			"r1: refused with status 502 because of upstream_failed (may_have_run), after 40 ms", "believed when it began:", "version=7",
			"seen of its upstreams around then:", "cause=unexpected EOF", "2 × upstream_failed",
		}, []string{"r2", "version=8", "upstream gone"}},
		{"w2", []string{"sent request_id=r2"}, []string{"r1"}},
		{"e1", []string{"upstream gone", "cause=unexpected EOF", "request_id=r1"}, nil},
		{"nobody", []string{"no line carries this name", "2026-03-10T21:45:20Z"}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b strings.Builder
			logs.Explain(lines, tt.name).Print(&b)
			for _, s := range tt.has {
				if !strings.Contains(b.String(), s) {
					t.Fatalf("%q is missing in\n%s", s, b.String())
				}
			}
			for _, s := range tt.lacks {
				is.True(!strings.Contains(b.String(), s))
			}
		})
	}
}

func TestReadMissingFile(t *testing.T) {
	is := is.New(t)
	_, _, err := logs.Read(filepath.Join(t.TempDir(), "none"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "name a readable file or folder"))
}

func FuzzScan(f *testing.F) {
	for _, text := range logFiles {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := logs.Scan(strings.NewReader(text))
		if err == nil {
			logs.Explain(lines, "r1").Print(&strings.Builder{})
		}
	})
}
