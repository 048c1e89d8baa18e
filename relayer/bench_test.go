package relayer_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
)

// BenchmarkRequest sends requests on one connection through a pipeliner and a Relayer whose
// answers are ready.
func BenchmarkRequest(b *testing.B) {
	table := newTable()
	r := relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Dialect: dialect{}, Log: slog.New(slog.DiscardHandler),
		Forwarder: forwardFunc(func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
			a := answer("whole")
			a.IsWhole = true
			return a, nil
		}),
	})
	conn, err := net.Dial("tcp", serveCallers(b, r))
	require.NoError(b, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: 9c41d07be2a35f68\r\n\r\n")
		require.NoError(b, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
	}
}
