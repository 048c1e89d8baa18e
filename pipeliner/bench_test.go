package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/pipeliner"
)

// BenchmarkRequest compares a request on a persistent connection with the same
// request to the server of net/http.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "hello")
	})
	servers := map[string]interface {
		Serve(l net.Listener) error
		Close() error
	}{
		"pipeliner": pipeliner.New(pipeliner.Config{Handler: handler, MayOverlap: isSafe}),
		"net/http":  &http.Server{Handler: handler},
	}
	for name, server := range servers {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(b, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(conn, "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 9c41d07be2a35f68\r\n\r\n")
				require.NoError(b, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
			}
		})
	}
}
