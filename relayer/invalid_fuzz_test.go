package relayer_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/pipeliner"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
)

// maxExchange is far beyond the timeout of the route.
const maxExchange = 5 * time.Second

// FuzzAnswer sends bytes as the answer to an order. Its caller gets the server's own status and
// whole body, or a failure of the system, and never a success that the server has not sent.
func FuzzAnswer(f *testing.F) {
	for _, odd := range oddAnswers {
		f.Add([]byte(rawAnswer(odd.statusLine, "a", odd.rest)))
	}
	for _, status := range []string{"000", "099", "101", "600"} {
		f.Add([]byte(rawAnswer(status, "a", "Content-Length: 4\r\n\r\ndone")))
	}
	table := router.NewTable(router.Configuration{Version: 7, Routes: []router.Route{
		{Name: "orders", Host: "a.example", PathPrefix: "/", Timeout: 200 * time.Millisecond, Kind: router.NonIdempotent},
	}})
	var send atomic.Pointer[forwardFunc]
	r := relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Dialect: platform.Dialect{}, Log: slog.New(slog.DiscardHandler),
		Forwarder: forwardFunc(func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
			return (*send.Load())(ctx, call)
		}),
	})
	callers := pipes{make(chan net.Conn)}
	server := pipeliner.New(pipeliner.Config{Handler: r, MayOverlap: r.MayOverlap, RunsAlone: r.RunsAlone})
	go func() { _ = server.Serve(callers) }()
	f.Fuzz(func(t *testing.T, sent []byte) {
		d := dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}, DialContext: answering(sent)})
		defer d.Close()
		target := dispatcher.Target{Name: "i-1", Address: "127.0.0.1:1"}
		forward := forwardFunc(func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
			request := *call.Request
			request.Body = bytes.NewReader(call.Body)
			return d.Send(ctx, target, &request)
		})
		send.Store(&forward)
		requireOwnOrFailure(t, sent, exchangeOrder(t, callers))
	})
}

// pipes is a listener whose connections take no port.
type pipes struct{ accepted chan net.Conn }

func (p pipes) Accept() (net.Conn, error) {
	conn, ok := <-p.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (pipes) Close() error { return nil }

func (pipes) Addr() net.Addr { return &net.TCPAddr{} }

// answering returns a dialer of connections on which a request gets the given bytes and the end.
func answering(sent []byte) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if request, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = far.Write(sent)
			}
		}()
		return near, nil
	}
}

// exchangeOrder sends an order through a pipeliner and returns all that its caller gets.
func exchangeOrder(t *testing.T, callers pipes) []byte {
	near, conn := net.Pipe()
	callers.accepted <- near
	defer conn.Close()
	_, err := io.WriteString(conn, "POST /order HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"+wire.HeaderAttempt+": a\r\nContent-Length: 4\r\n\r\npins")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(maxExchange)))
	got, err := io.ReadAll(conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the exchange has an end")
	return got
}

// requireOwnOrFailure checks what a caller got against what its server had sent.
func requireOwnOrFailure(t *testing.T, sent, got []byte) {
	request := httptest.NewRequest(http.MethodPost, "/order", nil)
	answer, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(got)), request)
	if err != nil {
		return
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return
	}
	require.True(t, pollencrank.IsFinalStatus(answer.StatusCode), "status %d", answer.StatusCode)
	if answer.StatusCode == http.StatusNoContent {
		require.Empty(t, strings.Trim(answer.Header.Get("Content-Length"), "0"), "a length without a body")
	}
	if answer.StatusCode >= http.StatusInternalServerError && answer.Header.Get(wire.HeaderAttempt) == "a" {
		return
	}
	own, ownBody := lastAnswer(sent, request)
	require.NotNil(t, own, "status %d of nobody", answer.StatusCode)
	if pollencrank.PromisesNotRun(answer.StatusCode) && own.Header.Get(wire.HeaderNotExecuted) != "" {
		return
	}
	require.NoError(t, pollencrank.CheckFieldNames(own.Header))
	require.NoError(t, pollencrank.CheckFieldNames(own.Trailer))
	require.Equal(t, own.StatusCode, answer.StatusCode)
	require.Equal(t, string(ownBody), string(body))
}

// lastAnswer reads what a server has sent, by the rules of HTTP alone: the first answer that is
// not interim, or nil if there is no whole one.
func lastAnswer(sent []byte, request *http.Request) (*http.Response, []byte) {
	reader := bufio.NewReader(bytes.NewReader(sent))
	for {
		answer, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, nil
		}
		if answer.StatusCode/100 == 1 && answer.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return nil, nil
		}
		return answer, body
	}
}
