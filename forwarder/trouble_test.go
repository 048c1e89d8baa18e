package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// wire is a backend server that answers on raw connections.
type wire struct {
	listener net.Listener
	// answer writes to a connection after its nth request, with the request's ID.
	answer func(conn net.Conn, n int, id string)
	// written counts what the other side took; requests what it sent.
	written, requests atomic.Int64
	done              sync.WaitGroup
}

func startWire(t *testing.T, answer func(conn net.Conn, n int, id string)) *wire {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &wire{listener: listener, answer: answer}
	w.done.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.done.Go(func() { w.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		w.done.Wait()
	})
	return w
}

func (w *wire) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		w.requests.Add(1)
		w.answer(&countingConn{conn, &w.written}, n, request.Header.Get("X-Attempt-Id"))
	}
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func goodAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// forever writes a text until the other side closes.
func forever(conn net.Conn, text string) {
	chunk := []byte(strings.Repeat(text, 1+4096/len(text)))
	for {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
}

// newWireSystem returns a system whose requests really are sent.
func newWireSystem(t *testing.T, servers ...*wire) *system {
	t.Helper()
	s := newSystem(t)
	s.sender.real = dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}})
	t.Cleanup(s.sender.real.Close)
	var known []registrar.Server
	for i, w := range servers {
		one := server(fmt.Sprint("wire-", i), "north")
		one.Address = w.listener.Addr().String()
		known = append(known, one)
	}
	s.setServers(known...)
	return s
}

// endless are ways in which a server in trouble sends bytes without end.
var endless = map[string]func(conn net.Conn, id string){
	"noise": func(conn net.Conn, _ string) { forever(conn, "\x00\xff noise") },
	"one header line": func(conn net.Conn, _ string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Long: ")
		forever(conn, "a")
	},
	"header lines": func(conn net.Conn, _ string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		forever(conn, "X-More: a\r\n")
	},
	"interim answers": func(conn net.Conn, _ string) { forever(conn, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n") },
	"a chunk's size": func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		forever(conn, "0")
	},
	"a trailer": func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", id)
		forever(conn, "X-More: a\r\n")
	},
	"a refusal's body": func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: full\r\n\r\n", id)
		forever(conn, "no ")
	},
}

// silent sends the beginning of a refusal and then nothing until the other side
// closes.
func silent(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: full\r\nContent-Length: 10\r\n\r\n", id)
	_, _ = conn.Read(make([]byte, 1))
}

// A refusal is believed by its head: nobody waits for its body.
func TestARefusalIsNotWaitedFor(t *testing.T) {
	full := startWire(t, func(conn net.Conn, _ int, id string) { silent(conn, id); _ = conn.Close() })
	s := newWireSystem(t, full)
	s.patience = time.Hour
	_, err := s.ask(t.Context(), "17")
	require.True(t, pollencrank.IsNotRun(err))
}

// maxTaken is how much of such bytes may be taken: the head's bound and what the
// kernel buffers on both sides.
const maxTaken = 8 << 20

// Bytes without end that are no answer cost little, end the connection, and the
// request goes to another server if it may.
func TestBytesWithoutEndAreNotTaken(t *testing.T) {
	for name, send := range endless {
		t.Run(name, func(t *testing.T) {
			bad := startWire(t, func(conn net.Conn, _ int, id string) { send(conn, id); _ = conn.Close() })
			good := startWire(t, func(conn net.Conn, _ int, id string) { _, _ = io.WriteString(conn, goodAnswer(id, "whole")) })
			s := newWireSystem(t, bad, good)
			for object := 0; bad.requests.Load() == 0; object++ {
				answer, err := s.ask(t.Context(), fmt.Sprint(object))
				require.NoError(t, err)
				body, err := io.ReadAll(answer.Body)
				require.NoError(t, err)
				require.Equal(t, "whole", string(body))
				require.NoError(t, answer.Body.Close())
			}
			require.Greater(t, s.registrar.Find("wire-0").Health(time.Now()).FailureShare, 0.0, "it is thought less of")
			// The server sees that its connection was closed.
			require.Eventually(t, func() bool { return bad.written.Load() < maxTaken }, time.Second, time.Millisecond)
		})
	}
}

