package front

import (
	"net"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// A crash counts although the upstream has just accepted a connection.
func TestCrashSoonAfterReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	u := vane.Upstream{Name: "u", Addr: l.Addr().String()}
	var k crashChecks
	is.Equal(k.crashed(u), false) // a reset
	is.NoErr(l.Close())
	is.True(k.crashed(u))
}
