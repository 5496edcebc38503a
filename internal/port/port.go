// Package port finds ports for nodes that tests and experiments start.
//
// Ports that the system chooses itself do not serve: between the choice and the
// node's start, or while a node is down, an outgoing connection may take them. Other
// processes that do the same must not choose the same ones either, so that each
// process has a range of its own.
//
// # Usage
//
//	p, err := port.Free()
package port

import (
	"fmt"
	"net"
	"os"
	"sync"

	vane "mustardvane.org/vane"
)

// The ports lie below those that systems give to outgoing connections.
const (
	first  = 10_000
	ranges = 44
	size   = 500 // ports of a range; the first one marks it as taken
)

// own is the range of this process.
var own struct {
	mu   sync.Mutex
	mark net.Listener // open while the process lives
	base int
	next int
}

// Free returns a port of the loopback interface that is free for TCP and UDP and
// that this process has not returned lately.
func Free() (int, error) {
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.mark == nil {
		if err := take(); err != nil {
			return 0, err
		}
	}
	for range size - 1 {
		own.next = own.next%(size-1) + 1
		if p := own.base + own.next; free(p) {
			return p, nil
		}
	}
	return 0, vane.Errorf(vane.KindUnavailable, "port.free", "end what listens on them", "no free port from %d to %d", own.base, own.base+size)
}

// take takes a range that no other process has.
func take() error {
	for i := range ranges {
		base := first + (os.Getpid()+i)%ranges*size
		if ln, err := net.Listen("tcp", address(base)); err == nil {
			own.mark, own.base = ln, base
			return nil
		}
	}
	return vane.Errorf(vane.KindUnavailable, "port.take", "end some processes that start nodes", "all ranges from port %d on are taken", first)
}

// free says whether nothing listens on the port.
func free(p int) bool {
	ln, err := net.Listen("tcp", address(p))
	if err != nil {
		return false
	}
	defer ln.Close()
	c, err := net.ListenPacket("udp", address(p))
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// address returns the loopback address of a port.
func address(p int) string { return fmt.Sprintf("127.0.0.1:%d", p) }
