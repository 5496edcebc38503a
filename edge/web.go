package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/reply"
)

// Bounds of the listeners.
const (
	headerTimeout = 10 * time.Second // callers' own limit is below it
	idleTimeout   = 5 * time.Minute  // longer than callers keep an idle connection
	maxHeader     = 64 << 10         // bytes
	maxAddresses  = 64               // in a directory answer
)

// web is one HTTP listener.
type web struct {
	addr string
	srv  *http.Server
	ln   net.Listener
}

// newWeb returns a listener that is not open yet.
func newWeb(addr string, h http.Handler) *web {
	return &web{addr: addr, srv: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true,
	}}
}

// start opens the listener and serves it.
func (w *web) start() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return vane.Errorf(vane.KindInvalid, "edge.listen", "free the address or name another", "can't listen on %s", w.addr).WithCause(err)
	}
	w.ln = ln
	go func() {
		// Serve ends when the listener is closed, which is not an error.
		_ = w.srv.Serve(ln)
	}()
	return nil
}

// quiet stops accepting connections. Those that are open go on.
func (w *web) quiet() { _ = w.ln.Close() }

// close closes all idle connections, and then the rest.
func (w *web) close() {
	ctx, cancel := context.WithTimeout(context.Background(), drainMargin/3)
	defer cancel()
	if w.srv.Shutdown(ctx) != nil {
		_ = w.srv.Close()
	}
}

// metricsAddr returns the address of the metrics.
func metricsAddr(s Settings) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)) }

// isReady says whether callers may be sent to this node.
func (n *Node) isReady() bool { return !n.isLeaving() && n.mirror.View().Config != nil }

// serveReady answers the platform's question whether the node is ready.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.ad.Directory.ReadyPath():
		http.NotFound(w, r)
	case !n.isReady():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// serveDirectory tells a caller which nodes to use.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.ad.Directory.Path() {
		http.NotFound(w, r)
		return
	}
	addrs := n.addresses()
	if len(addrs) == 0 {
		http.Error(w, "no node is ready", http.StatusServiceUnavailable)
		return
	}
	reply.JSON(w, n.ad.Directory.Answer(addrs, n.set.ttl()))
}

// addresses returns the addresses of the nodes that are ready. A node that hears
// no other one may be cut off itself, and then names all that it knows.
func (n *Node) addresses() []string {
	var ready, known []string
	if n.isReady() {
		ready = append(ready, n.set.Callers)
	}
	for _, p := range n.mesh.Peers() {
		if p.Callers == "" || p.Leaving {
			continue
		}
		known = append(known, p.Callers)
		if p.Ready && p.Alive {
			ready = append(ready, p.Callers)
		}
	}
	if len(known) > 1 && len(ready) <= 1 && !n.isLeaving() {
		ready = append(ready, known...)
	}
	return ready[:min(len(ready), maxAddresses)]
}
