// Package port allocates ports for nodes that tests and experiments start.
//
// It does not use ports that the operating system assigns, since an outgoing connection
// may take such a port between the assignment and the start of the node, or while the
// node is down. Each process reserves a port range of its own, so that processes that
// allocate ports at the same time do not choose the same ones.
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
	"syscall"

	vane "mustardvane.org/vane"
)

// The ranges together end below the ports that operating systems use for outgoing
// connections.
const (
	firstPort  = 10_000
	rangeCount = 44
	rangeSize  = 500 // ports of a range; a listener on the first one reserves the range
)

// reserved is the range of this process.
var reserved struct {
	mu   sync.Mutex
	lock net.Listener // on port base, open until the process ends; nil before the first use
	base int          // first port of the range
	next int          // offset from base of the port allocated last
}

// Free returns a port of the loopback interface on which nothing listens by TCP or UDP.
// It returns each port of the process's range once before it returns one again. The
// error is of KindUnavailable if no port or no range is free. It is safe for concurrent
// use.
func Free() (int, error) { return FreeRun(1) }

// FreeRun is like Free for n consecutive ports, of which it returns the first.
func FreeRun(n int) (int, error) {
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	if reserved.lock == nil {
		if err := reserveRange(); err != nil {
			return 0, err
		}
	}
	run := 0 // free ports in a row up to the current one
	for range rangeSize - 1 + n {
		reserved.next = reserved.next%(rangeSize-1) + 1
		if reserved.next == 1 {
			run = 0
		}
		if p := reserved.base + reserved.next; !isFree(p) {
			run = 0
		} else if run++; run == n {
			return p - n + 1, nil
		}
	}
	return 0, vane.Errorf(vane.KindUnavailable, "port.free", "stop the processes that listen on these ports", "no %d free ports in a row from %d to %d", n, reserved.base, reserved.base+rangeSize)
}

// reserveRange reserves a range that no other process has reserved. reserved.mu must be
// held.
func reserveRange() error {
	for i := range rangeCount {
		base := firstPort + (os.Getpid()+i)%rangeCount*rangeSize
		if ln, err := net.Listen("tcp", address(base)); err == nil {
			reserved.lock, reserved.base = ln, base
			return nil
		}
	}
	return vane.Errorf(vane.KindUnavailable, "port.take", "stop some of the tests or experiments that start nodes", "other processes have reserved all port ranges from %d on", firstPort)
}

// isFree reports whether nothing listens on the port by TCP or UDP. No process is started
// meanwhile, since a new one holds all sockets of this one until it executes its program.
func isFree(p int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
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
