package front

import (
	"crypto/tls"
	"net/http"

	"mustardvane.org/vane/conns"
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
		if name == "Connection" && dst.Get(name) == "close" && src.Get(name) == "" {
			continue // set by ServeHTTP because this node is draining
		}
		dst.Del(name)
	}
	if src.Get("Content-Type") == "" {
		dst["Content-Type"] = nil // keeps the HTTP server from guessing a type
	}
	resp.Framing.SetHeader(dst)
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