// An order at such a server may have run, unless the server says that it has not.
func TestAnOrderThatGetsBytesWithoutEndMayHaveRun(t *testing.T) {
	for name, send := range endless {
		t.Run(name, func(t *testing.T) {
			bad := startWire(t, func(conn net.Conn, _ int, id string) { send(conn, id); _ = conn.Close() })
			s := newWireSystem(t, bad)
			s.route.Kind = router.NonIdempotent
			_, err := s.ask(t.Context(), "17")
			require.Error(t, err)
			require.Equal(t, name == "a refusal's body", pollencrank.IsNotRun(err))
			require.EqualValues(t, 1, bad.requests.Load())
		})
	}
}

// A body without an end, framed or not, is passed on as it arrives, with little of
// it held, until the deadline; then it breaks off, so that it does not look whole.
func TestABodyWithoutEndBreaksOffAtTheDeadline(t *testing.T) {
	for name, framing := range map[string]string{
		"unframed": "", "chunked": "Transfer-Encoding: chunked\r\n", "a length": "Content-Length: 1000000000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			bad := startWire(t, func(conn net.Conn, _ int, id string) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n%s\r\n", id, framing)
				text := "bytes"
				if name == "chunked" {
					text = "5\r\nbytes\r\n"
				}
				forever(conn, text)
				_ = conn.Close()
			})
			s := newWireSystem(t, bad)
			s.patience = 300 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), s.patience)
			defer cancel()
			answer, err := s.ask(ctx, "17")
			if err != nil {
				// The deadline passed before the part that is held was full.
				var unknown *pollencrank.OutcomeUnknownError
				require.ErrorAs(t, err, &unknown)
				return
			}
			_, err = io.Copy(io.Discard, answer.Body)
			require.Error(t, err)
			require.NoError(t, answer.Body.Close())
			require.Greater(t, s.registrar.Find("wire-0").Health(time.Now()).FailureShare, 0.0)
		})
	}
}

// A second copy of an answer that arrives late, on a connection that is in use
// again, reaches nobody.
func TestALateSecondCopyReachesNobody(t *testing.T) {
	for name, kind := range map[string]router.Kind{"lookup": router.Idempotent, "order": router.NonIdempotent} {
		t.Run(name, func(t *testing.T) {
			copies := startWire(t, func(conn net.Conn, n int, id string) {
				if n == 1 {
					_, _ = io.WriteString(conn, goodAnswer(id, "of "+id))
					return
				}
				// The copy of the first answer comes where that to the second
				// request is expected.
				_, _ = io.WriteString(conn, goodAnswer("request-1", "of request-1"))
				_, _ = io.WriteString(conn, goodAnswer(id, "of "+id))
			})
			s := newWireSystem(t, copies)
			s.route.Kind = kind
			first, err := s.ask(t.Context(), "17")
			require.NoError(t, err)
			body, err := io.ReadAll(first.Body)
			require.NoError(t, err)
			require.Equal(t, "of request-1", string(body))
			second, err := s.ask(t.Context(), "17")
			if err == nil {
				body, err = io.ReadAll(second.Body)
				require.NoError(t, err)
				require.Equal(t, "of request-2", string(body))
				return
			}
			require.False(t, pollencrank.IsNotRun(err), "it has run")
			var unknown *pollencrank.OutcomeUnknownError
			require.True(t, errors.As(err, &unknown))
		})
	}
}

// An answer that does not say whose it is belongs to nobody.
func TestAnAnswerWithoutItsRequestIsNotBelieved(t *testing.T) {
	s := newSystem(t)
	s.route.Kind = router.NonIdempotent
	s.sender.reply = func(server string, _ int, request *pollencrank.Request) (*pollencrank.Answer, error) {
		answer := good(server, request)
		answer.RequestID = ""
		return answer, nil
	}
	_, err := s.ask(t.Context(), "17")
	require.ErrorContains(t, err, string(pollencrank.ReasonAnswerMismatch))
	require.False(t, pollencrank.IsNotRun(err))
}
