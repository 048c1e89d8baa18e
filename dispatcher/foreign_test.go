package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/wire"
)

// doublingServer is a server that sends some answers once more, where the answer to the
// next request on the connection is due. It answers each request by its own ID.
type doublingServer struct {
	address string
	// answer returns the answer to a request.
	answer func(id string) string

	mu sync.Mutex
	// extra is what is sent before the answer to the next request.
	extra string
	runs  map[string]int
}

func startDoublingServer(t *testing.T, answer func(id string) string) *doublingServer {
	t.Helper()
	s := &doublingServer{answer: answer, runs: map[string]int{}}
	listener, err := standin.Listen(s.serve)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s.address = listener.Addr().String()
	return s
}

// serve answers the requests of a connection. After an extra answer it is one answer
// behind: it sends each further answer when the next request has arrived.
func (s *doublingServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	isBehind := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(wire.HeaderAttempt)
		extra := s.run(id)
		isBehind = isBehind || extra != ""
		_, _ = io.WriteString(conn, extra)
		if isBehind {
			_, _ = reader.Peek(1)
		}
		_, _ = io.WriteString(conn, s.answer(id))
	}
}

// run counts a run of a request, and returns what is sent before its answer.
func (s *doublingServer) run(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	extra := s.extra
	s.extra = ""
	return extra
}

// double sets what is sent before the answer to the next request.
func (s *doublingServer) double(extra string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = extra
}

func (s *doublingServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func ownAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 4\r\n\r\ndone", wire.HeaderAttempt, id, wire.HeaderSignature)
}

func orderWithID(id string) *pollencrank.Request {
	request := order("two crates")
	request.ID = id
	request.Header.Set(wire.HeaderAttempt, id)
	return request
}

// foreignAnswers are answers that belong to another request than the one that is sent.
var foreignAnswers = map[string]string{
	"refusal":             "HTTP/1.1 503 Full\r\n" + wire.HeaderAttempt + ": a\r\n" + wire.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
	"refusal with a body": "HTTP/1.1 503 Full\r\n" + wire.HeaderAttempt + ": a\r\n" + wire.HeaderNotExecuted + ": 1\r\n" + wire.HeaderLeaving + ": 1\r\nRetry-After: 9\r\nContent-Length: 4\r\n\r\nfull",
	"misdirected":         "HTTP/1.1 421 No\r\n" + wire.HeaderAttempt + ": a\r\n" + wire.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
	"too many requests":   "HTTP/1.1 429 No\r\n" + wire.HeaderAttempt + ": a\r\nContent-Length: 0\r\n\r\n",
	"success":             "HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": a\r\n" + wire.HeaderSignature + ": s\r\nContent-Length: 2\r\n\r\nok",
	"empty success":       "HTTP/1.1 200 OK\r\n" + wire.HeaderAttempt + ": a\r\n" + wire.HeaderSignature + ": s\r\nContent-Length: 0\r\n\r\n",
	"failure":             "HTTP/1.1 500 No\r\n" + wire.HeaderAttempt + ": a\r\n" + wire.HeaderSignature + ": s\r\nContent-Length: 0\r\n\r\n",
	"health":              "HTTP/1.1 503 Leaving\r\n" + wire.HeaderInstance + ": i-1\r\n" + wire.HeaderLoad + ": 0,0,4\r\nContent-Length: 0\r\n\r\n",
	"refusal without ID":  "HTTP/1.1 503 Full\r\n" + wire.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
	"refusal, two IDs":    "HTTP/1.1 503 Full\r\n" + wire.HeaderAttempt + ": b\r\n" + wire.HeaderAttempt + ": a\r\n" + wire.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
}

// Guards against an order that runs twice, or is refused though it runs: the late second
// refusal of another order was taken for its own.
func TestAnAnswerToAnotherRequestProvesNothing(t *testing.T) {
	for name, foreign := range foreignAnswers {
		t.Run(name, func(t *testing.T) {
			server := startDoublingServer(t, ownAnswer)
			var reports int
			d := dispatcher.New(dispatcher.Config{
				Dialect: platform.Dialect{}, OnReport: func(dispatcher.Target, dispatcher.Report) { reports++ },
			})
			defer d.Close()
			target := dispatcher.Target{Name: "i-1", Address: server.address}
			server.double(foreign)
			_, err := d.Send(t.Context(), target, orderWithID("b"))
			var unknown *pollencrank.OutcomeUnknownError
			require.ErrorAs(t, err, &unknown)
			require.Equal(t, pollencrank.ReasonAnswerMismatch, unknown.Reason)
			require.Zero(t, reports, "the answer says nothing of the server")
			require.Equal(t, 1, server.runsOf("b"))
			answer, err := d.Send(t.Context(), target, orderWithID("c"))
			require.NoError(t, err)
			body, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.NoError(t, answer.Body.Close())
			require.Equal(t, "done", string(body))
			require.Equal(t, "c", answer.RequestID)
		})
	}
}

// Guards against a connection that stays in use one answer out of step: each later request
// gets the answer to the one before it.
func TestAConnectionWithAnExtraAnswerIsNotUsedAgain(t *testing.T) {
	refuse := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.HeaderAttempt, id, wire.HeaderNotExecuted)
	}
	server := startDoublingServer(t, refuse)
	d := dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}})
	defer d.Close()
	target := dispatcher.Target{Name: "i-1", Address: server.address}
	const requests = 50
	foreign := 0
	for i := range requests {
		if i == 1 {
			server.double(refuse("order-0"))
		}
		_, err := d.Send(t.Context(), target, orderWithID(fmt.Sprint("order-", i)))
		require.Error(t, err)
		if !pollencrank.IsNotRun(err) {
			foreign++
		}
	}
	require.Equal(t, 1, foreign)
}

// Guards against a probe that leaves its connection one answer out of step.
func TestAProbeTakesNoAnswerToARequest(t *testing.T) {
	server := startDoublingServer(t, func(id string) string {
		if id == "" {
			return "HTTP/1.1 200 OK\r\n" + wire.HeaderInstance + ": i-1\r\nContent-Length: 0\r\n\r\n"
		}
		return ownAnswer(id)
	})
	d := dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}})
	defer d.Close()
	target := dispatcher.Target{Name: "i-1", Address: server.address, HealthPath: "/health"}
	_, err := d.Probe(t.Context(), target)
	require.NoError(t, err)
	server.double(ownAnswer("a"))
	_, err = d.Probe(t.Context(), target)
	require.Error(t, err)
	answer, err := d.Send(t.Context(), target, orderWithID("b"))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, "b", answer.RequestID)
}

// unclosedConn is a connection that stays open when it is closed.
type unclosedConn struct{ net.Conn }

// Close implements net.Conn.
func (unclosedConn) Close() error { return nil }

// Guards against a request that is written to an abandoned connection before the transport
// has noticed that it is closed.
func TestNothingIsWrittenToAnAbandonedConnection(t *testing.T) {
	server := startDoublingServer(t, ownAnswer)
	d := dispatcher.New(dispatcher.Config{
		Dialect: platform.Dialect{},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t.Cleanup(func() { _ = conn.Close() })
			return unclosedConn{conn}, nil
		},
	})
	defer d.Close()
	target := dispatcher.Target{Name: "i-1", Address: server.address}
	server.double(foreignAnswers["refusal"])
	_, err := d.Send(t.Context(), target, orderWithID("b"))
	require.Error(t, err)
	answer, err := d.Send(t.Context(), target, orderWithID("c"))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, "c", answer.RequestID)
	require.Equal(t, 1, server.runsOf("c"))
}
