package front

import (
	"net"
	"testing"
	"time"

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
	sent := time.Now()
	is.Equal(k.crashed(pool, u, sent), false) // a reset
	is.NoErr(l.Close())
	is.True(k.crashed(pool, u, sent))
}

// A crash is not counted against the next process at the upstream's address, which began to
// serve requests later.
func TestCrashCountsAgainstTheNextProcess(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	u := vane.Upstream{Name: "u", Addr: l.Addr().String()}
	var k crashChecks
	pool := conns.NewPool()
	t.Cleanup(pool.Close)
	sent := time.Now()
	is.NoErr(l.Close())
	is.True(k.crashed(pool, u, sent))
	l, err = net.Listen("tcp", u.Addr)
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	is.True(k.crashed(pool, u, sent))               // a request to the process that crashed
	is.Equal(k.crashed(pool, u, time.Now()), false) // one to the next process, which was reset
}
