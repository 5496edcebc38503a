package queue_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that their result is
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
