package receiver_test

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
)

// upload is what a server has read of the body of a request. err is nil if the body has
// ended properly.
type upload struct {
	body []byte
	err  error
}

// serveEarly answers the requests of a connection before it has read their bodies, and
// reads on.
func serveEarly(conn net.Conn, answer string, uploads chan<- upload) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		body, err := io.ReadAll(request.Body)
		uploads <- upload{body: body, err: err}
		if err != nil {
			return
		}
	}
}

// Guards against a server that gets a body with pieces missing: the rest of it was discarded
// for the caller's connection while it was still being sent to the server.
func TestAnEarlyAnswerLeavesTheBodyToOneReader(t *testing.T) {
	const uploads, chunks, chunkBytes = 20, 50, 4000
	for name, answer := range map[string]string{
		"refusal": "HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"success": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			results := make(chan upload, uploads)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go serveEarly(conn, answer, results)
				}
			}()
			d := dispatcher.New(dispatcher.Config{})
			t.Cleanup(d.Close)
			address := start(t, func(ctx context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
				return d.Send(ctx, dispatcher.Target{Name: "s", Address: listener.Addr().String()}, request)
			}, nil)
			var sent bytes.Buffer
			for n := range chunks {
				_, _ = fmt.Fprintf(&sent, "%0*d", chunkBytes, n)
			}
			for range uploads {
				sendUpload(t, address, sent.Bytes(), chunkBytes)
				got := <-results
				require.True(t, bytes.HasPrefix(sent.Bytes(), got.body), "pieces are missing")
				if got.err == nil {
					require.Equal(t, sent.Len(), len(got.body), "a part of the body ended as if it were the whole")
				}
			}
		})
	}
}

// sendUpload sends an upload in chunks, while it reads the answer.
func sendUpload(t *testing.T, address string, body []byte, chunkBytes int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	go func() {
		_, _ = io.WriteString(conn, "POST /uploads/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; rest = rest[chunkBytes:] {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", chunkBytes, rest[:chunkBytes]); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
}
