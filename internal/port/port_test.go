package port_test

import (
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/internal/port"
)

func TestFreeGivesEachPortOnce(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	for range 100 {
		p, err := port.Free()
		is.NoErr(err)
		is.True(!seen[p])
		is.True(p < 32768) // ports from here on are used for outgoing connections
		seen[p] = true
	}
}
