package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/reply"
	"mustardvane.org/vane/linger"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/mesh"
)

// Limits of the listeners.
const (
	headerTimeout  = 10 * time.Second // callers enforce a shorter limit themselves
	idleTimeout    = 5 * time.Minute  // longer than callers keep an idle connection
	maxHeaderBytes = 64 << 10
	maxAddresses   = 64 // addresses in a directory answer
)

// httpListener is an HTTP server on one address.
type httpListener struct {
	addr   string
	server *http.Server
	name   string // in metrics and log lines
	memory *memory.Budget
	limit  int // of connections
	ln     net.Listener
}

// newListener returns a listener that is not open yet, for up to limit connections.
func newListener(name, addr string, h http.Handler, b *memory.Budget, limit int) *httpListener {
	w := &httpListener{addr: addr, name: name, memory: b, limit: limit, server: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnContext: linger.ConnContext,
	}}
	memory.Attach(w.server)
	return w
}

// start opens the listener and serves it in the background.
func (w *httpListener) start() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return vane.Errorf(vane.KindInvalid, "edge.listen", "free the address or configure another one", "can't listen on %s", w.addr).WithCause(err)
	}
	ln = w.memory.Listen(ln, w.name, w.limit)
	w.ln = ln
	go func() {
		// Serve returns an error when the listener is closed, which is expected here.
		_ = w.server.Serve(ln)
	}()
	return nil
}

// stopAccepting closes the listener. Open connections are still served.
func (w *httpListener) stopAccepting() { _ = w.ln.Close() }

// close closes idle connections, waits for active ones until ctx ends, and then closes all.
func (w *httpListener) close(ctx context.Context) {
	if w.server.Shutdown(ctx) != nil {
		_ = w.server.Close()
	}
}

// metricsAddr returns the address on which metrics are served.
func metricsAddr(s Settings) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)) }

// isReady reports whether callers may be sent to this node.
func (n *Node) isReady() bool { return !n.isLeaving() && n.mirror.View().Config != nil }

// serveReady answers the platform's readiness check.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.adapter.Directory.ReadyPath():
		http.NotFound(w, r)
	case !n.isReady():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// serveDirectory tells a caller which nodes to use.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.adapter.Directory.Path() {
		http.NotFound(w, r)
		return
	}
	addrs := n.addresses()
	if len(addrs) == 0 {
		http.Error(w, "no node is ready", http.StatusServiceUnavailable)
		return
	}
	reply.JSON(w, n.adapter.Directory.Answer(addrs, n.settings.ttl()))
}

// addresses returns the addresses to which callers are directed.
func (n *Node) addresses() []string {
	self := ""
	if n.isReady() {
		self = n.settings.CallerAddr
	}
	return directoryAddresses(self, n.isLeaving(), n.mesh.Peers())
}

// directoryAddresses returns the addresses of the ready nodes. self is the address of this
// node, or "" if it is not ready. A node that hears no other ready one, since it has just
// started or is cut off, also returns all others that it knows, if there are several.
func directoryAddresses(self string, leaving bool, peers []mesh.Peer) []string {
	var ready, unheard []string
	for _, p := range peers {
		switch {
		case p.Callers == "" || p.Leaving:
		case p.Ready && p.Alive:
			ready = append(ready, p.Callers)
		default:
			unheard = append(unheard, p.Callers)
		}
	}
	if len(ready) == 0 && len(unheard) > 1 && !leaving {
		ready = unheard
	}
	if self != "" {
		ready = append([]string{self}, ready...)
	}
	return ready[:min(len(ready), maxAddresses)]
}
