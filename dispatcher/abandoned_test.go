package dispatcher_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/internal/standin"
)

// startRecordingServer starts a server that sends the given answer to each request, and the
// error with which each connection ends to the channel.
func startRecordingServer(t *testing.T, answer string) (address string, ends <-chan error) {
	t.Helper()
	results := make(chan error, 10)
	listener, err := standin.Listen(func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				results <- err
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer)
		}
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), results
}

// Guards against a request that reaches its server long after it was given up on: the kernel
// sent it when a cut had ended, to a server of a failure domain that was evacuated meanwhile.
func TestARequestThatIsGivenUpOnIsReset(t *testing.T) {
	for name, giveUp := range map[string]func() (context.Context, context.CancelFunc){
		"deadline": func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 30*time.Millisecond)
		},
		"caller gone": func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(30*time.Millisecond, cancel)
			return ctx, cancel
		},
	} {
		for _, answer := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"} {
			t.Run(name, func(t *testing.T) {
				address, ends := startRecordingServer(t, answer)
				d := dispatcher.New(dispatcher.Config{})
				defer d.Close()
				ctx, cancel := giveUp()
				defer cancel()
				received, err := d.Send(ctx, dispatcher.Target{Name: "s", Address: address}, order("two crates"))
				if err == nil {
					_, err = io.ReadAll(received.Body)
					_ = received.Body.Close()
				}
				require.Error(t, err)
				require.ErrorIs(t, <-ends, syscall.ECONNRESET)
			})
		}
	}
}

// Guards against resets of connections that are merely no longer needed.
func TestAnIdleConnectionIsClosedInOrder(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nContent-Length: 5\r\n\r\nfull\n",
	} {
		address, ends := startRecordingServer(t, answer)
		d := dispatcher.New(dispatcher.Config{})
		target := dispatcher.Target{Name: "s", Address: address}
		for range 3 {
			received, err := d.Send(t.Context(), target, order("two crates"))
			if err == nil && received.ContentLength != 0 {
				_, err = io.Copy(io.Discard, received.Body)
				require.NoError(t, err)
			}
			if err != nil {
				// The refusal is discarded in the background; a probe waits for its answer.
				_, err = d.Probe(t.Context(), target)
				require.NoError(t, err)
				continue
			}
			require.NoError(t, received.Body.Close())
		}
		d.Close()
		require.ErrorIs(t, <-ends, io.EOF)
	}
}
