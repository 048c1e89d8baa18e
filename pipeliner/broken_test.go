package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/pipeliner"
)

// breakOff writes a part of an answer without a length and breaks off.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "part")
	panic(http.ErrAbortHandler)
}

// Guards against a part of an answer that looks whole, to a caller of each version.
func TestAnAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			f := start(t, http.HandlerFunc(breakOff))
			conn, err := net.Dial("tcp", f.address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET / "+version+"\r\nHost: a.example\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			require.Error(t, err)
		})
	}
}

// Guards against the same where the server is closed while it writes the answer.
func TestAnAnswerOfAClosedServerIsNotWhole(t *testing.T) {
	written, closed := make(chan struct{}), make(chan struct{})
	f := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("part", 16<<10))
		close(written)
		<-closed
	}))
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	<-written
	require.NoError(t, f.server.Close())
	close(closed)
	_, err = io.ReadAll(conn)
	require.Error(t, err)
}

// Guards against an answer that ends with its connection and is reset after its last byte, though
// its caller has not read it yet.
func TestAnAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	const queueBytes, smallBytes = 256 << 10, 4 << 10
	body := strings.Repeat("0123456789abcdef", 4<<10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := make(chan struct{})
	server := pipeliner.New(pipeliner.Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				_ = conn.(*net.TCPConn).SetWriteBuffer(queueBytes)
			case http.StateClosed:
				close(closed)
			}
		},
	})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBytes)
		})
	}}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	<-closed
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(got))
}

// Guards against an answer that ends with its connection and is followed by the next one, which
// its caller takes for a part of it.
func TestNothingFollowsAnAnswerThatEndsWithItsConnection(t *testing.T) {
	f := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer conn.Close()
	const head = " HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
	_, err = io.WriteString(conn, "GET /first"+head+"GET /second"+head)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "/first", string(body))
}
