package relayer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/wire"
)

// Guards against a server that gets a body with pieces missing, ended as if it were complete,
// and against two readers of one buffer, which crashed the process: the rest of a body was
// discarded for the caller's connection while it was still being sent to the server.
func TestAnEarlyAnswerLeavesTheBodyToOneReader(t *testing.T) {
	const uploads, bodyBytes, chunkBytes = 20, 400_000, 4000
	for name, answer := range map[string]string{
		"refusal":       "HTTP/1.1 503 Full\r\n" + wire.HeaderAttempt + ": %s\r\n" + wire.HeaderNotExecuted + ": 1\r\nContent-Length: 5\r\n\r\nfull\n",
		"empty refusal": "HTTP/1.1 503 Full\r\n" + wire.HeaderAttempt + ": %s\r\n" + wire.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
		"foreign":       "HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": another-%s\r\nContent-Length: 0\r\n\r\n",
		"failure":       "HTTP/1.1 500 No\r\n" + wire.HeaderAttempt + ": %s\r\n" + wire.HeaderSignature + ": s\r\nContent-Length: 3\r\n\r\nno\n",
		"success":       "HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": %s\r\n" + wire.HeaderSignature + ": s\r\nContent-Length: 3\r\n\r\nok\n",
		"empty success": "HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": %s\r\n" + wire.HeaderSignature + ": s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := standin.EarlyServer{
				ReadFirst: 50_000, Uploads: make(chan standin.Upload, uploads),
				Answer: func(r *http.Request) string { return fmt.Sprintf(answer, r.Header.Get(wire.HeaderAttempt)) },
			}
			listener, err := standin.Listen(server.Serve)
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			d := dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}})
			t.Cleanup(d.Close)
			target := dispatcher.Target{Name: "i-1", Address: listener.Addr().String()}
			address := serveUploads(t, 1<<20, 1<<20, func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
				answer, err := d.Send(ctx, target, call.Request)
				if pollencrank.IsNotRun(err) && !isRefused(err) {
					server.Uploads <- standin.Upload{Err: err}
				}
				return answer, err
			})
			sent := standin.OffsetLines(bodyBytes)
			for n := range uploads {
				conn, _ := connect(t, address)
				head := fmt.Sprintf("POST /u/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: %d\r\n"+wire.HeaderAttempt+": %d\r\n", n, n)
				_, err := standin.SendChunked(conn, head, sent, chunkBytes, nil)
				require.NoError(t, err)
				got := <-server.Uploads
				require.True(t, bytes.HasPrefix(sent, got.Body), "pieces are missing")
				if got.Err == nil {
					require.Equal(t, len(sent), len(got.Body), "a part of the body ended as if it were the whole")
				}
			}
		})
	}
}

// isRefused reports whether a server has refused a request. Other requests that have not run
// have not reached one: a streamed upload may be given a connection that has just been closed
// for a foreign answer.
func isRefused(err error) bool {
	var notRun *pollencrank.NotRunError
	return errors.As(err, &notRun) && notRun.Reason == pollencrank.ReasonAllShed
}
