package relayer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/relayer"
	"github.com/pollencrank/pollencrank/router"
)

// dialect uses the headers of these tests.
type dialect struct{}

func (dialect) ReadCaller(header http.Header) relayer.CallerHeaders {
	timeout, _ := time.ParseDuration(header.Get("Test-Patience"))
	headers := relayer.CallerHeaders{RequestID: header.Get("Test-Id"), ObjectKey: header.Get("Test-Object"), Timeout: timeout}
	if keys := header.Values("Test-Key"); len(keys) == 1 {
		headers.Key = keys[0]
	}
	return headers
}

func (dialect) SetTenant(header http.Header, name string) {
	header.Del("Test-Key")
	header.Del("Test-Tenant")
	if name != "" {
		header.Set("Test-Tenant", name)
	}
}

func (dialect) SetRequestID(header http.Header, requestID string) { header.Set("Test-Id", requestID) }

func (dialect) SetRetryAfter(header http.Header, pause time.Duration) {
	header.Set("Retry-After", fmt.Sprintf("%.3f", pause.Seconds()))
}

type forwardFunc func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error)

func (f forwardFunc) Forward(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
	return f(ctx, call)
}

func answer(body string) *pollencrank.Answer {
	return &pollencrank.Answer{
		Status: 200, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
		Header: http.Header{"Signature": {"s"}, "Connection": {"close, Private"}, "Private": {"x"}, "Keep-Alive": {"timeout=3"}},
	}
}

func newTable() *router.Table {
	return router.NewTable(router.Configuration{
		Version: 7,
		Limits:  router.Limits{MaxBodyBytes: 100},
		Routes: []router.Route{
			{Name: "r", Host: "a.example", PathPrefix: "/x/", Timeout: 800 * time.Millisecond, Kind: router.NonIdempotent},
		},
	})
}

func start(t *testing.T, table *router.Table, forward forwardFunc) (*relayer.Relayer, *httptest.Server) {
	t.Helper()
	r := relayer.New(relayer.Config{
		Table: func() *router.Table { return table }, Forwarder: forward, Dialect: dialect{}, Log: slog.New(slog.DiscardHandler),
	})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, server
}

func request(t *testing.T, server *httptest.Server, path string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, body)
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("Test-Id", "id-1")
	return r
}

func do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func TestARequestIsPassedOnUnchanged(t *testing.T) {
	var got *forwarder.Call
	_, server := start(t, newTable(), func(_ context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
		got = call
		return answer("whole"), nil
	})
	r := request(t, server, "/x/a%2Fb?q=1&q=2", strings.NewReader("order"))
	r.Header.Set("Test-Object", "17")
	r.Header.Set("Connection", "Private")
	r.Header.Set("Private", "x")
	r.Header.Set("Other", "y")
	response, body := do(t, r)
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "whole", body)
	require.Equal(t, "s", response.Header.Get("Signature"))
	require.Empty(t, response.Header.Get("Private"), "headers of one connection are not passed on")
	require.Equal(t, "/x/a%2Fb?q=1&q=2", got.Request.URI)
	require.Equal(t, "a.example", got.Request.Host)
	require.Equal(t, "order", string(got.Body))
	require.Equal(t, "17", got.ObjectKey)
	require.Equal(t, "id-1", got.Request.ID)
	require.Equal(t, "y", got.Request.Header.Get("Other"))
	require.Empty(t, got.Request.Header.Get("Private"))
	require.False(t, got.Request.Idempotent, "the route decides whether a request is idempotent, not the method")
}

func TestTheDeadlineIsTheShorterOfTheCallersAndTheRoutes(t *testing.T) {
	for timeout, want := range map[string]time.Duration{"": 800 * time.Millisecond, "300ms": 300 * time.Millisecond, "5s": 800 * time.Millisecond} {
		sentAt := time.Now()
		_, server := start(t, newTable(), func(ctx context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
			deadline, ok := ctx.Deadline()
			require.True(t, ok)
			require.Equal(t, call.Request.Deadline, deadline)
			require.False(t, deadline.Before(sentAt.Add(want)))
			require.False(t, deadline.After(time.Now().Add(want)))
			return answer(""), nil
		})
		r := request(t, server, "/x/", nil)
		r.Header.Set("Test-Patience", timeout)
		response, _ := do(t, r)
		require.Equal(t, 200, response.StatusCode)
	}
}

func TestAnswersOfTheSystem(t *testing.T) {
	for name, test := range map[string]struct {
		err    error
		status int
		// hasRetryAfter says whether the answer has a Retry-After header.
		hasRetryAfter bool
	}{
		"not run":         {pollencrank.NotRun(pollencrank.ReasonQueueFull, ""), 503, true},
		"outcome unknown": {pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, ""), 502, false},
		"deadline passed": {pollencrank.OutcomeUnknown(pollencrank.ReasonDeadlinePassed, ""), 504, false},
		"another error":   {errors.New("odd"), 502, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, server := start(t, newTable(), func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) { return nil, test.err })
			response, _ := do(t, request(t, server, "/x/1", nil))
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.hasRetryAfter, response.Header.Get("Retry-After") != "")
			require.Equal(t, "id-1", response.Header.Get("Test-Id"))
		})
	}
}

