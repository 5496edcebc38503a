package main

import (
	"io"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/bench"
)

// fullDisk is a file that can't be written any further.
type fullDisk struct{}

// Write implements io.Writer.
func (fullDisk) Write([]byte) (int, error) { return 0, syscall.ENOSPC }

// A configuration that could not be written whole is reported.
func TestGetToAFullDisk(t *testing.T) {
	is := is.New(t)
	f, err := bench.Start(t.Context(), bench.WithNodes(1))
	is.NoErr(err)
	defer f.Close()
	args := []string{"vanectl", "--platform", f.PlatformURL(), "get"}
	is.Equal(run(args, io.Discard, io.Discard), 0)
	is.True(run(args, fullDisk{}, io.Discard) != 0)
}
