package edge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/reply"
	"mustardvane.org/vane/linger"
	"mustardvane.org/vane/mesh"
)

// Limits of the listeners.
const (
	headerTimeout  = 10 * time.Second // callers enforce a shorter limit themselves
	idleTimeout    = 5 * time.Minute  // longer than callers keep an idle connection
	maxHeaderBytes = 64 << 10
	maxAddresses   = 64 // addresses in a directory answer

	contactMargin   = 3 * time.Second        // time that is allowed in addition to the contact limit
	directoryMargin = 500 * time.Millisecond // time for the answer and for slow hosts
)

// httpListener is an HTTP server on one address.
type httpListener struct {
	addr   string
	server *http.Server
	ln     net.Listener
}

// newListener returns a listener that is not open yet.
func newListener(addr string, h http.Handler) *httpListener {
	return &httpListener{addr: addr, server: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnContext: linger.ConnContext,
	}}
}

// start opens the listener and serves it in the background.
func (w *httpListener) start() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return vane.Errorf(vane.KindInvalid, "edge.listen", "free the address or configure another one", "can't listen on %s", w.addr).WithCause(err)
	}
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
	addrs := n.addresses(n.adapter.Directory.Zone(r))
	if len(addrs) == 0 {
		http.Error(w, "no node is ready", http.StatusServiceUnavailable)
		return
	}
	reply.JSON(w, n.adapter.Directory.Answer(addrs, n.settings.ttl()))
}

// addresses returns the addresses to which callers in the data centre are directed.
func (n *Node) addresses(dataCentre string) []string {
	self := ""
	if n.isReady() {
		self = n.settings.CallerAddr
	}
	peers := n.mesh.Peers()
	if n.settings.ContactLimit > 0 {
		peers = recentPeers(time.Now(), peers, n.silenceLimit(len(peers)), self != "")
	}
	addrs := directoryAddresses(self, n.isLeaving(), peers)
	n.sortByRegion(addrs, dataCentre, peers)
	return addrs[:min(len(addrs), maxAddresses)]
}

// sortByRegion moves the addresses of nodes in the region of a caller's data centre to the
// front. It changes nothing if that region is not known.
func (n *Node) sortByRegion(addrs []string, dataCentre string, peers []mesh.Peer) {
	region := n.settings.Regions[dataCentre]
	if region == "" {
		return
	}
	near := make(map[string]bool)
	near[n.settings.CallerAddr] = n.settings.region() == region
	for _, p := range peers {
		near[p.Callers] = n.settings.Regions[p.DataCentre] == region
	}
	slices.SortStableFunc(addrs, func(a, b string) int {
		switch {
		case near[a] == near[b]:
			return 0
		case near[a]:
			return -1
		}
		return 1
	})
}

// silenceLimit returns the time without a message after which callers are not sent to one of n
// other nodes. A message may have been on its way for two periods of relays, so that a node
// may have ended that long before its last message arrived.
func (n *Node) silenceLimit(peers int) time.Duration {
	return max(0, n.settings.ContactLimit+contactMargin-directoryMargin-mesh.MaxTransit(peers))
}

// recentPeers returns the nodes that were heard within the limit. If this node is not ready
// itself, those that it has never heard are returned too, so that callers of a node that
// starts get an answer.
func recentPeers(now time.Time, peers []mesh.Peer, limit time.Duration, ready bool) []mesh.Peer {
	return slices.DeleteFunc(peers, func(p mesh.Peer) bool {
		if p.LastHeard.IsZero() {
			return ready
		}
		return now.Sub(p.LastHeard) > limit
	})
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
	return ready
}
