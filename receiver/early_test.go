package receiver_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/internal/standin"
)

// Guards against a server that gets a body with pieces missing: the rest of it was discarded
// for the caller's connection while it was still being sent to the server.
func TestAnEarlyAnswerLeavesTheBodyToOneReader(t *testing.T) {
	const uploads, bodyBytes, chunkBytes = 20, 200_000, 4000
	for name, answer := range map[string]string{
		"refusal": "HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nContent-Length: 5\r\n\r\nfull\n",
		"success": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := standin.EarlyServer{
				Uploads: make(chan standin.Upload, uploads), Answer: func(*http.Request) string { return answer },
			}
			listener, err := standin.Listen(server.Serve)
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			d := dispatcher.New(dispatcher.Config{})
			t.Cleanup(d.Close)
			target := dispatcher.Target{Name: "s", Address: listener.Addr().String()}
			answered := make(chan struct{}, uploads)
			address := start(t, func(ctx context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
				defer func() { answered <- struct{}{} }()
				return d.Send(ctx, target, request)
			}, nil)
			sent := standin.OffsetLines(bodyBytes)
			for range uploads {
				conn, err := net.Dial("tcp", address)
				require.NoError(t, err)
				_, err = standin.SendChunked(conn, "POST /uploads/1 HTTP/1.1\r\nHost: a.example\r\n", sent, chunkBytes, func() { <-answered })
				require.NoError(t, err)
				require.NoError(t, conn.Close())
				got := <-server.Uploads
				require.True(t, bytes.HasPrefix(sent, got.Body), "pieces are missing")
				if got.Err == nil {
					require.Equal(t, len(sent), len(got.Body), "a part of the body ended as if it were the whole")
				}
			}
		})
	}
}
