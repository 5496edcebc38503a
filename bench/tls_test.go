package bench_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/config"
)

// authority is a certificate authority that signs certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	next int64
}

// newAuthority returns an authority that writes its files to a temporary directory of
// the test.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	is := is.New(t)
	a := &authority{t: t, dir: t.TempDir(), next: 2}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	is.NoErr(err)
	a.cert, err = x509.ParseCertificate(der)
	is.NoErr(err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

// file returns the path of a file in the authority's directory.
func (a *authority) file(name string) string { return filepath.Join(a.dir, name) }

// write encodes der as a PEM block of the given type and writes it to a file.
func (a *authority) write(name, kind string, der []byte) {
	is.New(a.t).NoErr(os.WriteFile(a.file(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue signs a new certificate and writes it and its key to cert.pem and key.pem, in
// place of the previous ones. It returns the certificate's serial number.
func (a *authority) issue() int64 {
	is := is.New(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	serial := a.next
	a.next++
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	raw, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	a.write("key.pem", "EC PRIVATE KEY", raw)
	a.write("cert.pem", "CERTIFICATE", der)
	return serial
}

// serial returns the serial number of the certificate that the server at addr presents,
// or 0 if the TLS handshake fails.
func (a *authority) serial(addr string) int64 {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	c, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: pool})
	if err != nil {
		return 0
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestTLS runs nodes with TLS for callers and mutual TLS between nodes. It replaces the
// certificates while the nodes run, and connects to the peer port without one, which
// must fail.
func TestTLS(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	first := a.issue()
	f := startFleet(t, bench.WithNodes(2), bench.WithSettings(func(s *config.Settings) {
		s.TLS.Callers = config.CertSettings{Cert: a.file("cert.pem"), Key: a.file("key.pem")}
		s.TLS.Peers = config.CertSettings{Cert: a.file("cert.pem"), Key: a.file("key.pem"), CA: a.file("ca.pem")}
	})) // startFleet returns only after the nodes have exchanged budgets, which takes peer calls
	is.Equal(a.serial(f.Nodes[0].Addr()), first)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+f.Nodes[0].Addr()+"/v1/models", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", bearer("w1"))
	resp, err := client.Do(req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(resp.Body.Close())

	second := a.issue()
	eventually(t, "the node presents the new certificate to callers", func() bool { return a.serial(f.Nodes[0].Addr()) == second })

	c, err := tls.Dial("tcp", f.Nodes[0].PeerAddr(), &tls.Config{RootCAs: pool, NextProtos: []string{"h2"}})
	if err == nil {
		_, err = c.Read(make([]byte, 1)) // TLS 1.3 servers reject a client certificate only after the client's handshake is done
		_ = c.Close()
	}
	is.True(err != nil) // a client without a certificate cannot connect to the peer port
}
