package bench_test

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/bench"
)

// TestReplays runs every recorded trace with its fault schedule and compares the
// results with the expected outcomes.
func TestReplays(t *testing.T) {
	is := is.New(t)
	dirs, err := filepath.Glob("testdata/replays/*")
	is.NoErr(err)
	is.True(len(dirs) >= 5)
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			is := is.New(t)
			c, err := bench.ReadCase(dir)
			is.NoErr(err)
			_, missed, err := c.Replay(t.Context())
			is.NoErr(err)
			is.Equal(missed, nil)
		})
	}
}
