package route

import (
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// Once a connection was handed to a request, nobody may say that it has not run.
func TestSentMark(t *testing.T) {
	is := is.New(t)
	var m sentMark
	is.Equal(m.execution(), vane.NotRun)
	m.got.Store(true)
	is.Equal(m.execution(), vane.MayHaveRun)
}