func TestRequestsThatCannotBeForwarded(t *testing.T) {
	forward := func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
		t.Error("a request was forwarded")
		return nil, errors.New("odd")
	}
	_, server := start(t, newTable(), forward)
	response, _ := do(t, request(t, server, "/y/", nil))
	require.Equal(t, 404, response.StatusCode)
	response, _ = do(t, request(t, server, "/x/", strings.NewReader(strings.Repeat("x", 101))))
	require.Equal(t, 413, response.StatusCode)

	_, server = start(t, nil, forward)
	response, _ = do(t, request(t, server, "/x/", nil))
	require.Equal(t, 503, response.StatusCode, "an instance without a configuration does not know its routes and must not answer 404")
}

func TestAPlannedStopClosesAfterTheAnswer(t *testing.T) {
	r, server := start(t, newTable(), func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) { return answer("whole"), nil })
	response, _ := do(t, request(t, server, "/x/", nil))
	require.False(t, response.Close)
	r.Stop()
	response, body := do(t, request(t, server, "/x/", nil))
	require.True(t, response.Close)
	require.Equal(t, "whole", body, "requests that arrive before Close are served")
	r.Close()
	response, _ = do(t, request(t, server, "/x/", nil))
	require.Equal(t, 503, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestATruncatedAnswerDoesNotLookComplete(t *testing.T) {
	_, server := start(t, newTable(), func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
		a := answer("")
		a.ContentLength = -1
		a.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), &failingReader{}))
		return a, nil
	})
	response, err := http.DefaultClient.Do(request(t, server, "/x/", nil))
	if err == nil {
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
	}
	require.Error(t, err)
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func TestACallerThatLeavesEndsItsRequest(t *testing.T) {
	began, ended := make(chan struct{}), make(chan error, 1)
	_, server := start(t, newTable(), func(ctx context.Context, _ *forwarder.Call) (*pollencrank.Answer, error) {
		close(began)
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonCallerGone, "")
	})
	ctx, cancel := context.WithCancel(t.Context())
	r := request(t, server, "/x/", nil).WithContext(ctx)
	go func() {
		<-began
		cancel()
	}()
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		response.Body.Close()
	}
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, <-ended, context.Canceled)
}

// Pipelined requests are sent before the first answer arrives; their answers must come
// in the order of the requests.
func TestPipelinedRequests(t *testing.T) {
	_, server := start(t, newTable(), func(_ context.Context, call *forwarder.Call) (*pollencrank.Answer, error) {
		return answer(call.Request.URI), nil
	})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	var requests strings.Builder
	for i := range 5 {
		fmt.Fprintf(&requests, "GET /x/%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
	}
	_, err = io.WriteString(conn, requests.String())
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for i := range 5 {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("/x/%d", i), string(body))
	}
}

func TestIdleConnectionsAreClosedAtTheLimit(t *testing.T) {
	closer := relayer.NewIdleCloser()
	near, far := net.Pipe()
	defer far.Close()
	closer.Track(near, http.StateIdle)
	closer.Sweep(time.Minute, time.Now())
	busy, other := net.Pipe()
	defer other.Close()
	closer.Track(busy, http.StateIdle)
	closer.Track(busy, http.StateActive)
	closer.Sweep(time.Minute, time.Now().Add(2*time.Minute))
	_, err := near.Write([]byte("x"))
	require.ErrorIs(t, err, io.ErrClosedPipe)
	go func() { _, _ = other.Read(make([]byte, 1)) }()
	_, err = busy.Write([]byte("x"))
	require.NoError(t, err)
}

// Guards against refusing a request that arrives just before the instance receives its
// configuration.
func TestARequestWaitsForAnInstanceThatHasJustStarted(t *testing.T) {
	ready := make(chan struct{})
	var table atomic.Pointer[router.Table]
	r := relayer.New(relayer.Config{
		Table: table.Load, Ready: ready, Dialect: dialect{}, Log: slog.New(slog.DiscardHandler),
		Forwarder: forwardFunc(func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) { return answer("served"), nil }),
	})
	server := httptest.NewServer(r)
	defer server.Close()

	response, _ := do(t, request(t, server, "/x/1", nil))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "no configuration arrived in time")

	go func() {
		table.Store(newTable())
		close(ready)
	}()
	response, body := do(t, request(t, server, "/x/1", nil))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "served", body)
}

// Guards against a refusal that nobody finds in the log: a server's own one was sampled like
// a success.
func TestAServersRefusalIsAlwaysLogged(t *testing.T) {
	for status, isLogged := range map[int]bool{200: false, 404: false, 408: true, 421: true, 429: true, 500: true, 503: true} {
		var log strings.Builder
		table := newTable()
		r := relayer.New(relayer.Config{
			Table: func() *router.Table { return table }, Dialect: dialect{}, SampleEvery: 1000, Log: slog.New(slog.NewTextHandler(&log, nil)),
			Forwarder: forwardFunc(func(context.Context, *forwarder.Call) (*pollencrank.Answer, error) {
				a := answer("x")
				a.Status = status
				return a, nil
			}),
		})
		incoming := httptest.NewRequest(http.MethodGet, "http://a.example/x/1", nil)
		incoming.Header.Set("Test-Id", "request-1")
		r.ServeHTTP(httptest.NewRecorder(), incoming)
		require.Equal(t, isLogged, strings.Contains(log.String(), "request-1"), "%d", status)
	}
}
