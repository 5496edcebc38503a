package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"k8s.io/klog/v2"

	vane "mustardvane.org/vane"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = time.Second

// Reloader holds a certificate and reloads it when its files have changed. It is
// safe for concurrent use.
type Reloader struct {
	cert, key string
	read      func(cert, key string) (tls.Certificate, error)

	mu        sync.Mutex
	current   *tls.Certificate
	files     [2]fileState // when they were loaded
	checkedAt time.Time
}

// NewReloader loads the certificate and key from PEM files. It returns an error of
// kind invalid if they can't be loaded.
func NewReloader(cert, key string) (*Reloader, error) {
	r := &Reloader{cert: cert, key: key, read: tls.LoadX509KeyPair}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// load reads the files and replaces the current certificate. It notes their state before
// that: files that are being written are loaded again once they have changed.
func (r *Reloader) load() error {
	r.files = r.stat()
	c, err := r.read(r.cert, r.key)
	if err != nil {
		return vane.Errorf(vane.KindInvalid, "certs.load", "name a PEM certificate and its key", "can't load certificate %s or its key", r.cert).WithCause(err)
	}
	r.current = &c
	return nil
}

// fileState tells whether a file has changed.
type fileState struct {
	modTime time.Time
	size    int64
}

// stat returns the state of the two files; that of a file that can't be read is zero.
func (r *Reloader) stat() [2]fileState {
	var out [2]fileState
	for i, f := range []string{r.cert, r.key} {
		if st, err := os.Stat(f); err == nil {
			out[i] = fileState{st.ModTime(), st.Size()}
		}
	}
	return out
}

// get returns the current certificate, reloaded if its files have changed. If
// reloading fails, it keeps the previous certificate.
func (r *Reloader) get() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checkedAt) < checkInterval {
		return r.current
	}
	r.checkedAt = now
	if r.stat() == r.files {
		return r.current
	}
	if err := r.load(); err != nil {
		klog.ErrorS(err, "certificate not reloaded; the previous one stays in use", "file", r.cert)
	}
	return r.current
}

// Certificate returns the current certificate, for use as tls.Config.GetCertificate.
func (r *Reloader) Certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil }

// ClientCertificate returns the current certificate, for use as
// tls.Config.GetClientCertificate.
func (r *Reloader) ClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.get(), nil
}

// MutualTLS returns the server and client credentials for mutual TLS between nodes.
// The certificate is reloaded when its files change; the CA file is read only once.
func MutualTLS(cert, key, ca string) (server, client credentials.TransportCredentials, err error) {
	r, err := NewReloader(cert, key)
	if err != nil {
		return nil, nil, err
	}
	pool, err := LoadPool(ca)
	if err != nil {
		return nil, nil, err
	}
	server = credentials.NewTLS(&tls.Config{
		GetCertificate: r.Certificate, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	})
	client = credentials.NewTLS(&tls.Config{GetClientCertificate: r.ClientCertificate, RootCAs: pool, MinVersion: tls.VersionTLS13})
	return server, client, nil
}

// LoadPool reads the CA certificates in a PEM file. It returns an error of kind
// invalid if the file can't be read or contains no certificate.
func LoadPool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, vane.Errorf(vane.KindInvalid, "certs.pool", "name a PEM file", "can't read CA file %s", file).WithCause(err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, vane.Errorf(vane.KindInvalid, "certs.pool", "name a PEM file with certificates", "CA file %s contains no certificate", file)
	}
	return p, nil
}
