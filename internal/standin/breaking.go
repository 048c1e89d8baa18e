package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// BreakingServer is a stand-in for a server that answers an upload before it has read it, and
// ends the connection while the upload is still being written.
type BreakingServer struct {
	// ReadFirst is the number of bytes of a body that are read before the answer.
	ReadFirst int64
	// Answer returns what is sent of the answer to a request.
	Answer func(r *http.Request) string
	// Pause returns the time between the answer and the end.
	Pause func() time.Duration
	// End ends the connection.
	End func(conn *net.TCPConn)
}

// Serve serves the first request of a connection.
func (s BreakingServer) Serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, s.ReadFirst); err != nil {
		return
	}
	_, _ = io.WriteString(conn, s.Answer(request))
	time.Sleep(s.Pause())
	s.End(conn.(*net.TCPConn))
}

// Reset resets a connection. What it has not delivered yet is lost.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// EndInOrder ends what is sent on a connection, and reads on until the other end closes it.
func EndInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}
