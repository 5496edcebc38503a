package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyFault is what a proxy does to its connections.
type proxyFault int32

const (
	passThrough     proxyFault = iota // no fault
	delay                             // each chunk of bytes is delayed by proxyDelay
	dropResponses                     // bytes from the target are dropped
	dropAll                           // bytes in both directions are dropped
	refuse                            // new connections are reset
	proxyFaultCount                   // number of values
)

// proxyDelay is the delay of each chunk under the fault delay.
const proxyDelay = 80 * time.Millisecond

// proxy forwards TCP connections to a target, and can disturb them.
type proxy struct {
	ln     net.Listener
	target string
	fault  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{} // open connections to clients and to the target
}

// newProxy starts a proxy that listens on the loopback interface and forwards to target.
func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// addr returns the address that the proxy listens on.
func (p *proxy) addr() string { return p.ln.Addr().String() }

// set sets the fault of present and future connections. The fault refuse affects new
// connections only.
func (p *proxy) set(f proxyFault) { p.fault.Store(int32(f)) }

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// close stops listening and resets all open connections.
func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept accepts connections until the proxy is closed.
func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// forward connects c to the target and copies bytes in both directions until both ends
// are closed.
func (p *proxy) forward(c net.Conn) {
	if proxyFault(p.fault.Load()) == refuse {
		resetConn(c)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(up, c, false) })
	wg.Go(func() { p.copy(c, up, true) })
	wg.Wait()
	_ = c.Close()
	_ = up.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy copies bytes from src to dst as the current fault demands. back is set for the
// direction from the target to the client. Once bytes were dropped, nothing that follows
// them arrives, as with TCP.
func (p *proxy) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buf)
		f := proxyFault(p.fault.Load())
		dropped = dropped || f == dropAll || f == dropResponses && back
		if dropped && err == nil {
			continue
		}
		if dropped && err == io.EOF {
			return
		}
		if n > 0 {
			if f == delay {
				time.Sleep(proxyDelay)
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				resetConn(src)
				return
			}
		}
		if err == io.EOF {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			resetConn(dst)
			return
		}
	}
}
