package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newPair returns a certificate with its key, in PEM.
func newPair(t *testing.T) (cert, key []byte) {
	t.Helper()
	is := is.New(t)
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	is.NoErr(err)
	kder, err := x509.MarshalECPrivateKey(k)
	is.NoErr(err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: kder})
}

// Part of a chain that was read while the file was written does not stay in use.
func TestPartOfAChainStaysInUse(t *testing.T) {
	is := is.New(t)
	leaf, key := newPair(t)
	issuer, _ := newPair(t)
	cert, keyFile := filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(cert, leaf, 0o600))
	is.NoErr(os.WriteFile(keyFile, key, 0o600))
	r, err := NewReloader(cert, keyFile)
	is.NoErr(err)
	check := func() int {
		r.checkedAt = time.Time{}
		return len(r.get().Certificate)
	}
	is.Equal(check(), 1)

	// The next load reads the leaf; its issuer is written right after that.
	is.NoErr(os.Chtimes(cert, time.Time{}, time.Now().Add(time.Second)))
	r.read = func(c, k string) (tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(c, k)
		is.NoErr(os.WriteFile(cert, append(leaf, issuer...), 0o600))
		is.NoErr(os.Chtimes(cert, time.Time{}, time.Now().Add(2*time.Second)))
		return pair, err
	}
	is.Equal(check(), 1)
	r.read = tls.LoadX509KeyPair
	is.Equal(check(), 2)
}

// A file that is cut within a certificate or a key leaves the previous pair in use.
func TestCutCertificate(t *testing.T) {
	is := is.New(t)
	leaf, key := newPair(t)
	cert, keyFile := filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	is.NoErr(os.WriteFile(cert, leaf, 0o600))
	is.NoErr(os.WriteFile(keyFile, key, 0o600))
	r, err := NewReloader(cert, keyFile)
	is.NoErr(err)
	was := r.current
	next, nextKey := newPair(t)
	is.NoErr(os.WriteFile(keyFile, nextKey, 0o600))
	for n := range len(next) - len("-----\n") {
		is.NoErr(os.WriteFile(cert, next[:n], 0o600))
		r.checkedAt = time.Time{}
		is.Equal(r.get(), was)
	}
	is.NoErr(os.WriteFile(cert, next, 0o600))
	r.checkedAt = time.Time{}
	is.True(r.get() != was)
}
