package relayer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
)

// Guards against requests that are lost with the answer of another: behind a long answer that
// broke off, the connection was closed on requests that sound servers had run.
func TestNothingIsSentOnBehindALongAnswer(t *testing.T) {
	var mu sync.Mutex
	var forwarded []string
	forward := func(_ context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
		mu.Lock()
		forwarded = append(forwarded, call.Request.URI)
		mu.Unlock()
		a := answer("whole")
		a.IsWhole = !strings.Contains(call.Request.URI, "/long/")
		if call.Request.URI == "/long/broken" {
			a.ContentLength += 10
			a.Body = io.NopCloser(io.MultiReader(strings.NewReader("whole"), brokenReader{}))
		}
		return a, nil
	}
	table := router.NewTable(router.Configuration{Routes: []router.Route{
		{Name: "long", Host: "a.example", PathPrefix: "/long/", Timeout: time.Minute, Kind: router.Download},
		{Name: "short", Host: "a.example", PathPrefix: "/short/", Timeout: time.Minute, Kind: router.Idempotent},
	}})
	r := relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Forwarder: forwardFunc(forward), Dialect: dialect{}, Log: slog.New(slog.DiscardHandler),
	})
	conn, reader := connect(t, serveCallers(t, r))
	request := func(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path) }
	_, err := io.WriteString(conn, request("/long/first"))
	require.NoError(t, err)
	_, body := readAnswer(t, reader)
	require.Equal(t, "whole", body)

	_, err = io.WriteString(conn, request("/short/1")+request("/long/broken")+request("/short/2")+request("/long/2"))
	require.NoError(t, err)
	_, body = readAnswer(t, reader)
	require.Equal(t, "whole", body)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []string{"/long/first", "/short/1", "/long/broken"}, forwarded)
}

// brokenReader is the rest of an answer that breaks off.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
