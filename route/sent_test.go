package route

import (
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// After a connection was handed to a request, the router must not claim that the
// request did not run.
func TestConnTracker(t *testing.T) {
	is := is.New(t)
	var m connTracker
	is.Equal(m.execution(), vane.NotRun)
	m.connected.Store(true)
	is.Equal(m.execution(), vane.MayHaveRun)
}
