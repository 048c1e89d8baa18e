package pipeliner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/pipeliner"
	"github.com/pollencrank/pollencrank/recorder"
)

// pipeListener accepts connections of net.Pipe, whose time is that of a synctest bubble and
// which hold no bytes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     *sync.Once
}

func newPipeListener() pipeListener {
	return pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{}), once: &sync.Once{}}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.accepted <- near
	return far
}

// servePipes serves connections of net.Pipe until the test ends.
func servePipes(t *testing.T, config pipeliner.Config) (*pipeliner.Server, pipeListener) {
	config.MayOverlap = isSafe
	server := pipeliner.New(config)
	listener := newPipeListener()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		synctest.Wait()
	})
	return server, listener
}

const answerBytes = 40_000

var longAnswer = strings.Repeat("x", answerBytes)

func writeLong(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	_, _ = io.WriteString(w, longAnswer)
}

// Guards against a caller that reads nothing and holds its answers, and whoever waits behind
// them, for ever. It costs itself only.
func TestACallerThatTakesNothingIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		var running atomic.Int64
		_, listener := servePipes(t, pipeliner.Config{
			UnreadTimeout: 8 * time.Second, Log: slog.New(slog.NewTextHandler(&log, nil)),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				running.Add(1)
				defer running.Add(-1)
				if r.URL.Path == "/hangs" {
					<-r.Context().Done()
					return
				}
				writeLong(w, r)
			}),
		})
		unread, other := listener.dial(), listener.dial()
		_, err := io.WriteString(unread, "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /hangs HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(2), running.Load())
		_, err = io.WriteString(other, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(other), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Len(t, body, answerBytes)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		require.Zero(t, running.Load(), "what the caller waits for is given up, too")
		require.Contains(t, log.String(), recorder.EventCallerUnread.String())
		_, err = unread.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against a bound on the time of the whole answer: 200 callers read 1 KB a second, and
// all get all of it, in order.
func TestCallersThatReadSteadilyGetTheirAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, pieceBytes = 200, 1000
		_, listener := servePipes(t, pipeliner.Config{Handler: http.HandlerFunc(writeLong)})
		whole := make(chan bool, callers)
		for range callers {
			conn := listener.dial()
			go func() {
				_, _ = io.WriteString(conn, strings.Repeat("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 2))
				slow := bufio.NewReaderSize(&slowReader{conn, pieceBytes}, pieceBytes)
				isWhole := true
				for range 2 {
					response, err := http.ReadResponse(slow, nil)
					if err != nil {
						whole <- false
						return
					}
					body, err := io.ReadAll(response.Body)
					isWhole = isWhole && err == nil && len(body) == answerBytes
				}
				whole <- isWhole
			}()
		}
		for range callers {
			require.True(t, <-whole)
		}
	})
}

// slowReader reads a piece a second.
type slowReader struct {
	io.Reader
	pieceBytes int
}

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return r.Reader.Read(p[:min(len(p), r.pieceBytes)])
}

// Guards against a connection whose waiting answers and pipelined headers are held without a
// bound: further requests are not begun while they exceed it, and all are answered.
func TestNoRequestIsBegunWhileTooMuchIsHeld(t *testing.T) {
	const maxHeld, headerBytes, requests = 100_000, 30_000, 12
	for name, test := range map[string]struct {
		header   string
		answer   http.HandlerFunc
		maxBegun int64
	}{
		"answers": {"", writeLong, 4},
		"headers": {"X: " + strings.Repeat("h", headerBytes) + "\r\n", func(http.ResponseWriter, *http.Request) {}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var begun atomic.Int64
				firstMayEnd := make(chan struct{})
				_, listener := servePipes(t, pipeliner.Config{
					MaxHeldBytes: maxHeld,
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if begun.Add(1); r.URL.Path == "/0" {
							<-firstMayEnd
						}
						test.answer(w, r)
					}),
				})
				conn := listener.dial()
				go func() {
					for i := range requests {
						time.Sleep(time.Millisecond)
						_, _ = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a\r\n%s\r\n", i, test.header)
					}
				}()
				time.Sleep(time.Second)
				require.LessOrEqual(t, begun.Load(), test.maxBegun)
				require.Greater(t, begun.Load(), int64(1), "requests still overlap")
				close(firstMayEnd)
				reader := bufio.NewReader(conn)
				for range requests {
					response, err := http.ReadResponse(reader, nil)
					require.NoError(t, err)
					_, err = io.Copy(io.Discard, response.Body)
					require.NoError(t, err)
				}
				require.Equal(t, int64(requests), begun.Load())
			})
		})
	}
}

// Guards against the headers of many connections, which together have no bound: a request for
// which no memory is left is refused at once, its body unread, and later ones run again.
func TestARequestIsRefusedWhileNoMemoryIsLeftForHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstMayEnd := make(chan struct{})
		server, listener := servePipes(t, pipeliner.Config{
			MaxRequestBytes: 1000,
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					<-firstMayEnd
				}
			}),
		})
		ask := func(conn net.Conn, request string) *http.Response {
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			return response
		}
		long := "Host: a\r\nX: " + strings.Repeat("h", 600) + "\r\n"
		first := listener.dial()
		_, err := io.WriteString(first, "GET /first HTTP/1.1\r\n"+long+"\r\n")
		require.NoError(t, err)
		synctest.Wait()
		require.Greater(t, server.RequestBytes(), int64(600))
		other := listener.dial()
		response := ask(other, "POST /a HTTP/1.1\r\n"+long+"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		close(firstMayEnd)
		response, err = http.ReadResponse(bufio.NewReader(first), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		synctest.Wait()
		require.Zero(t, server.RequestBytes())
		require.Equal(t, http.StatusOK, ask(listener.dial(), "GET /b HTTP/1.1\r\n"+long+"\r\n").StatusCode)
	})
}

// Guards against a stop that waits for a caller that reads nothing, or that cuts off one that
// reads slowly and gets its answer within the grace.
func TestAStopEndsInTimeWithSlowReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, listener := servePipes(t, pipeliner.Config{Handler: http.HandlerFunc(writeLong), UnreadTimeout: time.Hour})
		unread, slow := listener.dial(), listener.dial()
		for _, conn := range []net.Conn{unread, slow} {
			_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
			require.NoError(t, err)
		}
		whole := make(chan int, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(&slowReader{slow, answerBytes / 4}), nil)
			if err != nil {
				whole <- 0
				return
			}
			body, _ := io.ReadAll(response.Body)
			whole <- len(body)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		require.ErrorIs(t, server.Shutdown(ctx), context.DeadlineExceeded)
		require.Equal(t, answerBytes, <-whole)
		require.NoError(t, server.Close())
		_, err := unread.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against a decision on a request that cannot know its connection.
func TestRunsAloneGetsTheContextOfTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		type key struct{}
		got := make(chan any, 1)
		_, listener := servePipes(t, pipeliner.Config{
			Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			ConnContext: func(ctx context.Context) context.Context { return context.WithValue(ctx, key{}, "connection") },
			RunsAlone: func(r *http.Request) bool {
				got <- r.Context().Value(key{})
				return false
			},
		})
		caller := listener.dial()
		_, err := io.WriteString(caller, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, "connection", <-got)
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	})
}
