package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Listen calls serve for each connection to a free port of the loopback interface, and
// closes the connection after it. It stops when the listener is closed.
func Listen(serve func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener, nil
}

// Upload is what a server has read of the body of a request. Err is nil if the body has
// ended properly.
type Upload struct {
	Body []byte
	Err  error
}

// EarlyServer is a stand-in for a server that answers uploads before it has read them, keeps
// the connection and reads on.
type EarlyServer struct {
	// ReadFirst is the number of bytes of a body that are read before the answer.
	ReadFirst int64
	// Answer returns the answer to a request.
	Answer func(r *http.Request) string
	// Uploads gets each upload once it has ended or broken off.
	Uploads chan Upload
}

// Serve serves the uploads of a connection until one of them breaks off.
func (s EarlyServer) Serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		_, err = io.CopyN(&body, request.Body, s.ReadFirst)
		if err == nil {
			_, _ = io.WriteString(conn, s.Answer(request))
			_, err = io.Copy(&body, request.Body)
		}
		s.Uploads <- Upload{Body: body.Bytes(), Err: err}
		if err != nil {
			return
		}
	}
}

// SendChunked sends the head of a request, without the line that ends it, and its body in
// chunks. It reads and returns the answer, whose body has been read, meanwhile. halfSent, if
// set, is called when half of the body has been sent.
func SendChunked(conn net.Conn, head string, body []byte, chunkBytes int, halfSent func()) (*http.Response, error) {
	go func() {
		_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; rest = rest[min(len(rest), chunkBytes):] {
			if halfSent != nil && len(rest) <= len(body)/2 {
				halfSent()
				halfSent = nil
			}
			chunk := rest[:min(len(rest), chunkBytes)]
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// OffsetLines returns a body of which each line holds its own offset, so that missing pieces
// are detected.
func OffsetLines(length int) []byte {
	var body bytes.Buffer
	for body.Len() < length {
		_, _ = fmt.Fprintf(&body, "%07d\n", body.Len())
	}
	return body.Bytes()[:length]
}
