// Package issuer issues certificates for tests.
//
// # Usage
//
//	authority := issuer.NewAuthority(t)
//	c, err := certifier.New(authority.Issue(t, t.TempDir(), 1))
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/certifier"
)

// Authority is a certificate authority for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &Authority{certificate, key}
}

// Issue issues a certificate for connections between instances with a serial
// number. It writes the certificate, its key and the authority's certificate into
// a folder, and returns the configuration that refers to these files.
func (a *Authority) Issue(t *testing.T, folder string, serial int64) certifier.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{certifier.PeerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	config := certifier.Config{
		CertificateFile: filepath.Join(folder, "tls.crt"),
		KeyFile:         filepath.Join(folder, "tls.key"),
		AuthorityFile:   filepath.Join(folder, "ca.crt"),
	}
	write := func(file, kind string, contents []byte) {
		encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: contents})
		require.NoError(t, os.WriteFile(file, encoded, 0o600))
	}
	write(config.CertificateFile, "CERTIFICATE", der)
	write(config.KeyFile, "PRIVATE KEY", encodedKey)
	write(config.AuthorityFile, "CERTIFICATE", a.certificate.Raw)
	return config
}
