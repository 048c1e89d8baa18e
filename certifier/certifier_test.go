package certifier_test

import (
	"bytes"
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/certifier"
	"github.com/pollencrank/pollencrank/internal/issuer"
)

func load(t *testing.T, config certifier.Config) *certifier.Certifier {
	t.Helper()
	c, err := certifier.New(config)
	require.NoError(t, err)
	return c
}

// handshake connects a client to a server and returns the serial number that
// the client saw.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		served <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	secured := tls.Client(conn, client)
	if err := secured.Handshake(); err != nil {
		return 0, err
	}
	if err := <-served; err != nil {
		return 0, err
	}
	return secured.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLS(t *testing.T) {
	trusted, other := issuer.NewAuthority(t), issuer.NewAuthority(t)
	first := load(t, trusted.Issue(t, t.TempDir(), 11))
	second := load(t, trusted.Issue(t, t.TempDir(), 12))
	untrusted := load(t, other.Issue(t, t.TempDir(), 13))
	serial, err := handshake(t, first.Server(), second.Client())
	require.NoError(t, err)
	require.Equal(t, int64(11), serial)
	_, err = handshake(t, first.Server(), untrusted.Client())
	require.Error(t, err, "the server's certificate is from another authority")
	_, err = handshake(t, untrusted.Server(), second.Client())
	require.Error(t, err)
	_, err = handshake(t, first.Server(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "a client without a certificate is refused")
}

func TestCertificatesAreReplacedWithoutARestart(t *testing.T) {
	a := issuer.NewAuthority(t)
	folder := t.TempDir()
	var log bytes.Buffer
	config := a.Issue(t, folder, 21)
	config.Log = slog.New(slog.NewJSONHandler(&log, nil))
	server := load(t, config)
	client := load(t, a.Issue(t, t.TempDir(), 22))
	a.Issue(t, folder, 23)
	server.Reload()
	serial, err := handshake(t, server.Server(), client.Client())
	require.NoError(t, err)
	require.Equal(t, int64(23), serial)
	require.Contains(t, log.String(), "PC1601")

	require.NoError(t, os.WriteFile(filepath.Join(folder, "tls.key"), []byte("garbage"), 0o600))
	server.Reload()
	require.Contains(t, log.String(), "PC1602")
	serial, err = handshake(t, server.Server(), client.Client())
	require.NoError(t, err)
	require.Equal(t, int64(23), serial, "an invalid key leaves the current certificate in use")
}

func TestUnusableFilesAreAnError(t *testing.T) {
	_, err := certifier.New(certifier.Config{CertificateFile: "none", KeyFile: "none"})
	require.Error(t, err)
}
