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

// checkEvery is the shortest time between two looks at the files.
const checkEvery = time.Second

// Reloader holds a certificate and keeps it up to date with its files.
type Reloader struct {
	cert, key string

	mu      sync.Mutex
	current *tls.Certificate
	stamp   time.Time // newest change of the files
	checked time.Time
}

// NewReloader loads the certificate for the first time.
func NewReloader(cert, key string) (*Reloader, error) {
	r := &Reloader{cert: cert, key: key}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// load reads the files.
func (r *Reloader) load() error {
	c, err := tls.LoadX509KeyPair(r.cert, r.key)
	if err != nil {
		return vane.Errorf(vane.KindInvalid, "certs.load", "name a PEM certificate and its key", "can't load %s", r.cert).WithCause(err)
	}
	r.current, r.stamp = &c, r.changed()
	return nil
}

// changed returns the time of the newest change of the files.
func (r *Reloader) changed() time.Time {
	var newest time.Time
	for _, f := range []string{r.cert, r.key} {
		if st, err := os.Stat(f); err == nil && st.ModTime().After(newest) {
			newest = st.ModTime()
		}
	}
	return newest
}

// get returns the current certificate.
func (r *Reloader) get() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checked) < checkEvery {
		return r.current
	}
	r.checked = now
	if r.changed().Equal(r.stamp) {
		return r.current
	}
	if err := r.load(); err != nil {
		klog.ErrorS(err, "certificate kept", "file", r.cert)
	}
	return r.current
}

// Certificate is for tls.Config.GetCertificate.
func (r *Reloader) Certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil }

// ClientCertificate is for tls.Config.GetClientCertificate.
func (r *Reloader) ClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.get(), nil
}

// MutualTLS returns the two sides of mutual TLS between nodes. Certificates are
// reloaded; the authority is read once.
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

// LoadPool reads the certificates of an authority.
func LoadPool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, vane.Errorf(vane.KindInvalid, "certs.pool", "name a PEM file", "can't read %s", file).WithCause(err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, vane.Errorf(vane.KindInvalid, "certs.pool", "name a PEM file with certificates", "%s has no certificate", file)
	}
	return p, nil
}
