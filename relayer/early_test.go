package relayer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/wire"
)

// received is what a server has read of the body of a request.
type received struct {
	body []byte
	// err is nil if the body has ended properly.
	err error
}

// startEarlyServer starts a server that answers uploads once it has read a part of the
// body, and reads on.
func startEarlyServer(t *testing.T, readFirst int64, answer string) (address string, uploads <-chan received) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	results := make(chan received, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEarly(conn, readFirst, answer, results)
		}
	}()
	return listener.Addr().String(), results
}

// serveEarly serves the uploads of a connection until one of them breaks off.
func serveEarly(conn net.Conn, readFirst int64, answer string, results chan<- received) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		_, err = io.CopyN(&body, request.Body, readFirst)
		if err == nil {
			_, _ = fmt.Fprintf(conn, answer, request.Header.Get(wire.HeaderAttempt))
			_, err = io.Copy(&body, request.Body)
		}
		results <- received{body: body.Bytes(), err: err}
		if err != nil {
			return
		}
	}
}

// offsetLines returns a body of which each line holds its own offset.
func offsetLines(length int) []byte {
	var body bytes.Buffer
	for body.Len() < length {
		_, _ = fmt.Fprintf(&body, "%07d\n", body.Len())
	}
	return body.Bytes()[:length]
}

// Guards against a server that gets a body with pieces missing, ended as if it were complete,
// and against two readers of one buffer, which crashed the process: the rest of a body was
// discarded for the caller's connection while it was still being sent to the server.
func TestAnEarlyAnswerLeavesTheBodyToOneReader(t *testing.T) {
	const uploads, bodyBytes, chunkBytes = 20, 400_000, 4000
	for name, answer := range map[string]string{
		"refusal":       "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfull\n",
		"empty refusal": "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"foreign":       "HTTP/1.1 200 OK\r\nX-Attempt-Id: another-%s\r\nContent-Length: 0\r\n\r\n",
		"failure":       "HTTP/1.1 500 No\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 3\r\n\r\nno\n",
		"success":       "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 3\r\n\r\nok\n",
		"empty success": "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server, results := startEarlyServer(t, 50_000, answer)
			d := dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}})
			t.Cleanup(d.Close)
			address := serveUploads(t, 1<<20, 1<<20, func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
				return d.Send(ctx, dispatcher.Target{Name: "i-1", Address: server}, call.Request)
			})
			sent := offsetLines(bodyBytes)
			for n := range uploads {
				sendUpload(t, address, fmt.Sprint("upload-", n), sent, chunkBytes)
				got := <-results
				require.LessOrEqual(t, len(got.body), len(sent))
				require.True(t, bytes.Equal(got.body, sent[:len(got.body)]), "pieces are missing")
				if got.err == nil {
					require.Equal(t, len(sent), len(got.body), "a part of the body ended as if it were the whole")
				}
			}
		})
	}
}

// sendUpload sends an upload in chunks, while it reads the answer.
func sendUpload(t *testing.T, address, id string, body []byte, chunkBytes int) {
	t.Helper()
	conn, reader := connect(t, address)
	defer conn.Close()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: %s\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for rest := body; len(rest) > 0; rest = rest[min(len(rest), chunkBytes):] {
			chunk := rest[:min(len(rest), chunkBytes)]
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
}
