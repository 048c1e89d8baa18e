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

// closing is the field of an answer whose connection ends after it.
const closing = "Connection: close\r\n"

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
			sent := answer(request.Header.Get(wire.HeaderAttempt))
			_, _ = io.WriteString(conn, sent)
			if strings.Contains(sent, closing) {
				return
			}
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

// Guards against an invalid answer that becomes a success: a server in trouble sent status
// 000, and the caller got 200.
func TestAnAnswerWithoutAFinalStatusIsNoSuccess(t *testing.T) {
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

// broken is an answer after which the caller has to get a failure of the system.
const broken = 0

// oddAnswers are answers that net/http may take and no caller may get as they are. Each says
// what the caller gets.
var oddAnswers = map[string]struct {
	statusLine, rest string
	status           int
	body             string
}{
	"usual":                                   {"200 OK", "Content-Length: 4\r\n\r\ndone", 200, "done"},
	"no reason phrase":                        {"200", "Content-Length: 4\r\n\r\ndone", 200, "done"},
	"two lengths":                             {"200 OK", "Content-Length: 4\r\nContent-Length: 2\r\n\r\ndone", broken, ""},
	"one length twice":                        {"200 OK", "Content-Length: 4\r\nContent-Length: 4\r\n\r\ndone", 200, "done"},
	"a list of lengths":                       {"200 OK", "Content-Length: 4, 4\r\n\r\ndone", broken, ""},
	"a negative length":                       {"200 OK", "Content-Length: -4\r\n\r\ndone", broken, ""},
	"a signed length":                         {"200 OK", "Content-Length: +4\r\n\r\ndone", broken, ""},
	"a length beside chunks":                  {"200 OK", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 200, "done"},
	"chunks twice":                            {"200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", broken, ""},
	"an unknown coding":                       {"200 OK", "Transfer-Encoding: gzip\r\n\r\ndone", broken, ""},
	"a chunk of negative size":                {"200 OK", "Transfer-Encoding: chunked\r\n\r\n-4\r\ndone\r\n0\r\n\r\n", broken, ""},
	"204 with a length":                       {"204 None", "Content-Length: 4\r\n\r\ndone", broken, ""},
	"204 with chunks":                         {"204 None", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", broken, ""},
	"204":                                     {"204 None", "\r\n", 204, ""},
	"204 with length 0":                       {"204 None", "Content-Length: 0\r\n\r\n", 204, ""},
	"304 with a body":                         {"304 Same", "Content-Length: 4\r\n\r\ndone", 304, ""},
	"bytes behind the body":                   {"200 OK", "Content-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", 200, "done"},
	"a header over the limit":                 {"200 OK", "X: " + strings.Repeat("x", 70<<10) + "\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"interim without end":                     {"100 Continue", "\r\n", broken, ""},
	"control characters":                      {"200 \x01\x07 OK", "Content-Length: 4\r\n\r\ndone", 200, "done"},
	"a control in a value":                    {"200 OK", "X: a\x00b\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a blank inside a name":                   {"200 OK", "X y: a\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a blank before the colon":                {"200 OK", "X : a\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a blank in the name of the length":       {"200 OK", closing + "Content Length: 4\r\n\r\ndone and more", broken, ""},
	"a blank behind the name of the length":   {"200 OK", closing + "Content-Length : 4\r\n\r\ndone and more", broken, ""},
	"a blank behind the name of the coding":   {"200 OK", closing + "Transfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", broken, ""},
	"a blank behind the name of a signature":  {"200 OK", wire.HeaderSignature + " : s\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a blank in a name of the trailer":        {"200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX y: a\r\n\r\n", broken, ""},
	"a tab in a name":                         {"200 OK", "X\ty: a\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a control in a name":                     {"200 OK", "X\x01: a\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"DEL in a name":                           {"200 OK", "X\x7f: a\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a byte over 0x7f in a name":              {"200 OK", "X\xe4: a\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"an empty name":                           {"200 OK", ": a\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a line without a colon":                  {"200 OK", "X\r\nContent-Length: 4\r\n\r\ndone", broken, ""},
	"a folded value":                          {"200 OK", "X: a\r\n b: c\r\nContent-Length: 4\r\n\r\ndone", 200, "done"},
	"a trailer with a name of the connection": {"200 OK", "Transfer-Encoding: chunked\r\nTrailer: Connection\r\n\r\n4\r\ndone\r\n0\r\nConnection: close\r\n\r\n", 200, "done"},
	"a trailer with a length":                 {"200 OK", "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n4\r\ndone\r\n0\r\nContent-Length: 9\r\n\r\n", broken, ""},
}

// Guards against answers that one part reads in another way than the next: the caller gets the
// server's own status and whole body, or a failure of the system.
func TestOddAnswersAreWholeOrFail(t *testing.T) {
	for name, test := range oddAnswers {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, func(id string) string { return rawAnswer(test.statusLine, id, test.rest) })
			status, body, err := order(t, address, "a")
			if test.status == broken {
				require.True(t, err != nil || status >= http.StatusInternalServerError, "status %d", status)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.status, status)
			require.Equal(t, test.body, body)
			status, body, err = order(t, address, "b")
			isOwn := err == nil && status == test.status && body == test.body
			require.True(t, isOwn || err != nil || status >= http.StatusInternalServerError, "the next one gets status %d", status)
		})
	}
	t.Run("interim before", func(t *testing.T) {
		address := serveRaw(t, func(id string) string {
			return "HTTP/1.1 103 Hints\r\nX: a\r\n\r\n" + rawAnswer("200 OK", id, "Content-Length: 4\r\n\r\ndone")
		})
		status, body, err := order(t, address, "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "done", body)
	})
	t.Run("another version", func(t *testing.T) {
		address := serveRaw(t, func(id string) string {
			return strings.Replace(rawAnswer("200 OK", id, "Content-Length: 4\r\n\r\ndone"), "HTTP/1.1", "HTTP/2.0", 1)
		})
		status, _, err := order(t, address, "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status)
	})
}
