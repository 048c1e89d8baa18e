package dispatcher_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/internal/standin"
)

const (
	// uploadBytes is more than the kernel holds of an upload that is not read.
	uploadBytes = 12 << 20
	// brokenUploads is the number of uploads that each broken answer is sent to.
	brokenUploads = 25
	// maxPause is the longest time between an answer and the end of its connection.
	maxPause = 20 * time.Millisecond
)

// answerBody is the body of the whole answers.
var answerBody = strings.Repeat("0123456789abcdef", 64)

// byConnection is the framing of an answer that ends with its connection.
const byConnection = "connection"

// framings are the ways in which the end of an answer is marked.
var framings = map[string]string{
	byConnection: "HTTP/1.1 200 OK\r\n\r\n" + answerBody,
	"length":     "HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n" + answerBody,
	"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + answerBody + "\r\n0\r\n\r\n",
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// breakUploads starts a server that answers uploads early and then ends their connections.
func breakUploads(t *testing.T, answer string, end func(*net.TCPConn)) dispatcher.Target {
	t.Helper()
	var answered atomic.Int64
	server := standin.BreakingServer{
		ReadFirst: 50_000,
		Answer:    func(*http.Request) string { return answer },
		Pause:     func() time.Duration { return maxPause * time.Duration(answered.Add(1)) / brokenUploads },
		End:       end,
	}
	listener, err := standin.Listen(server.Serve)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return dispatcher.Target{Name: "i-1", Address: listener.Addr().String()}
}

// upload sends an upload and returns the body of its answer, or an error if there is no whole
// answer.
func upload(t *testing.T, d *dispatcher.Dispatcher, target dispatcher.Target) (string, error) {
	t.Helper()
	answer, err := d.Send(t.Context(), target, &pollencrank.Request{
		Method: http.MethodPost, Host: "shop.example", URI: "/uploads/1", Deadline: time.Now().Add(time.Minute),
		Header: http.Header{}, Body: io.LimitReader(zeros{}, uploadBytes), ContentLength: uploadBytes,
	})
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against a part of an answer that becomes a whole one: the write of the upload was told
// of the reset, and the read after it found the end of the stream.
func TestAnAnswerThatIsResetIsNotWhole(t *testing.T) {
	for framing, whole := range framings {
		for name, length := range map[string]int{
			"before the head": 0, "inside the head": 12, "after the head": strings.Index(whole, "\r\n\r\n") + 4,
			"inside the body": len(whole) - 500, "after the last byte": len(whole),
		} {
			t.Run(framing+", "+name, func(t *testing.T) {
				target := breakUploads(t, whole[:length], standin.Reset)
				d := dispatcher.New(dispatcher.Config{})
				defer d.Close()
				mayBeWhole := framing != byConnection && length == len(whole)
				taken := 0
				for range brokenUploads {
					body, err := upload(t, d, target)
					if err == nil {
						taken++
						require.Equal(t, answerBody, body)
					}
				}
				require.True(t, mayBeWhole || taken == 0, "%d of %d are taken for whole", taken, brokenUploads)
			})
		}
	}
}

// Guards against the same where a server closes a connection with bytes unread, which resets it.
func TestAnAnswerThatIsClosedUponUnreadBytesIsNotWhole(t *testing.T) {
	target := breakUploads(t, framings[byConnection], func(conn *net.TCPConn) { _ = conn.Close() })
	d := dispatcher.New(dispatcher.Config{})
	defer d.Close()
	for range brokenUploads {
		_, err := upload(t, d, target)
		require.Error(t, err)
	}
}

// optionUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks, and userTimeout its value
// in milliseconds.
const (
	optionUserTimeout = 0x12
	userTimeout       = 300
)

// Guards against the same where a server stops to read and the write of the upload times out.
func TestAnAnswerWhoseUploadTimesOutIsNotWhole(t *testing.T) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, optionUserTimeout, userTimeout)
		})
	}}
	ended := make(chan struct{})
	target := breakUploads(t, framings[byConnection], func(*net.TCPConn) { <-ended })
	defer close(ended)
	d := dispatcher.New(dispatcher.Config{DialContext: dialer.DialContext})
	defer d.Close()
	var uploads sync.WaitGroup
	for range brokenUploads {
		uploads.Go(func() {
			_, err := upload(t, d, target)
			assert.Error(t, err)
		})
	}
	uploads.Wait()
}

// Guards against an answer without a length that is lost because its server ends its connection
// in order while the upload is still being written.
func TestAnAnswerThatEndsInOrderIsWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"read on": standin.EndInOrder,
		"reset after the end": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			standin.Reset(conn)
		},
	} {
		for framing, whole := range framings {
			t.Run(framing+", "+name, func(t *testing.T) {
				// Without the announcement the next upload could be given the same connection.
				announced := strings.Replace(whole, "\r\n", "\r\nConnection: close\r\n", 1)
				target := breakUploads(t, announced, end)
				d := dispatcher.New(dispatcher.Config{})
				defer d.Close()
				for range brokenUploads {
					body, err := upload(t, d, target)
					require.NoError(t, err)
					require.Equal(t, answerBody, body)
				}
			})
		}
	}
}
