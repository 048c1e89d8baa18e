package receiver_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/receiver"
)

// breakOff returns an answer without a length that breaks off.
func breakOff(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) {
	answer, err := respond("")
	answer.ContentLength = -1
	answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), brokenBody{}))
	return answer, err
}

// brokenBody is a body whose server has broken off.
type brokenBody struct{}

// Read implements io.Reader.
func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("the server broke off") }

// requireNotWhole sends a look-up and checks that its caller gets no whole answer.
func requireNotWhole(t *testing.T, conn net.Conn, version string) {
	t.Helper()
	defer conn.Close()
	_, err := io.WriteString(conn, "GET /catalogue/1 "+version+"\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	require.Error(t, err)
}

// Guards against a part of an answer that looks whole, to a caller of each version.
func TestAnAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			conn, err := net.Dial("tcp", start(t, breakOff, nil))
			require.NoError(t, err)
			requireNotWhole(t, conn, version)
		})
		t.Run(version+" over TLS", func(t *testing.T) {
			view := newView(t)
			entry := receiver.New(receiver.Config{
				Instance: "entry-1", View: func() *receiver.View { return view }, Executor: pollencrank.ExecutorFunc(breakOff),
			})
			server := httptest.NewUnstartedServer(nil)
			server.Config = receiver.NewServer(entry, nil)
			server.StartTLS()
			defer server.Close()
			conn, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
			require.NoError(t, err)
			requireNotWhole(t, conn, version)
		})
	}
}
