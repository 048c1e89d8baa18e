package relayer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
)

// rawAnswer returns an answer with the headers that make it the server's own.
func rawAnswer(statusLine, id, rest string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: s\r\n%s", statusLine, wire.HeaderAttempt, id, wire.HeaderSignature, rest)
}

// serveRaw starts a Relayer with a real dispatcher, whose server answers each request with the
// text that answer returns for its ID, and returns the address for callers.
func serveRaw(t testing.TB, answer func(id string) string) string {
	t.Helper()
	listener, err := standin.Listen(func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer(request.Header.Get(wire.HeaderAttempt)))
		}
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	d := dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}})
	t.Cleanup(d.Close)
	target := dispatcher.Target{Name: "i-1", Address: listener.Addr().String()}
	table := router.NewTable(router.Configuration{Version: 7, Routes: []router.Route{
		{Name: "orders", Host: "a.example", PathPrefix: "/", Timeout: 300 * time.Millisecond, Kind: router.NonIdempotent},
	}})
	return serveCallers(t, relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Dialect: platform.Dialect{}, Log: slog.New(slog.DiscardHandler),
		Forwarder: forwardFunc(func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
			request := *call.Request
			request.Body = bytes.NewReader(call.Body)
			return d.Send(ctx, target, &request)
		}),
	}))
}

// order sends an order and returns the status that its caller gets and the whole body, or an
// error if there is no whole answer.
func order(t testing.TB, address, id string) (int, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nContent-Length: 4\r\n\r\npins", wire.HeaderAttempt, id)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Guards against an answer that is none and becomes a success: a server in trouble sent status
// 000, and the caller got 200.
func TestAStatusThatIsNoneIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			address := serveRaw(t, func(id string) string { return rawAnswer(status+" Odd", id, "Content-Length: 4\r\n\r\ndone") })
			for n := range 3 {
				got, body, err := order(t, address, fmt.Sprint("order-", n))
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, got, "the outcome is unknown")
				require.Equal(t, string(pollencrank.ReasonAnswerInvalid), strings.TrimSpace(body))
			}
		})
	}
}
