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
	"mustardvane.org/vane/node/certs"
)

// Bounds of the HTTP servers.
const (
	idleTimeout = 2 * time.Minute
	closeWait   = 5 * time.Second
)

// web is the service of one HTTP listener.
type web struct {
	addr string
	cert config.CertSettings
	srv  *http.Server
	lis  net.Listener
}

// newWeb returns the service of an HTTP listener on addr.
func newWeb(addr string, h http.Handler, b config.CallerSettings, cert config.CertSettings) *web {
	return &web{addr: addr, cert: cert, srv: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: b.HeaderTimeout,
		MaxHeaderBytes:    b.MaxHeader,
		IdleTimeout:       idleTimeout,
		ErrorLog:          klog.NewStandardLogger("WARNING"),
	}}
}

// Addr returns the address that the service listens on.
func (w *web) Addr() string {
	if w.lis == nil {
		return w.addr
	}
	return w.lis.Addr().String()
}

// quiet closes connections after their current request.
func (w *web) quiet() { w.srv.SetKeepAlivesEnabled(false) }

// cut closes the listener and all connections at once.
func (w *web) cut() { _ = w.srv.Close() }

// Run implements kernel.Service.
func (w *web) Run(ctx context.Context, ready func()) error {
	lis, err := net.Listen("tcp", w.addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; free the address or name another one in the settings", w.addr)
	}
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
	stop, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	if err := w.srv.Shutdown(stop); err != nil {
		_ = w.srv.Close()
	}
	<-done
	return nil
}
