package front

import (
	"net"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
)

// A crash counts although the upstream has just accepted a connection.
func TestCrashSoonAfterReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	u := vane.Upstream{Name: "u", Addr: l.Addr().String()}
	var k crashChecks
	pool := conns.NewPool()
	t.Cleanup(pool.Close)
	is.Equal(k.crashed(pool, u), false) // a reset
	is.NoErr(l.Close())
	is.True(k.crashed(pool, u))
}
