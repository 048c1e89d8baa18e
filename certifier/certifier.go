// Package certifier loads TLS certificates and reloads them when their files change,
// without a restart.
//
// # Usage
//
//	c, err := certifier.New(certifier.Config{CertificateFile: "tls.crt", KeyFile: "tls.key"})
//	if err != nil {
//		return err
//	}
//	go c.Run(ctx)
//	server.TLSConfig = c.Server()
package certifier

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
)

// PeerName is the DNS name that the certificate of every entry must have for mutual TLS,
// because entries connect to each other by IP address.
const PeerName = "peer.pollencrank.internal"

// defaultInterval is how often the files are read.
const defaultInterval = 10 * time.Second

// Config is the configuration of a Certifier.
type Config struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates of the authorities that must have signed
	// the certificates of peers. It is needed for mutual TLS only.
	AuthorityFile string
	Interval      time.Duration
	Log           *slog.Logger
}

// credentials are the contents of the files as of one load.
type credentials struct {
	raw         [][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Certifier provides TLS configurations that use the newest valid files.
type Certifier struct {
	config  Config
	current atomic.Pointer[credentials]
	// lastFault is why the files could not be used at the last reload, so that a lasting
	// fault is logged once.
	lastFault string
}

// New loads the files.
func New(config Config) (*Certifier, error) {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	c := &Certifier{config: config}
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	c.current.Store(loaded)
	return c, nil
}

func (c *Certifier) load() (*credentials, error) {
	loaded := &credentials{}
	for _, name := range []string{c.config.CertificateFile, c.config.KeyFile, c.config.AuthorityFile} {
		if name == "" {
			loaded.raw = append(loaded.raw, nil)
			continue
		}
		contents, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("load certificate: %w", err)
		}
		loaded.raw = append(loaded.raw, contents)
	}
	certificate, err := tls.X509KeyPair(loaded.raw[0], loaded.raw[1])
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", c.config.CertificateFile, err)
	}
	loaded.certificate = certificate
	if c.config.AuthorityFile == "" {
		return loaded, nil
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(loaded.raw[2]) {
		return nil, fmt.Errorf("load certificate authorities: %s contains no valid certificate", c.config.AuthorityFile)
	}
	return loaded, nil
}

// Run reloads changed files at every interval until ctx ends.
func (c *Certifier) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Reload()
		}
	}
}

// Reload reads the files now. If they are invalid, the current certificates stay in use.
func (c *Certifier) Reload() {
	loaded, err := c.load()
	if err != nil {
		if fault := err.Error(); fault != c.lastFault {
			c.config.Log.Error("the changed certificate cannot be used; the current one stays", recorder.EventCertificateInvalid.Attr(), slog.String("error", fault))
			c.lastFault = fault
		}
		return
	}
	c.lastFault = ""
	if sameFiles(c.current.Load().raw, loaded.raw) {
		return
	}
	c.current.Store(loaded)
	c.config.Log.Info("a changed certificate is in use", recorder.EventCertificateReloaded.Attr())
}

func sameFiles(a, b [][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// Server returns the configuration of a server. With an authority file the server
// requires certificates of its clients.
func (c *Certifier) Server() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
	if c.config.AuthorityFile == "" {
		return config
	}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		latest := c.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{latest.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    latest.authorities,
			NextProtos:   []string{"h2"},
		}, nil
	}
	return config
}

// Client returns the configuration of a client for mutual TLS.
func (c *Certifier) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
		// The standard verification would use a fixed set of authorities;
		// VerifyConnection checks the same against the newest set.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *Certifier) verify(state tls.ConnectionState) error {
	options := x509.VerifyOptions{
		DNSName:       PeerName,
		Roots:         c.current.Load().authorities,
		Intermediates: x509.NewCertPool(),
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}
