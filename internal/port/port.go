// Package port finds ports for nodes that tests start.
//
// Ports that the system chooses itself do not serve: between the choice and the
// node's start, or while a node is down, an outgoing connection may take them.
//
// # Usage
//
//	p, err := port.Free()
package port

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	vane "mustardvane.org/vane"
)

// The ports lie below those that systems give to outgoing connections. Each process
// has a range of its own, as far as there are any.
const (
	first  = 10_000
	ranges = 40
	size   = 500
)

// next is the number of ports that this process has looked at.
var next atomic.Uint64

// Free returns a port of the loopback interface that nothing listens on and that
// this process has not returned before, as long as there are such.
func Free() (int, error) {
	base := first + os.Getpid()%ranges*size
	for range size {
		p := base + int(next.Add(1)%size)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err == nil {
			return p, ln.Close()
		}
	}
	return 0, vane.Errorf(vane.KindUnavailable, "port.free", "end what listens on them", "no free port from %d to %d", base, base+size)
}
