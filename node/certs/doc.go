// Package certs loads TLS certificates and reloads them when their files change, so
// that they can be renewed without a restart.
//
// # Usage
//
//	r, err := certs.NewReloader("cert.pem", "key.pem")
//	cfg := &tls.Config{GetCertificate: r.Certificate}
package certs
