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
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/pipeliner"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/stager"
)

// bufferedBytes is the number of bytes that the stager of these tests buffers of a body.
const bufferedBytes = 1000

func uploadTable(maxBody int64) *router.Table {
	return router.NewTable(router.Configuration{
		Version: 7,
		Limits:  router.Limits{MaxBodyBytes: maxBody, HeaderTimeout: 50 * time.Millisecond},
		Routes: []router.Route{
			{Name: "u", Host: "a.example", PathPrefix: "/u/", Timeout: 10 * time.Second, Kind: router.Upload},
			{Name: "f", Host: "a.example", PathPrefix: "/u/f/", Timeout: 10 * time.Second, Fault: "homes cannot be read"},
		},
	})
}

// serveUploads starts a Relayer behind a pipeliner, as a hosted instance does, and
// returns its address.
func serveUploads(t *testing.T, maxBody, totalBytes int64, forward forwardFunc) string {
	t.Helper()
	table := uploadTable(maxBody)
	r := relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Forwarder: forward, Dialect: dialect{},
		Stager: stager.New(stager.Config{PerBody: bufferedBytes, Total: totalBytes}), Log: slog.New(slog.DiscardHandler),
	})
	return serveCallers(t, r)
}

// serveCallers starts a pipeliner in front of a Relayer, and returns its address.
func serveCallers(t testing.TB, r *relayer.Relayer) string {
	t.Helper()
	server := pipeliner.New(pipeliner.Config{Handler: r, MayOverlap: r.MayOverlap, RunsAlone: r.RunsAlone})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func connect(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func readAnswer(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func echoBody(_ context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
	if call.Body != nil {
		return answer(fmt.Sprintf("whole %d", len(call.Body))), nil
	}
	n, err := io.Copy(io.Discard, call.Request.Body)
	if err != nil {
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonBodyBroken, "%v", err)
	}
	return answer(fmt.Sprintf("streamed %d", n)), nil
}

// Uploads of any length and framing reach the server completely, and the connection
// then serves the next request.
func TestUploads(t *testing.T) {
	address := serveUploads(t, 1<<20, 1<<20, echoBody)
	conn, reader := connect(t, address)
	for _, test := range []struct {
		bytes     int
		isChunked bool
		want      string
	}{
		{500, false, "whole 500"}, {500, true, "whole 500"}, {bufferedBytes, false, "whole 1000"},
		{50_000, false, "streamed 50000"}, {50_000, true, "streamed 50000"}, {700_000, false, "streamed 700000"},
	} {
		r, err := http.NewRequest(http.MethodPost, "http://a.example/u/1", strings.NewReader(strings.Repeat("x", test.bytes)))
		require.NoError(t, err)
		if test.isChunked {
			r.ContentLength = -1
		}
		require.NoError(t, r.Write(conn))
		response, body := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, test.want, body)
	}
}

// Guards against a caller that stops sending its body and thereby occupies a server. The
// request is answered as not run if no part of it was forwarded.
func TestAStalledUploadTimesOut(t *testing.T) {
	forwarded := make(chan string, 10)
	address := serveUploads(t, 1<<20, 1<<20, func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
		answer, err := echoBody(ctx, call)
		forwarded <- fmt.Sprint(err, call.BodyFailure != nil && call.BodyFailure() != nil)
		return answer, err
	})
	conn, reader := connect(t, address)
	_, err := fmt.Fprintf(conn, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 900\r\n\r\nabc")
	require.NoError(t, err)
	response, body := readAnswer(t, reader)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Equal(t, "bodyTimeout\n", body)
	require.True(t, response.Close)
	require.Empty(t, forwarded, "no server was chosen")

	conn, reader = connect(t, address)
	_, err = fmt.Fprintf(conn, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9000\r\n\r\n%s", strings.Repeat("x", 2*bufferedBytes))
	require.NoError(t, err)
	response, _ = readAnswer(t, reader)
	require.Equal(t, http.StatusBadGateway, response.StatusCode, "a part was forwarded, so the request may run")
	require.Contains(t, <-forwarded, "true")
}

// Guards against a read deadline that was set for one body and closes the connection
// before the next request arrives.
func TestABodyReadDeadlineDoesNotApplyToTheNextRequest(t *testing.T) {
	address := serveUploads(t, 1<<20, 1<<20, echoBody)
	conn, reader := connect(t, address)
	for range 2 {
		_, err := fmt.Fprintf(conn, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nabc")
		require.NoError(t, err)
		response, _ := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
		// Longer than the idle timeout within a body.
		timer := time.NewTimer(100 * time.Millisecond)
		<-timer.C
	}
}

func TestRefusedUploads(t *testing.T) {
	address := serveUploads(t, 5000, 500, echoBody)
	for name, test := range map[string]struct {
		request string
		status  int
		reason  string
	}{
		"too long":            {"POST /u/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5001\r\n\r\n", 413, "requestTooLarge"},
		"a route at fault":    {"GET /u/f/1 HTTP/1.1\r\nHost: a.example\r\n\r\n", 503, "routeUnreadable"},
		"no room":             {"POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n", 503, "noRoomForBodies"},
		"chunks without size": {"POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 503, "noRoomForBodies"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := connect(t, address)
			_, err := io.WriteString(conn, test.request)
			require.NoError(t, err)
			response, body := readAnswer(t, reader)
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.reason+"\n", body)
			if test.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, response.Header.Get("Retry-After"))
			}
		})
	}
}

// The length of a chunked body is known only once it has been read, so the limit is
// checked while reading.
func TestAChunkedBodyOverTheLimitIsRefused(t *testing.T) {
	address := serveUploads(t, 500, 1<<20, echoBody)
	conn, reader := connect(t, address)
	r, err := http.NewRequest(http.MethodPost, "http://a.example/u/1", io.MultiReader(bytes.NewReader(make([]byte, 600))))
	require.NoError(t, err)
	go func() { _ = r.Write(conn) }()
	response, _ := readAnswer(t, reader)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}
