package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"mustardvane.org/vane/config"
	"mustardvane.org/vane/linger"
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/node/certs"
)

// Timeouts of the HTTP servers.
const (
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 5 * time.Second
)

// httpService is the service of one HTTP listener, with TLS if a certificate is
// configured.
type httpService struct {
	addr string
	cert config.CertSettings
	srv  *http.Server
	lis  net.Listener

	name   string // in metrics and log lines
	memory *memory.Budget
	limit  int // of connections
}

// newHTTPService returns the service of an HTTP listener on addr, for up to limit connections.
func newHTTPService(name, addr string, h http.Handler, limits config.CallerSettings, cert config.CertSettings, b *memory.Budget, limit int) *httpService {
	w := &httpService{name: name, addr: addr, cert: cert, memory: b, limit: limit, srv: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.HeaderTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ConnContext:       linger.ConnContext,
		ErrorLog:          klog.NewStandardLogger("WARNING"),
	}}
	memory.Attach(w.srv)
	return w
}

// Addr returns the address that the service listens on, or the configured one
// before Run.
func (w *httpService) Addr() string {
	if w.lis == nil {
		return w.addr
	}
	return w.lis.Addr().String()
}

// disableKeepAlives makes the server close each connection after its current
// request.
func (w *httpService) disableKeepAlives() { w.srv.SetKeepAlivesEnabled(false) }

// closeNow closes the listener and all connections without waiting for requests.
func (w *httpService) closeNow() { _ = w.srv.Close() }

// Run implements kernel.Service. When ctx ends, it waits up to 5 s for requests in
// flight before it closes their connections.
func (w *httpService) Run(ctx context.Context, ready func()) error {
	lis, err := net.Listen("tcp", w.addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; free the address or name another one in the settings", w.addr)
	}
	lis = w.memory.Listen(lis, w.name, w.limit)
	w.lis = lis
	if w.cert.Enabled() {
		r, err := certs.NewReloader(w.cert.Cert, w.cert.Key)
		if err != nil {
			_ = lis.Close()
			return err
		}
		lis = tls.NewListener(lis, &tls.Config{GetCertificate: r.Certificate, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}})
	}
	done := make(chan error, 1)
	go func() { done <- w.srv.Serve(lis) }()
	ready()
	select {
	case err := <-done:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := w.srv.Shutdown(stop); err != nil {
		_ = w.srv.Close()
	}
	<-done
	return nil
}
