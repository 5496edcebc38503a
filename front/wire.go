package front

import (
	"crypto/tls"
	"net/http"

	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/linger"
)

// hopByHopHeaders are the headers that apply to a single connection. The HTTP server
// sets its own.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyHeader copies the headers of a response, except those for one connection. If the
// response states no end of its body, dst won't either.
func copyHeader(dst http.Header, resp *conns.Response) {
	src := resp.Header
	for k, v := range src {
		dst[k] = v
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
	if src.Get("Content-Type") == "" {
		dst["Content-Type"] = nil // keeps the HTTP server from guessing a type
	}
	resp.Framing.SetHeader(dst)
}

// beginResponse sets the headers of the caller's response before its first bytes. If nothing
// but the end of the connection will end it, a connection that ends before endResponse is
// reset. Callers of HTTP/1.0 get no chunks.
func (h *Handler) beginResponse(w http.ResponseWriter, r *http.Request, t *attempts, resp *conns.Response) {
	copyHeader(w.Header(), resp)
	h.closeIfDraining(w)
	t.unstated = resp.Framing == conns.FramingClose || !r.ProtoAtLeast(1, 1)
	if !t.unstated {
		return
	}
	if err := linger.Begin(r); err != nil {
		h.Log.Warn("part of a response may look whole if this node ends", "request_id", t.meta.ID, "err", err.Error())
	}
}

// closeIfDraining makes the connection to the caller end with this response if the node is
// shutting down, so that the caller sends no further request over it.
func (h *Handler) closeIfDraining(w http.ResponseWriter) {
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
}

// endResponse is called after the last bytes of a response to the caller.
func (h *Handler) endResponse(w http.ResponseWriter, r *http.Request, t *attempts) {
	if !t.unstated {
		return
	}
	if err := linger.End(w, r); err != nil {
		h.Log.Info("end of the response not sent", "request_id", t.meta.ID, "err", err.Error())
	}
}

// resetConn resets the connection to the caller. After TLS, a connection that ends without
// an alert shows the same as a reset.
func resetConn(w http.ResponseWriter) error {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		err = l.SetLinger(0)
	}
	if cerr := c.Close(); err == nil {
		err = cerr
	}
	return err
}
