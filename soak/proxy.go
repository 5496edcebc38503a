package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// fault is what a proxy does to its connections.
type fault int32

// The faults of a proxy.
const (
	pass      fault = iota
	slow            // bytes are delayed
	muteBack        // bytes from the server are swallowed
	muteBoth        // all bytes are swallowed
	refuse          // new connections are reset
	faultKind       // number of faults
)

// proxyDelay is the delay of a slow proxy.
const proxyDelay = 80 * time.Millisecond

// proxy forwards connections to a target.
type proxy struct {
	ln     net.Listener
	target string
	fault  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// newProxy listens on the loopback interface.
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

// set changes the fault.
func (p *proxy) set(f fault) { p.fault.Store(int32(f)) }

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		kill(c)
	}
}

// close ends the proxy.
func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

// kill closes a connection with a reset.
func kill(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept takes connections until the proxy is closed.
func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// forward copies bytes both ways.
func (p *proxy) forward(c net.Conn) {
	if fault(p.fault.Load()) == refuse {
		kill(c)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		kill(c)
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

// copy copies one direction under the fault in force.
func (p *proxy) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			switch f := fault(p.fault.Load()); {
			case f == muteBoth, f == muteBack && back:
				continue
			case f == slow:
				time.Sleep(proxyDelay)
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				kill(src)
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
			kill(dst)
			return
		}
	}
}
